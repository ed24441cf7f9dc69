#pragma once

#include "nutmegturn/steering/agent_reports.hpp"
#include "nutmegturn/steering/agent_requests.hpp"
#include "nutmegturn/steering/store_follower.hpp"

#include <optional>
#include <span>
#include <vector>

namespace nutmegturn::steering
{
	/// Reset to send to a flow's caller.
	struct flow_reset
	{
		flow_id flow;
		std::uint32_t sequence = 0;
	};

	/// What an agent sends after its upstream's port refused a packet.
	struct connection_refused_decision
	{
		std::vector<flow_reset> resets;
		std::vector<agent_reply> replies;
		std::vector<waiting_opening> returned; ///< Opening packets that waited, to return to their balancers.
	};

	/// Times of a process's loop, by which pauses are found.
	struct loop_times
	{
		monotonic_time last_iteration{};
		std::chrono::nanoseconds suspended{0}; ///< Time in which the machine was suspended, at the last iteration.
	};

	/// Capacity of an agent's flow table; packets of further flows are forwarded without an entry.
	inline constexpr std::size_t max_agent_flows = 16'384;

	/// Handles a packet from a balancer.
	[[nodiscard]] agent_decision handle_balancer_packet(agent_state& state, const catalog& known, const message& msg,
														const segment& packet, ipv4 balancer, monotonic_time now);

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
