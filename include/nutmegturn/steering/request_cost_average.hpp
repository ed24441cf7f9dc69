#pragma once

#include "nutmegturn/time.hpp"

#include <chrono>
#include <cstdint>

namespace nutmegturn::steering
{
	/// Milliseconds with fractions.
	using cost_ms = std::chrono::duration<double, std::milli>;

	/// Expected cost of a request.
	struct cost_estimate
	{
		cost_ms mean{0};
		cost_ms deviation{0};   ///< Mean deviation of single requests from the mean.
		cost_ms uncertainty{0}; ///< Standard error of the mean.
	};

	/// Exponentially weighted mean and mean deviation of request costs.
	struct cost_average
	{
		cost_ms mean{0};
		cost_ms deviation{0};
		double weight = 0;          ///< Decayed number of requests.
		std::uint32_t requests = 0; ///< Number of requests; stays at its largest value.
		monotonic_time updated_at;
	};

	/// Weight of a learned request halves with this many later ones.
	inline constexpr double cost_half_life_requests = 64;

	/// Weight of a learned request halves within this time.
	inline constexpr std::chrono::duration<double> cost_half_life{10.0};

	/// Longest cost that is learned, so that one request cannot dominate the mean for long.
	inline constexpr cost_ms max_request_cost{60'000.0};

	/// Mean and deviation without any history.
	inline constexpr cost_ms assumed_cost{50.0};

	/// Adds a request to an average.
	/// \param cost	0 to `max_request_cost`.
	void add_cost(cost_average& average, cost_ms cost, monotonic_time now) noexcept;

	/// Returns the estimate of an average, or `assumed_cost` if it has no requests.
	[[nodiscard]] cost_estimate estimate_of(const cost_average& average) noexcept;
}
