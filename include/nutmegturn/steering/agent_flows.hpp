#pragma once

#include "nutmegturn/steering/opening_queue.hpp"
#include "nutmegturn/steering/outstanding_work.hpp"
#include "nutmegturn/steering/request_queue.hpp"
#include "nutmegturn/steering/store_follower.hpp"
#include "nutmegturn/steering/upstream_gate.hpp"
#include "nutmegturn/steering/work_report.hpp"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace nutmegturn::steering
{
	/// State of a flow at the agent's upstream, as far as the agent has seen.
	enum class flow_stage : std::uint8_t
	{
		unconfirmed, ///< A packet was forwarded; the upstream has not yet shown that it holds the flow.
		half_open,   ///< The upstream accepted the opening packet.
		open         ///< The upstream has sent data or acknowledgements.
	};

	/// Request that left the queue without being forwarded. A copy of it keeps its age.
	struct dropped_request
	{
		std::uint32_t sequence = 0; ///< Of its first packet.
		std::uint32_t copies = 0;   ///< Retransmissions that had arrived.
		monotonic_time arrived_at;
	};

	/// Flow table entry of an agent. The upstream's state is authoritative: a lost entry is rebuilt from its packets.
	struct agent_flow
	{
		flow_stage stage = flow_stage::unconfirmed;
		monotonic_time request_started;   ///< Arrival of the request in progress.
		bool request_in_progress = false; ///< The caller sent data and the upstream has not answered with data yet.
		bool request_delivered = false;   ///< The request in progress was forwarded to the upstream.
		bool slot_time_recorded = false;  ///< The first request is in `agent_state::usage` since the flow's admission.
		monotonic_time delivered_at;      ///< When the request in progress was forwarded.
		std::optional<dropped_request> last_dropped; ///< Latest request that left the queue without being forwarded.
		bool request_seen_from_start = false;        ///< Otherwise the cost of the request in progress is not learned.
		bool caller_closed = false;                  ///< The caller sent FIN.
		bool upstream_closed = false;                ///< The upstream sent FIN.
		bool sequence_known = false;                 ///< `highest_sequence` is valid.
		std::uint32_t highest_sequence = 0;          ///< End of the caller's newest data.
		std::uint32_t acknowledgement = 0;           ///< The caller's newest; a reset needs a sequence number near it.
		monotonic_time added_at;                     ///< Creation of this entry.
		monotonic_time last_used;
		std::vector<ipv4> waiting_balancers; ///< Balancers to notify whether the upstream holds the flow.
		ipv4 last_balancer{};                ///< Balancer that sent the last packet.
		bool opened_here = false;            ///< This process forwarded the opening packet.
		bool first_request_due = false;      ///< Opened here; the caller has not sent its first request yet.
		bool from_probe = false;             ///< Known from a probe only; another upstream may hold the flow.
		bool announced = false;              ///< The balancers of the caller's zone were notified of the holder.

		/// Opening packet that the upstream has not answered and that no packet of the caller has followed.
		std::vector<std::byte> opening_packet;
	};

	/// Balancer that subscribes to load reports.
	struct known_balancer
	{
		monotonic_time last_heard;
		std::uint32_t zone = 0; ///< Key of its availability zone.
	};

	/// Notification to balancers that the agent's upstream holds these flows.
	struct held_flows_notice
	{
		std::vector<ipv4> balancers;
		std::vector<flow_id> flows;
	};

	/// Message to a balancer about a flow.
	struct agent_reply
	{
		ipv4 balancer{};
		message_kind kind = message_kind::load;
		flow_id flow;
		admission_status why = admission_status::accepting;
		bool with_packet = false;        ///< Includes the packet that caused the message.
		std::vector<std::byte> packet{}; ///< Another packet to include.
	};

	/// Reset to send to a flow's caller.
	struct flow_reset
	{
		flow_id flow;
		std::uint32_t sequence = 0;
	};

	/// How an agent handles a packet.
	struct agent_decision
	{
		bool to_upstream = false;                               ///< Forward to the upstream.
		bool to_caller = false;                                 ///< Forward to the caller.
		bool waits = false;                                     ///< Add the opening packet to `agent_state::queue`.
		std::optional<monotonic_clock::duration> response_time; ///< Set for the first data of a response.
		std::optional<monotonic_clock::duration> slot_time;     ///< Likewise, if it is known.
		std::vector<agent_reply> replies;
		std::vector<queued_packet> preceding; ///< Packets of the flow that waited, to forward before this one.
	};

	/// What an agent sends after its upstream's port refused a packet.
	struct connection_refused_decision
	{
		std::vector<flow_reset> resets;
		std::vector<agent_reply> replies;
		std::vector<waiting_opening> returned; ///< Opening packets that waited, to return to their balancers.
	};

	/// What an agent sends when it stops.
	struct stop_decision
	{
		std::vector<waiting_opening> returned; ///< To return to their balancers.
		std::vector<queued_packet> delivered;  ///< To forward to the upstream, in this order.
	};

	/// Waiting opening packets that leave the queue without being forwarded.
	struct opening_queue_decision
	{
		std::vector<waiting_opening> returned;  ///< The upstream is too busy, or takes no new flows.
		std::vector<waiting_opening> abandoned; ///< Their callers have gone.
	};

	/// Packets that leave the queue of requests.
	struct request_queue_decision
	{
		std::vector<queued_packet> delivered; ///< To forward to the upstream, in this order.
		std::vector<queued_packet> dropped;   ///< Their callers have gone.
	};

	/// Number of packets that were dropped because they waited during a pause of the process.
	struct dropped_packets
	{
		std::size_t openings = 0;
		std::size_t flow_packets = 0;
	};

	/// Request that was forwarded and is not answered.
	struct unanswered_request
	{
		flow_id flow;
		std::uint8_t priority = lowest_priority;
		monotonic_time at;
	};

	/// Times of a process's loop, by which pauses are found.
	struct loop_times
	{
		monotonic_time last_iteration{};
		std::chrono::nanoseconds suspended{0}; ///< Time in which the machine was suspended, at the last iteration.
	};

	/// Load report that was sent to a group of balancers.
	struct sent_report
	{
		load_report report;
		monotonic_time sent_at;
	};

	/// State of an agent.
	struct agent_state
	{
		upstream_gate gate;
		bool knows_all_flows = false;   ///< This process has seen every flow that the upstream can hold.
		monotonic_time watched_since{}; ///< Since then this process has seen every packet of its upstream's flows.
		monotonic_time last_sweep{};    ///< Last call of `sweep_flows`, or zero.
		bool upstream_is_older = false; ///< The upstream sent a packet of a flow from before this process started.
		std::unordered_map<flow_id, agent_flow, flow_id_hash> flows;
		std::size_t requests_in_progress = 0;       ///< Flows with a request in progress, waiting ones included.
		std::vector<unanswered_request> unanswered; ///< Recent ones, in order of time. Use `count_delivered_requests`.
		std::deque<monotonic_time> recent_openings; ///< Flows opened shortly before, without a request yet.
		opening_queue queue;
		request_queue requests;
		admission_usage usage;
		std::map<std::uint8_t, monotonic_time> returned_as_full{}; ///< Last return of an opening packet by priority.
		request_costs costs;                                       ///< Learned since this process started.
		outstanding_work work;                                     ///< Requests that were delivered to the upstream.
		std::uint32_t slots = 0; ///< Of the upstream, when the last request was delivered; 0 if unknown.
		std::unordered_map<ipv4, known_balancer> balancers; ///< Keyed by instance.
		double failure_ratio = 0;          ///< Moving average of the share of requests that the upstream reset.
		monotonic_time failure_ratio_at{}; ///< Last update of `failure_ratio`.
		sent_report near_report;           ///< Last one to the balancers of the agent's zone.
		sent_report far_report;            ///< Last one to those of other zones.
	};

	/// Capacity of an agent's flow table; packets of further flows are forwarded without an entry.
	inline constexpr std::size_t max_agent_flows = 16'384;

	/// Handles a packet from a balancer.
	[[nodiscard]] agent_decision handle_balancer_packet(agent_state& state, const catalog& known, const message& msg,
														const segment& packet, ipv4 balancer, monotonic_time now);

	/// Returns whether an opening packet of the lowest priority would wait. Returns false if the upstream has no entry.
	[[nodiscard]] bool is_saturated(const agent_state& state, const catalog& known, monotonic_time now);

	/// Returns the number of requests that were forwarded and are not answered. Those that were forwarded long ago do
	/// not count: an upstream that hangs, or a response that this process missed, must not block the others.
	[[nodiscard]] std::size_t count_delivered_requests(const agent_state& state, monotonic_time now);

	/// Returns an opening packet as it waits in `agent_state::queue`.
	[[nodiscard]] waiting_opening make_waiting_opening(const agent_state& state, const catalog& known,
													   const message& msg, const segment& packet, ipv4 balancer,
													   monotonic_time now);

	/// Removes and returns the waiting opening packet that is to be forwarded now, if any.
	[[nodiscard]] std::optional<waiting_opening> take_admissible_opening(agent_state& state, const catalog& known,
																		 monotonic_time now);

	/// Removes and returns the opening packets that do not wait any longer.
	[[nodiscard]] opening_queue_decision take_expired_openings(agent_state& state, const catalog& known,
															   monotonic_time now);

	/// Records that an opening packet was returned because the upstream is busy, for `make_work_report`.
	void record_returned_as_full(agent_state& state, const waiting_opening& opening, monotonic_time now);

	/// Removes and returns the packets of open flows that do not wait any longer. Call it after packets of the upstream
	/// and at `next_request_deadline`.
	///
	/// Requests that callers repeat wait until the upstream has room, the newest first, or until their callers have
	/// gone. In an overload of open flows, requests that are forwarded without room fill the upstream's own queue, and
	/// then all of them are late, urgent ones too. Requests that are not repeated are forwarded after
	/// `max_request_wait`.
	[[nodiscard]] request_queue_decision take_due_requests(agent_state& state, const catalog& known,
														   monotonic_time now);

	/// Makes the agent take no new flows, since the process ends. Waiting requests are forwarded: they would be lost
	/// with the process.
	[[nodiscard]] stop_decision handle_stop(agent_state& state, const catalog& known, monotonic_time now);

	/// Drops all waiting packets after a pause of the process: their callers have sent them anew or given up. What was
	/// dropped counts as not received.
	dropped_packets handle_pause(agent_state& state);

	/// Records an iteration of the process's loop.
	/// \param suspended	Time in which the machine was suspended so far.
	/// \returns			Whether the process was paused before this iteration.
	[[nodiscard]] bool record_iteration(loop_times& times, monotonic_time now,
										std::chrono::nanoseconds suspended) noexcept;

	/// Answers a balancer's query for the holders of flows.
	[[nodiscard]] std::vector<flow_answer> answer_query(const agent_state& state, std::span<const flow_id> flows);

	/// How long a restarted agent looks for the entry of an upstream that restarted with it. After that time the entry
	/// of the previous upstream has expired, so the entry that is left in the store is the valid one.
	inline constexpr milliseconds identification_time{5'000};

	/// Chooses the keys of the store that an agent watches.
	///
	/// Load pattern: after a power loss the store still lists the previous upstreams, and the new ones register under
	/// other keys. An agent that watches the old key learns of its new upstream only when the old entry expires,
	/// seconds later. Until then it does not know whether its upstream is in cold start or draining. An agent that
	/// knows all flows is not in a hurry. When the upstream restarts while its agent runs, the former entry says
	/// nothing about the new run either.
	///
	/// \param first_listing	Revision of the first listing that this process read. An upstream that registered later
	///						is running; start times do not tell, since clocks may be set back in between.
	/// \returns			The key of its upstream's entry, or the whole group while that entry may be outdated.
	[[nodiscard]] watch_scope choose_watch_scope(const agent_state& state, const catalog& known,
												 const std::optional<store_revision>& first_listing,
												 monotonic_time now);

	/// Handles a packet that the upstream sent or bounced.
	[[nodiscard]] agent_decision handle_upstream_packet(agent_state& state, const segment& packet, monotonic_time now);

	/// Handles a refused connection: nothing listens on the upstream's port, so its flows are lost.
	///
	/// A flow that never opened there may be open at another upstream: late copies of opening packets are answered too.
	/// \returns	Resets for the callers of the flows that were open there. For the others, `not_held` replies, or
	///				`declined` ones with the opening packet, so that their balancers try or search other upstreams.
	[[nodiscard]] connection_refused_decision handle_connection_refused(agent_state& state, monotonic_time now);

	/// Registers or renews a balancer's subscription to load reports.
	/// \returns	For a balancer that just started: the flows of its zone that the upstream holds; otherwise no flows.
	[[nodiscard]] held_flows_notice handle_subscription(agent_state& state, const message& msg, ipv4 balancer,
														monotonic_time now);

	/// Returns the flows that were opened since the last call, for the balancers of their callers' zones.
	///
	/// Load pattern: the fabric hashes flows over the balancers in rotation, so each balancer that stops or starts
	/// moves nearly all flows of its zone to other balancers. The notification saves those a search for the holder.
	[[nodiscard]] std::vector<held_flows_notice> collect_newly_held_flows(agent_state& state);

	/// Returns the balancer other than `receiver` that subscribed most recently, or zero. A balancer that starts while
	/// the store is down reads its configuration from that one.
	[[nodiscard]] ipv4 other_balancer(const agent_state& state, ipv4 receiver);

	/// Returns the share of recent requests that the upstream reset. It halves every two seconds without requests, so
	/// that an upstream that gets few requests is retried.
	[[nodiscard]] double current_failure_ratio(const agent_state& state, monotonic_time now);

	/// Returns the current load report.
	[[nodiscard]] load_report make_load_report(const agent_state& state, const catalog& known, monotonic_time now);

	/// Returns the upstream's work, for `load` messages.
	[[nodiscard]] work_report make_work_report(const agent_state& state, const catalog& known, monotonic_time now);

	/// Returns the balancers that `report` has to be sent to now, and records it as sent.
	///
	/// Load pattern: with few slots nearly every request changes the load by much of them, and each report goes to
	/// every balancer, so the traffic between zones grows with the product of agents and balancers. Balancers of other
	/// zones place flows here only when their own zone is busy; a changed load is reported to them less often, a
	/// changed admission status at once.
	[[nodiscard]] std::vector<ipv4> load_report_recipients(agent_state& state, const load_report& report,
														   std::uint32_t slots, monotonic_time now);

	/// How long after the idle timeout a flow may still be in use: its last packet before that may have been lost and
	/// is sent again up to 1.6 s later.
	inline constexpr milliseconds idle_margin{2'000};

	/// A process that did not run for this long may have missed packets of its flows. A sweep is due every second.
	inline constexpr milliseconds longest_sweep_gap{3'000};

	/// Updates `knows_all_flows` and removes idle flows and expired subscriptions. Call it once a second.
	///
	/// `knows_all_flows` is set when this process has seen all packets of its upstream for longer than the idle
	/// timeout: an unknown flow has then been idle for that long. Until then, only the upstream can deny a flow from
	/// before this process started. Neither the age of the upstream's entry nor its start time shows that there is
	/// none: the entry may have expired and returned, and clocks may be set back. After a pause of the process nothing
	/// is removed until the next sweep, since packets that arrived meanwhile have yet to be read.
	void sweep_flows(agent_state& state, const catalog& known, monotonic_time now);
}
