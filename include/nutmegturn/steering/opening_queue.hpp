#pragma once

#include "nutmegturn/steering/message.hpp"

#include <optional>
#include <vector>

namespace nutmegturn::steering
{
	/// Opening packet that waits until the agent's upstream can start its request.
	struct waiting_opening
	{
		flow_id flow;
		ipv4 balancer{};           ///< Balancer that sent the packet.
		service_key service{};     ///< Service chosen by the balancer.
		std::uint64_t version = 0; ///< Configuration version of the balancer.
		std::vector<std::byte> packet;
		monotonic_time opened_at; ///< When the caller sent the first copy of the packet.
		monotonic_time queued_at;
	};

	/// Opening packets that wait for an upstream whose slots are all taken.
	///
	/// Load pattern: after a power loss the callers of a whole second come back together with those that call just
	/// then, and for the next second upstreams have more requests than slots. Served in order of arrival, every request
	/// of that second misses its latency target. The newest goes first: callers that have just opened their flow are
	/// answered in time, and those that are late already are served in the slots that remain.
	struct opening_queue
	{
		std::vector<waiting_opening> waiting; ///< In order of `opened_at`.
	};

	/// Capacity of the queue; the oldest packet leaves it for another one.
	inline constexpr std::size_t max_waiting_openings = 128;

	/// Longest time that an opening packet waits. It is then returned to its balancer, which tries another upstream or
	/// rejects the flow, so that callers do not wait for their own timeout.
	inline constexpr milliseconds max_opening_wait{400};

	/// Returns how long ago the caller sent the first copy of an opening packet.
	/// \param copy	Number of the copy, 0 for the first one.
	[[nodiscard]] milliseconds age_of_copy(std::uint32_t copy) noexcept;

	/// Adds an opening packet. A copy of one that waits already is ignored.
	/// \returns	The oldest packet if the queue was full.
	std::optional<waiting_opening> add_opening(opening_queue& queue, waiting_opening opening);

	/// Removes and returns the packet whose caller opened its flow last.
	std::optional<waiting_opening> take_newest_opening(opening_queue& queue);

	/// Removes and returns the packets that have waited for `max_opening_wait`.
	std::vector<waiting_opening> take_overdue_openings(opening_queue& queue, monotonic_time now);
}
