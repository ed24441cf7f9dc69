#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace capacity
{
	/// Value measured at one size.
	struct point
	{
		double size = 0;
		double value = 0;
	};

	/// One quantity at several sizes.
	struct measurement
	{
		std::string name;
		std::string size_unit;  ///< What `point::size` counts.
		std::string value_unit; ///< What `point::value` counts.
		std::string source;     ///< File that carries the mechanism.
		std::vector<point> points;
	};

	/// Straight line by least squares.
	struct linear_fit
	{
		double slope = 0;
		double intercept = 0;
		double r2 = 0; ///< 1 when all values are equal, since the line then meets them.
	};

	/// Returns the line through the points of a measurement; it needs at least two sizes.
	[[nodiscard]] linear_fit fit_line(const std::vector<point>& points);

	/// Returns the bytes that the allocator has handed out.
	[[nodiscard]] std::size_t heap_in_use();

	/// Returns the processor time of the calling thread.
	[[nodiscard]] std::chrono::nanoseconds thread_cpu_time();

	/// Returns a duration in microseconds.
	[[nodiscard]] constexpr double microseconds(std::chrono::nanoseconds time) noexcept
	{
		return static_cast<double>(time.count()) / 1e3;
	}

	/// \name Measurements by role
	/// @{
	[[nodiscard]] std::vector<measurement> measure_balancer();
	[[nodiscard]] std::vector<measurement> measure_membership();
	[[nodiscard]] std::vector<measurement> measure_events();
	[[nodiscard]] std::vector<measurement> measure_relay();
	[[nodiscard]] std::vector<measurement> measure_agent();
	[[nodiscard]] std::vector<measurement> measure_requests();
	/// @}
}
