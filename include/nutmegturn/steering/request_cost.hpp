#pragma once

#include "nutmegturn/steering/ipv4.hpp"
#include "nutmegturn/steering/request_cost_average.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

namespace nutmegturn::steering
{
	/// Size of a request. Requests of one packet and longer ones of the same route may differ in cost.
	enum class request_size : std::uint8_t
	{
		single_packet,
		several_packets
	};

	/// Learned costs of a route.
	struct route_cost
	{
		std::array<cost_average, 2> by_size; ///< Indexed by `request_size`.
		monotonic_time last_used;
	};

	/// Learned costs of the requests at one upstream.
	struct request_costs
	{
		cost_average all;                           ///< Of all requests.
		std::map<ipv4_endpoint, route_cost> routes; ///< At most `max_cost_routes`.
	};

	/// Routes with a history of their own. At the bound, the least recently used route is evicted.
	inline constexpr std::size_t max_cost_routes = 1'024;

	/// Requests that an upstream must have served before its mean cost is reported.
	inline constexpr std::uint32_t min_reported_requests = 8;

	/// Learns the cost of one request.
	/// \param cost	Time for which the request held a slot; limited to `max_request_cost`.
	void record_cost(request_costs& costs, const ipv4_endpoint& route, request_size size,
					 monotonic_clock::duration cost, monotonic_time now);

	/// Returns the expected cost of a request: by route and size, otherwise that of the upstream, otherwise
	/// `assumed_cost`.
	[[nodiscard]] cost_estimate expected_cost(const request_costs& costs, const ipv4_endpoint& route,
											  request_size size) noexcept;

	/// Returns the expected cost of a request of an unknown route.
	[[nodiscard]] cost_estimate expected_cost(const request_costs& costs) noexcept;

	/// Returns whether enough requests were learned to report the mean cost to balancers.
	[[nodiscard]] bool is_reportable(const request_costs& costs) noexcept;
}
