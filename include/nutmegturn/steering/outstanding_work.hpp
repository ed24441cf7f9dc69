#pragma once

#include "nutmegturn/steering/request_cost.hpp"
#include "nutmegturn/steering/segment.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace nutmegturn::steering
{
	/// Request that was delivered to the upstream and has no response yet.
	struct delivered_request
	{
		flow_id flow;
		request_size size = request_size::single_packet;
		bool first_packet_seen = true; ///< Otherwise its cost is not learned.
		bool started = false;          ///< Holds a slot; otherwise it waits in the upstream's queue.
		monotonic_time started_at{};   ///< Valid if `started`.
	};

	/// Requests at the upstream, in the order of their delivery. The upstream starts them in that order.
	struct outstanding_work
	{
		std::deque<delivered_request> requests;
		std::size_t started = 0; ///< Requests that hold a slot.
	};

	/// Request that was answered, with the time for which it held a slot.
	struct answered_request
	{
		ipv4_endpoint route;
		request_size size = request_size::single_packet;
		monotonic_clock::duration cost{0};
	};

	/// Number of requests that are tracked; further ones are neither counted as work nor learned from. Upstreams queue
	/// about 4 times their slots and reject the rest.
	inline constexpr std::size_t max_tracked_requests = 1'024;

	/// A request without a response for this long is no longer tracked: its response was lost, or its caller is gone.
	inline constexpr std::chrono::seconds max_tracked_time{10};

	/// Upper bound of the work of all requests, in milliseconds.
	inline constexpr cost_ms max_outstanding{60'000.0};

	/// Records that the agent delivers a data packet of a request. The first one starts the request if a slot is free;
	/// a second one shows that the request has several packets.
	/// \param slots				Requests that the upstream processes concurrently; 0 if unknown. Then all requests
	///							count as started.
	/// \param first_packet_seen	Whether this process has seen the request's beginning; ignored for later packets.
	void record_request_packet(outstanding_work& work, const flow_id& flow, bool first_packet_seen, std::uint32_t slots,
							   monotonic_time now);

	/// Removes a request that the upstream answered, and starts the next one in the upstream's queue.
	/// \returns	The request if its cost is known: its beginning was seen, and it held a slot and the number
	///			of slots is known.
	std::optional<answered_request> record_response(outstanding_work& work, const flow_id& flow, std::uint32_t slots,
													monotonic_time now);

	/// Removes a request whose flow has ended or was reset. Unknown flows are ignored.
	void discard_request(outstanding_work& work, const flow_id& flow, std::uint32_t slots, monotonic_time now);

	/// Removes requests that started at least `max_tracked_time` ago.
	void discard_overdue_requests(outstanding_work& work, std::uint32_t slots, monotonic_time now);

	/// Returns the expected time for which the requests will hold slots, at most `max_outstanding`.
	///
	/// For a started request this is `max(mean - elapsed, deviation, elapsed / 4)`: one that runs for longer than
	/// expected is likely to be an expensive one. The last term is bounded by the larger of 500 ms and 10 mean costs,
	/// so that one lost response does not keep an upstream with several slots from getting flows.
	[[nodiscard]] cost_ms remaining_work(const outstanding_work& work, const request_costs& costs, monotonic_time now);
}
