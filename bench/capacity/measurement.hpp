#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace capacity
{
	/// Value measured at one problem size.
	struct point
	{
		double size = 0;
		double value = 0;
	};

	/// Quantity measured at several sizes.
	struct measurement
	{
		std::string name;
		std::string size_unit;  ///< Unit of `point::size`.
		std::string value_unit; ///< Unit of `point::value`.
		std::string source;     ///< Source file of the measured code.
		std::vector<point> points;
	};

	/// Straight line fitted by least squares.
	struct linear_fit
	{
		double slope = 0;
		double intercept = 0;
		double r2 = 0; ///< Coefficient of determination; 1 if all values are equal, because the line is then exact.
	};

	/// Fits a line to the points of a measurement. The points must have at least two different sizes.
	[[nodiscard]] linear_fit fit_line(const std::vector<point>& points);

	/// Returns the number of heap bytes in use, as reported by the allocator.
	[[nodiscard]] std::size_t heap_in_use();

	/// Returns the processor time used by the calling thread.
	[[nodiscard]] std::chrono::nanoseconds thread_cpu_time();

	/// Converts a duration to microseconds.
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
