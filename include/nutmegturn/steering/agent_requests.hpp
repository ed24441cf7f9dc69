#pragma once

#include "nutmegturn/steering/agent_decision.hpp"

#include <optional>
#include <vector>

namespace nutmegturn::steering
{
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
}
