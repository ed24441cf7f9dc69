#pragma once

#include "nutmegturn/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

namespace nutmegturn::steering
{
	/// Limits how often opening packets that a busy upstream returned are placed again. Each such placement loads
	/// another upstream with work that the first one could not take, so that an overload which they alone keep up would
	/// outlast its cause.
	///
	/// Counts by priority over the last second, in slices of a tenth of it. There are at most 256 priorities, and
	/// nothing older is remembered.
	struct placement_budget
	{
		/// Placements in one slice of time.
		struct slice
		{
			std::int64_t number = 0; ///< Time of the slice since the epoch, divided by its length.
			std::uint32_t first = 0;
			std::uint32_t second = 0;
		};

		/// Number of slices in a second.
		static constexpr std::size_t slices_per_second = 10;

		std::map<std::uint8_t, std::array<slice, slices_per_second>> by_priority;
	};

	/// Second placements as a share of the openings of the last second.
	inline constexpr double second_placement_share = 0.1;

	/// Second placements in a second beyond that share, so that a priority with few flows gets any.
	inline constexpr std::uint32_t second_placement_reserve = 5;

	/// Records that the opening packet of a new flow was placed.
	void record_first_placement(placement_budget& budget, std::uint8_t priority, monotonic_time now);

	/// Records that a returned opening packet was placed again.
	void record_second_placement(placement_budget& budget, std::uint8_t priority, monotonic_time now);

	/// Returns whether a returned opening packet may be placed again.
	[[nodiscard]] bool allows_second_placement(const placement_budget& budget, std::uint8_t priority,
											   monotonic_time now);
}
