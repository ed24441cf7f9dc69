#include "nutmegturn/steering/request_cost_average.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace nutmegturn::steering
{
	namespace
	{
		/// Ratio of standard deviation to mean deviation of a normal distribution.
		constexpr double standard_deviation_ratio = 1.25;

		[[nodiscard]] double decay_since(monotonic_time since, monotonic_time now) noexcept
		{
			const std::chrono::duration<double> age = std::max(now - since, monotonic_clock::duration::zero());
			return std::exp2(-1.0 / cost_half_life_requests - age / cost_half_life);
		}
	}

	void add_cost(cost_average& average, cost_ms cost, monotonic_time now) noexcept
	{
		if (average.requests == 0)
		{
			// A single request says nothing about the deviation; that of an exponential distribution is close to its
			// mean.
			average = {.mean = cost, .deviation = cost, .weight = 1, .requests = 1, .updated_at = now};
			return;
		}
		average.weight = average.weight * decay_since(average.updated_at, now) + 1;
		const cost_ms difference = cost - average.mean;
		average.mean += difference / average.weight;
		average.deviation += (std::chrono::abs(difference) - average.deviation) / average.weight;
		average.requests += average.requests < std::numeric_limits<std::uint32_t>::max() ? 1 : 0;
		average.updated_at = now;
	}

	cost_estimate estimate_of(const cost_average& average) noexcept
	{
		if (average.requests == 0)
		{
			return {.mean = assumed_cost, .deviation = assumed_cost, .uncertainty = assumed_cost};
		}
		return {.mean = average.mean,
				.deviation = average.deviation,
				.uncertainty = average.deviation * standard_deviation_ratio / std::sqrt(average.weight)};
	}
}
