// Control messages between the processes of the system. Each datagram carries one envelope, encoded with the compact
// protocol. Field numbers are never reused and unknown fields are skipped, so that different versions of the daemons can
// run at the same time.
namespace cpp nutmegturn.wire

struct upstream_state
{
	1: i64 upstream
	2: i8 state
}

// State of a member, also piggybacked on probes as an update.
struct member_update
{
	1: i64 id
	2: string name
	3: i8 role
	4: string zone
	5: binary control_ip
	6: i16 control_port
	7: binary data_ip
	8: i16 data_port
	9: i64 life
	10: i32 sequence
	11: i8 liveness
	12: i64 newest
	13: list<upstream_state> upstreams
}

struct probe
{
	1: i64 nonce
	2: i64 target
	3: optional i64 on_behalf_of
}

struct probe_ack
{
	1: i64 nonce
	2: i64 target
}

// Requests the members after an id, in the order of unsigned ids. The reply is a member_page.
struct member_pull
{
	1: i64 after
	2: i32 limit
}

// The members of the page are the updates of the envelope.
struct member_page
{
	1: bool complete // last page, and the sender itself has received the complete member list of a peer
	2: bool last // the sender has no further members
}

struct record_version
{
	1: string key
	2: i64 rev
	3: optional binary value // absent: the record was deleted
	4: bool accepted
	5: optional i32 offset // the value is a part that starts at this byte
	6: optional i32 total  // size of the whole value
}

struct config_push
{
	1: i64 rev
	2: list<record_version> records
	3: i32 chunk
	4: i32 chunks
	5: i64 after    // the records, if any, are all versions after this and up to rev that the sender knows
	6: i64 nonce    // of the pull that this replies to; 0: unsolicited
	7: bool current // the sender's own view is confirmed
	8: i64 reader   // root of the distribution tree; 0: none
}

// Sent along the distribution tree of a reader: the configuration service returned this revision age_ms ago.
struct confirmation
{
	1: i64 rev
	2: i32 age_ms
	3: i64 reader
	4: i64 number // increases with each confirmation of the reader
}

struct config_pull
{
	1: i64 after
	2: i64 nonce
	3: i32 offset // number of bytes already received of the first version after it
}

struct upstream_load
{
	1: i64 upstream
	2: i32 flows
	3: i32 in_progress
	4: i32 limit
	5: i8 state
}

struct load_report
{
	1: i32 sequence
	2: list<upstream_load> loads
}

struct redirect_announce
{
	1: i64 service_id
	2: i64 holder
	3: binary holder_ip
	4: i16 holder_port
	5: list<i64> flow_hashes
	6: optional bool doubtful // the flow has been idle since a pause or partition, so a newer copy may exist elsewhere
}

struct handed_flow
{
	1: binary client_ip
	2: i16 client_port
	3: binary service_ip
	4: i16 service_port
	5: i8 protocol
	6: i16 local_port
	7: i32 idle_seconds
}

struct handed_outcome
{
	1: binary request
	2: i8 state
	3: binary answer
	4: i32 age_ms
}

struct handover_store
{
	1: i64 upstream
	2: i64 life
	3: i32 chunk
	4: i32 chunks
	5: list<handed_flow> flows
	6: list<handed_outcome> outcomes
	7: binary token_key
}

struct handover_fetch
{
	1: i64 upstream
}

struct control_envelope
{
	1: i16 version
	2: i64 sender
	3: i64 life
	4: i64 newest
	5: list<member_update> updates
	10: optional probe probe_message
	11: optional probe_ack ack_message
	12: optional config_push push_message
	13: optional config_pull pull_message
	14: optional load_report load_message
	15: optional redirect_announce redirect_message
	16: optional handover_store store_message
	17: optional handover_fetch fetch_message
	18: optional confirmation confirmation_message
	19: optional member_pull member_pull_message
	20: optional member_page member_page_message
}
