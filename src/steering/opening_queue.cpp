#include "nutmegturn/steering/opening_queue.hpp"

#include <algorithm>
#include <array>

namespace nutmegturn::steering
{
	namespace
	{
		/// Ages of the copies of an opening packet: callers retransmit it after 200 ms and after 600 ms.
		constexpr std::array copy_ages{milliseconds{0}, milliseconds{200}, milliseconds{600}};
	}

	milliseconds age_of_copy(std::uint32_t copy) noexcept
	{
		return copy_ages[std::min<std::size_t>(copy, copy_ages.size() - 1)];
	}

	std::optional<waiting_opening> add_opening(opening_queue& queue, waiting_opening opening)
	{
		if (std::ranges::any_of(queue.waiting, [&opening](const auto& it) { return it.flow == opening.flow; }))
		{
			return std::nullopt;
		}
		const auto position =
			std::ranges::upper_bound(queue.waiting, opening.opened_at, {}, &waiting_opening::opened_at);
		queue.waiting.insert(position, std::move(opening));
		if (queue.waiting.size() <= max_waiting_openings)
		{
			return std::nullopt;
		}
		std::optional<waiting_opening> oldest{std::move(queue.waiting.front())};
		queue.waiting.erase(queue.waiting.begin());
		return oldest;
	}

	std::optional<waiting_opening> take_newest_opening(opening_queue& queue)
	{
		if (queue.waiting.empty())
		{
			return std::nullopt;
		}
		std::optional<waiting_opening> newest{std::move(queue.waiting.back())};
		queue.waiting.pop_back();
		return newest;
	}

	std::vector<waiting_opening> take_overdue_openings(opening_queue& queue, monotonic_time now)
	{
		std::vector<waiting_opening> overdue;
		std::erase_if(queue.waiting,
					  [&overdue, now](auto& it)
					  {
						  if (now - it.queued_at < max_opening_wait)
						  {
							  return false;
						  }
						  overdue.push_back(std::move(it));
						  return true;
					  });
		return overdue;
	}
}
