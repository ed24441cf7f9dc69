#include "nutmegturn/steering/request_cost.hpp"

#include <algorithm>

namespace nutmegturn::steering
{
	namespace
	{
		[[nodiscard]] route_cost& find_or_add_route(request_costs& costs, const ipv4_endpoint& route)
		{
			const auto found = costs.routes.find(route);
			if (found != costs.routes.end())
			{
				return found->second;
			}
			if (costs.routes.size() >= max_cost_routes)
			{
				costs.routes.erase(
					std::ranges::min_element(costs.routes, {}, [](const auto& it) { return it.second.last_used; }));
			}
			return costs.routes[route];
		}
	}

	void record_cost(request_costs& costs, const ipv4_endpoint& route, request_size size,
					 monotonic_clock::duration cost, monotonic_time now)
	{
		const auto bounded = std::clamp(cost_ms{cost}, cost_ms{0}, max_request_cost);
		auto& history = find_or_add_route(costs, route);
		history.last_used = now;
		add_cost(history.by_size[static_cast<std::size_t>(size)], bounded, now);
		add_cost(costs.all, bounded, now);
	}

	cost_estimate expected_cost(const request_costs& costs, const ipv4_endpoint& route, request_size size) noexcept
	{
		const auto found = costs.routes.find(route);
		if (found != costs.routes.end())
		{
			const auto& average = found->second.by_size[static_cast<std::size_t>(size)];
			if (average.requests > 0)
			{
				return estimate_of(average);
			}
		}
		return expected_cost(costs);
	}

	cost_estimate expected_cost(const request_costs& costs) noexcept
	{
		return estimate_of(costs.all);
	}

	bool is_reportable(const request_costs& costs) noexcept
	{
		return costs.all.requests >= min_reported_requests;
	}
}
