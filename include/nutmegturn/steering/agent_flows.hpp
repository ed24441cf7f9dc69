#pragma once

#include "nutmegturn/steering/store_follower.hpp"
#include "nutmegturn/steering/upstream_gate.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace nutmegturn::steering
{
	/// How far a flow has come at the agent's upstream.
	enum class flow_stage : std::uint8_t
	{
		unconfirmed, ///< A packet was delivered; the upstream has not shown whether it holds the flow.
		half_open,   ///< It accepted the opening packet.
		open         ///< It exchanges data or acknowledgements.
	};

	/// What an agent remembers of a flow. The upstream is the truth: what is lost here is learned again.
	struct agent_flow
	{
		flow_stage stage = flow_stage::unconfirmed;
		monotonic_time request_started;     ///< When the request in progress came in.
		bool request_in_progress = false;   ///< Data went in and no data has come out since.
		bool caller_closed = false;         ///< The caller has closed its side.
		bool upstream_closed = false;       ///< The upstream has closed its side.
		bool sequence_known = false;        ///< `highest_sequence` is valid.
		std::uint32_t highest_sequence = 0; ///< End of the newest data of the caller.
		std::uint32_t acknowledgement = 0;  ///< Newest one of the caller; a reset must be near it.
		monotonic_time last_used;
		std::vector<ipv4> waiting_balancers; ///< Balancers that wait to hear whether the flow is held here.
		ipv4 last_balancer{};                ///< The one that sent the last packet.
		bool opened_here = false;            ///< This process delivered the opening packet.
		bool from_probe = false;             ///< A search brought it, so another upstream may hold it.
		bool announced = false;              ///< The balancers of the caller's zone know that the flow is held here.
	};

	/// Balancer that sends greetings.
	struct known_balancer
	{
		monotonic_time last_heard;
		std::uint32_t zone = 0; ///< Key of its availability zone.
	};

	/// Flows of which balancers are to be told that they are held here.
	struct held_flows_notice
	{
		std::vector<ipv4> balancers;
		std::vector<flow_id> flows;
	};

	/// Message for a balancer.
	struct agent_reply
	{
		ipv4 balancer{};
		message_kind kind = message_kind::load;
		flow_id flow;
		admission_status why = admission_status::accepting;
		bool with_packet = false; ///< Carries the packet that led to it.
	};

	/// Reset of a flow towards its caller.
	struct flow_reset
	{
		flow_id flow;
		std::uint32_t sequence = 0;
	};

	/// What to do with a packet.
	struct agent_decision
	{
		bool to_upstream = false;                               ///< To the upstream.
		bool to_caller = false;                                 ///< To the caller.
		std::optional<monotonic_clock::duration> response_time; ///< Set by the first data of an answer.
		std::vector<agent_reply> replies;
	};

	/// What follows from the end of the upstream.
	struct connection_refused_decision
	{
		std::vector<flow_reset> resets;
		std::vector<agent_reply> replies;
	};

	/// State of an agent.
	struct agent_state
	{
		upstream_gate gate;
		bool knows_all_flows = false;   ///< No flow of the upstream can be older than this process.
		bool upstream_is_older = false; ///< The upstream sent a packet of a flow that is older than this process.
		std::unordered_map<flow_id, agent_flow, flow_id_hash> flows;
		std::size_t requests_in_progress = 0;               ///< Flows with a request in progress.
		std::unordered_map<ipv4, known_balancer> balancers; ///< By instance.
		double failure_ratio = 0;                           ///< Share of the last requests that the upstream reset.
		monotonic_time failure_ratio_at{};                  ///< When that was last updated.
		load_report last_report;
		monotonic_time last_report_at;
	};

	/// Largest number of flows that an agent remembers; packets of further flows are delivered without a memory.
	inline constexpr std::size_t max_agent_flows = 16'384;

	/// Takes a packet that a balancer sent.
	[[nodiscard]] agent_decision handle_balancer_packet(agent_state& state, const catalog& known, const message& it,
														const segment& packet, ipv4 balancer, monotonic_time now);

	/// Answers a balancer that looks for the holders of flows.
	[[nodiscard]] std::vector<flow_answer> answer_query(const agent_state& state, std::span<const flow_id> flows);

	/// Decides whether the agent has seen every flow of its upstream, since it is not younger than the upstream.
	/// \param started_at_ms	Unix time at which this process started.
	void note_upstream_start(agent_state& state, const catalog& known, std::int64_t started_at_ms);

	/// How long a restarted agent looks for the entry of an upstream that restarted with it. By then the entry of the
	/// upstream before has lapsed, so what the store still has is right.
	inline constexpr milliseconds identification_time{5'000};

	/// Chooses what an agent follows in the store.
	///
	/// Load pattern: after a power loss the store still names the upstreams of before, and the new ones register under
	/// other keys. An agent that followed the old key learned of its upstream only when that lapsed, seconds later; all
	/// that time it could not deny a flow, so each flow was tried at every upstream and callers waited.
	///
	/// \param started_at_ms	Unix time at which this process started.
	/// \returns				Its upstream's entry, or the whole group while that may be another one.
	[[nodiscard]] watch_scope choose_watch_scope(const agent_state& state, const catalog& known,
												 std::int64_t started_at_ms, monotonic_time now);

	/// Takes a packet that the upstream sent or gave back.
	[[nodiscard]] agent_decision handle_upstream_packet(agent_state& state, const segment& packet, monotonic_time now);

	/// Takes the news that nothing listens at the upstream's port: it has ended and its flows with it.
	/// \returns	Resets for the callers of its flows, and answers to searches that were tried there.
	[[nodiscard]] connection_refused_decision handle_connection_refused(agent_state& state, monotonic_time now);

	/// Notes a balancer that wants load reports.
	/// \returns	For one that knows no flows yet: the flows of its zone that are held here.
	[[nodiscard]] held_flows_notice handle_subscription(agent_state& state, const message& it, ipv4 balancer,
														monotonic_time now);

	/// Returns the flows that were opened since the last call, for the balancers of their callers' zones.
	///
	/// Load pattern: the fabric hashes over the balancers in rotation, so each balancer that stops or starts moves
	/// nearly all flows of its zone to other balancers. Those know the holder already and need no search.
	[[nodiscard]] std::vector<held_flows_notice> collect_newly_held_flows(agent_state& state);

	/// Returns a balancer that was heard of lately and is not `receiver`, or zero. A balancer that starts while the
	/// store is down reads what it needs from there.
	[[nodiscard]] ipv4 other_balancer(const agent_state& state, ipv4 receiver);

	/// Returns the share of the last requests that the upstream reset. Without requests it halves every two seconds, so
	/// that an upstream which got less work is tried again.
	[[nodiscard]] double current_failure_ratio(const agent_state& state, monotonic_time now);

	/// Returns the load to report now.
	[[nodiscard]] load_report make_load_report(const agent_state& state, const catalog& known, monotonic_time now);

	/// Returns whether a report is due to all balancers, and notes it as sent.
	[[nodiscard]] bool load_report_due(agent_state& state, const load_report& report, std::uint32_t slots,
									   monotonic_time now);

	/// Forgets idle flows and balancers that have not been heard of.
	void expire_idle(agent_state& state, const catalog& known, monotonic_time now);
}
