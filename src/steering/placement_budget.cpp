#include "nutmegturn/steering/placement_budget.hpp"

namespace nutmegturn::steering
{
	namespace
	{
		constexpr std::int64_t slice_count{placement_budget::slices_per_second};

		[[nodiscard]] std::int64_t slice_number(monotonic_time now) noexcept
		{
			constexpr auto slice_length = std::chrono::nanoseconds{std::chrono::seconds{1}} / slice_count;
			return now.time_since_epoch() / slice_length;
		}

		[[nodiscard]] placement_budget::slice& current_slice(placement_budget& budget, std::uint8_t priority,
															 monotonic_time now)
		{
			const auto number = slice_number(now);
			auto& slice = budget.by_priority[priority].at(static_cast<std::size_t>(number % slice_count));
			if (slice.number != number)
			{
				slice = {.number = number};
			}
			return slice;
		}
	}

	void record_first_placement(placement_budget& budget, std::uint8_t priority, monotonic_time now)
	{
		++current_slice(budget, priority, now).first;
	}

	void record_second_placement(placement_budget& budget, std::uint8_t priority, monotonic_time now)
	{
		++current_slice(budget, priority, now).second;
	}

	bool allows_second_placement(const placement_budget& budget, std::uint8_t priority, monotonic_time now)
	{
		const auto found = budget.by_priority.find(priority);
		if (found == budget.by_priority.end())
		{
			return true;
		}
		std::uint64_t first = 0;
		std::uint64_t second = 0;
		for (const auto& slice : found->second)
		{
			if (slice.number > slice_number(now) - slice_count)
			{
				first += slice.first;
				second += slice.second;
			}
		}
		const auto allowed = second_placement_share * static_cast<double>(first) + second_placement_reserve;
		return static_cast<double>(second + 1) <= allowed;
	}
}
