#include "nutmegturn/steering/request_queue.hpp"

#include <algorithm>
#include <iterator>

namespace nutmegturn::steering
{
	namespace
	{
		constexpr milliseconds first_interval{200};
		constexpr milliseconds longest_interval{1'600};

		/// A caller whose next copy is overdue by this much has gone.
		constexpr milliseconds copy_margin{100};

		/// Returns when a waiting request becomes overdue, or abandoned if its caller repeats it.
		[[nodiscard]] monotonic_time deadline_of(const queued_packet& request) noexcept
		{
			return request.queued_at +
				   (request.repeatable ? request_abandonment_age(request.copies, request.timeout) : max_request_wait);
		}

		template <typename Predicate>
		[[nodiscard]] std::optional<flow_id> find_flow(const request_queue& queue, Predicate matches)
		{
			const auto found = std::ranges::find_if(queue.waiting, [&matches](const auto& it)
													{ return it.starts_request && matches(it); });
			return found == queue.waiting.end() ? std::nullopt : std::optional{found->flow};
		}
	}

	milliseconds request_abandonment_age(std::uint32_t copies, milliseconds timeout) noexcept
	{
		milliseconds interval = first_interval;
		milliseconds age = interval;
		// A caller gives up after 8 copies at the latest.
		for (std::uint32_t i = 0; i < std::min(copies, 8U); ++i)
		{
			interval = std::min(2 * interval, longest_interval);
			age += interval;
		}
		return timeout.count() > 0 ? std::min(age + copy_margin, timeout) : age + copy_margin;
	}

	bool has_waiting_packets(const request_queue& queue, const flow_id& flow)
	{
		return std::ranges::find(queue.waiting, flow, &queued_packet::flow) != queue.waiting.end();
	}

	queue_result add_packet(request_queue& queue, queued_packet packet)
	{
		const auto same = std::ranges::find_if(queue.waiting,
											   [&packet](const auto& it)
											   {
												   return it.flow == packet.flow && it.sequence == packet.sequence &&
														  it.payload_size == packet.payload_size &&
														  it.fin == packet.fin;
											   });
		if (same != queue.waiting.end())
		{
			++same->copies;
			return queue_result::duplicate;
		}
		if (queue.waiting.size() >= max_waiting_packets)
		{
			return queue_result::full;
		}
		queue.waiting.push_back(std::move(packet));
		return queue_result::added;
	}

	std::vector<queued_packet> take_packets(request_queue& queue, const flow_id& flow)
	{
		std::vector<queued_packet> taken;
		std::erase_if(queue.waiting,
					  [&taken, &flow](auto& it)
					  {
						  if (it.flow != flow)
						  {
							  return false;
						  }
						  taken.push_back(std::move(it));
						  return true;
					  });
		return taken;
	}

	std::optional<flow_id> choose_waiting_flow(const request_queue& queue, const admission_usage& usage,
											   std::uint32_t slots, monotonic_time now)
	{
		std::vector<admission_candidate> candidates;
		std::vector<const queued_packet*> packets;
		for (const auto& it : queue.waiting)
		{
			if (it.starts_request)
			{
				candidates.push_back(
					{.priority = it.priority, .zone = it.zone, .caller = it.flow.caller.ip, .since = it.queued_at});
				packets.push_back(&it);
			}
		}
		if (candidates.empty())
		{
			return std::nullopt;
		}
		return packets[choose_next(usage, candidates, slots, arrival_order::newest_first, now)]->flow;
	}

	std::optional<flow_id> find_overdue_flow(const request_queue& queue, monotonic_time now)
	{
		return find_flow(queue, [now](const auto& it) { return !it.repeatable && deadline_of(it) <= now; });
	}

	std::optional<flow_id> find_abandoned_flow(const request_queue& queue, monotonic_time now)
	{
		return find_flow(queue, [now](const auto& it) { return it.repeatable && deadline_of(it) <= now; });
	}

	std::optional<monotonic_time> next_request_deadline(const request_queue& queue)
	{
		std::optional<monotonic_time> first;
		for (const auto& it : queue.waiting)
		{
			if (it.starts_request)
			{
				first = std::min(first.value_or(deadline_of(it)), deadline_of(it));
			}
		}
		return first;
	}

	std::vector<std::uint8_t> priorities_of_requests(const request_queue& queue)
	{
		std::vector<std::uint8_t> priorities;
		for (const auto& it : queue.waiting)
		{
			if (it.starts_request)
			{
				priorities.push_back(it.priority);
			}
		}
		return priorities;
	}
}
