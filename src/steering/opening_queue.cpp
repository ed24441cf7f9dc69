#include "nutmegturn/steering/opening_queue.hpp"

#include <algorithm>
#include <array>

namespace nutmegturn::steering
{
	namespace
	{
		/// Ages of the copies of an opening packet: callers retransmit it after 200 ms and after 600 ms.
		constexpr std::array copy_ages{milliseconds{0}, milliseconds{200}, milliseconds{600}};

		/// Age at which callers without a shorter timeout give up.
		constexpr milliseconds longest_presence{1'400};

		/// How late a retransmission may be before its caller is taken to have gone.
		constexpr milliseconds retransmission_margin{100};

		/// Removes and returns the packets that satisfy a predicate.
		template <typename Predicate>
		[[nodiscard]] std::vector<waiting_opening> take_if(opening_queue& queue, Predicate predicate)
		{
			std::vector<waiting_opening> taken;
			std::erase_if(queue.waiting,
						  [&taken, &predicate](auto& it)
						  {
							  if (!predicate(it))
							  {
								  return false;
							  }
							  taken.push_back(std::move(it));
							  return true;
						  });
			return taken;
		}

		[[nodiscard]] waiting_opening take_at(opening_queue& queue, std::size_t index)
		{
			const auto position = queue.waiting.begin() + static_cast<std::ptrdiff_t>(index);
			auto taken = std::move(*position);
			queue.waiting.erase(position);
			return taken;
		}

		/// Replaces a waiting packet by a later copy. It stays where it was, since its caller has waited as long.
		void refresh(waiting_opening& waiting, waiting_opening&& later)
		{
			later.opened_at = waiting.opened_at;
			later.queued_at = waiting.queued_at;
			later.copy = std::max(waiting.copy, later.copy);
			waiting = std::move(later);
		}

		/// Returns the number of requests that have to end before an opening packet of this priority is forwarded.
		[[nodiscard]] std::size_t excess_requests(const work_ahead& ahead, std::uint8_t priority)
		{
			const auto count_less_urgent = [priority](const std::vector<std::uint8_t>& priorities) {
				return static_cast<std::size_t>(
					std::ranges::count_if(priorities, [priority](auto it) { return it > priority; }));
			};
			const auto slots = std::max<std::size_t>(ahead.slots, 1);
			const auto at_upstream = ahead.requests - count_less_urgent(ahead.waiting_requests);
			const auto as_urgent = at_upstream - count_less_urgent(ahead.delivered);
			const auto excess = [](std::size_t requests, std::size_t limit)
			{ return requests < limit ? 0 : requests - limit + 1; };
			return std::max(excess(as_urgent, queued_requests_ratio * slots),
							excess(at_upstream, all_requests_ratio * slots));
		}
	}

	milliseconds age_of_copy(std::uint32_t copy) noexcept
	{
		return copy_ages[std::min<std::size_t>(copy, copy_ages.size() - 1)];
	}

	milliseconds opening_abandonment_age(std::uint32_t copy, milliseconds timeout) noexcept
	{
		const bool is_last = copy + 1 >= copy_ages.size();
		const auto overdue = is_last ? longest_presence : age_of_copy(copy + 1) + retransmission_margin;
		// A caller that has sent a copy after the timeout has another one than this process's configuration says.
		return timeout > age_of_copy(copy) ? std::min(timeout, overdue) : overdue;
	}

	std::optional<waiting_opening> add_opening(opening_queue& queue, waiting_opening opening)
	{
		const auto copy = std::ranges::find(queue.waiting, opening.flow, &waiting_opening::flow);
		if (copy != queue.waiting.end())
		{
			refresh(*copy, std::move(opening));
			return std::nullopt;
		}
		const auto position =
			std::ranges::upper_bound(queue.waiting, opening.opened_at, {}, &waiting_opening::opened_at);
		queue.waiting.insert(position, std::move(opening));
		if (queue.waiting.size() <= max_waiting_openings)
		{
			return std::nullopt;
		}
		const auto evicted = std::ranges::max_element(queue.waiting, {}, &waiting_opening::priority);
		return take_at(queue, static_cast<std::size_t>(evicted - queue.waiting.begin()));
	}

	void remove_opening(opening_queue& queue, const flow_id& flow)
	{
		std::erase_if(queue.waiting, [&flow](const auto& it) { return it.flow == flow; });
	}

	std::optional<waiting_opening> take_newest_opening(opening_queue& queue)
	{
		return queue.waiting.empty() ? std::nullopt : std::optional{take_at(queue, queue.waiting.size() - 1)};
	}

	bool is_saturated_for(const work_ahead& ahead, std::uint8_t priority)
	{
		return excess_requests(ahead, priority) > 0;
	}

	std::optional<waiting_opening> take_next_opening(opening_queue& queue, const admission_usage& usage,
													 const work_ahead& ahead, monotonic_time now)
	{
		std::vector<admission_candidate> candidates;
		std::vector<std::size_t> indices;
		for (std::size_t i = 0; i < queue.waiting.size(); ++i)
		{
			const auto& it = queue.waiting[i];
			if (!is_saturated_for(ahead, it.priority))
			{
				candidates.push_back(
					{.priority = it.priority, .zone = it.zone, .caller = it.flow.caller.ip, .since = it.opened_at});
				indices.push_back(i);
			}
		}
		if (candidates.empty())
		{
			return std::nullopt;
		}
		return take_at(queue, indices[choose_next(usage, candidates, ahead.slots, arrival_order::newest_first, now)]);
	}

	std::vector<waiting_opening> take_overdue_openings(opening_queue& queue, monotonic_time now)
	{
		return take_if(queue, [now](const auto& it) { return now - it.queued_at >= max_opening_wait; });
	}

	std::vector<waiting_opening> take_abandoned_openings(opening_queue& queue, monotonic_time now)
	{
		return take_if(queue, [now](const auto& it)
					   { return now - it.opened_at >= opening_abandonment_age(it.copy, it.timeout); });
	}

	milliseconds expected_wait(const opening_queue& queue, const work_ahead& ahead, std::uint8_t priority,
							   std::size_t newer)
	{
		const auto more_urgent = static_cast<std::size_t>(
			std::ranges::count_if(queue.waiting, [priority](const auto& it) { return it.priority < priority; }));
		// A class that has to wait for more urgent ones gets part of the slots in the meantime.
		const auto own_turns = static_cast<double>(newer + 1) / lowest_class_share;
		const auto turns = std::min(static_cast<double>(more_urgent + newer), own_turns) +
						   static_cast<double>(excess_requests(ahead, priority));
		return std::chrono::floor<milliseconds>(turns / std::max(ahead.slots, 1U) *
												std::chrono::duration<double, std::milli>{ahead.mean_cost});
	}

	std::vector<waiting_opening> take_unservable_openings(opening_queue& queue, const work_ahead& ahead,
														  monotonic_time now)
	{
		std::array<std::size_t, std::size_t{lowest_priority} + 1> newer{};
		std::vector<flow_id> hopeless;
		for (auto it = queue.waiting.rbegin(); it != queue.waiting.rend(); ++it)
		{
			const auto wait = expected_wait(queue, ahead, it->priority, newer[it->priority]++);
			if (now + wait >= it->queued_at + max_opening_wait)
			{
				hopeless.push_back(it->flow);
			}
		}
		return take_if(queue,
					   [&hopeless](const auto& it) { return std::ranges::find(hopeless, it.flow) != hopeless.end(); });
	}
}
