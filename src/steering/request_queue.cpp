#include "nutmegturn/steering/request_queue.hpp"

#include <algorithm>
#include <iterator>

namespace nutmegturn::steering
{
	bool has_waiting_packets(const request_queue& queue, const flow_id& flow)
	{
		return std::ranges::find(queue.waiting, flow, &queued_packet::flow) != queue.waiting.end();
	}

	queue_result add_packet(request_queue& queue, queued_packet packet)
	{
		const bool waits_already =
			std::ranges::any_of(queue.waiting,
								[&packet](const auto& it)
								{
									return it.flow == packet.flow && it.sequence == packet.sequence &&
										   it.payload_size == packet.payload_size && it.fin == packet.fin;
								});
		if (waits_already)
		{
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
					{.priority = it.priority, .zone = it.zone, .caller = it.flow.caller.ip, .since = it.since});
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
		const auto deadline = next_request_deadline(queue);
		return deadline && *deadline <= now ? std::optional{queue.waiting.front().flow} : std::nullopt;
	}

	std::optional<monotonic_time> next_request_deadline(const request_queue& queue)
	{
		return queue.waiting.empty() ? std::nullopt : std::optional{queue.waiting.front().queued_at + max_request_wait};
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
