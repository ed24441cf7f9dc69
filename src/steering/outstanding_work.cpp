#include "nutmegturn/steering/outstanding_work.hpp"

#include <algorithm>

namespace nutmegturn::steering
{
	namespace
	{
		/// Share of the elapsed time that a request which runs for longer than expected is expected to take in
		/// addition.
		constexpr double overrun_share = 0.25;

		/// \name Bound of the additional time of a request that runs for longer than expected
		/// @{
		constexpr cost_ms max_overrun{500.0};
		constexpr double max_overrun_means = 10;
		/// @}

		using request_iterator = std::deque<delivered_request>::iterator;

		[[nodiscard]] request_iterator find_request(outstanding_work& work, const flow_id& flow)
		{
			return std::ranges::find(work.requests, flow, &delivered_request::flow);
		}

		[[nodiscard]] bool has_free_slot(const outstanding_work& work, std::uint32_t slots) noexcept
		{
			return slots == 0 || work.started < slots;
		}

		/// Starts queued requests, oldest first, while slots are free.
		void start_queued(outstanding_work& work, std::uint32_t slots, monotonic_time now)
		{
			auto next = std::ranges::find(work.requests, false, &delivered_request::started);
			while (next != work.requests.end() && has_free_slot(work, slots))
			{
				next->started = true;
				next->started_at = now;
				++work.started;
				next = std::find_if(next, work.requests.end(), [](const auto& it) { return !it.started; });
			}
		}

		void remove_request(outstanding_work& work, const request_iterator& request, std::uint32_t slots,
							monotonic_time now)
		{
			work.started -= request->started ? 1 : 0;
			work.requests.erase(request);
			start_queued(work, slots, now);
		}

		[[nodiscard]] cost_ms remaining_cost(const delivered_request& request, const cost_estimate& expected,
											 monotonic_time now) noexcept
		{
			if (!request.started)
			{
				return expected.mean;
			}
			const auto elapsed = std::max(cost_ms{now - request.started_at}, cost_ms{0});
			const auto overrun =
				std::min(elapsed * overrun_share, std::max(max_overrun, max_overrun_means * expected.mean));
			return std::max({expected.mean - elapsed, expected.deviation, overrun});
		}
	}

	void record_request_packet(outstanding_work& work, const flow_id& flow, bool first_packet_seen, std::uint32_t slots,
							   monotonic_time now)
	{
		if (const auto found = find_request(work, flow); found != work.requests.end())
		{
			found->size = request_size::several_packets;
			return;
		}
		if (work.requests.size() < max_tracked_requests)
		{
			work.requests.push_back({.flow = flow, .first_packet_seen = first_packet_seen});
			start_queued(work, slots, now);
		}
	}

	std::optional<answered_request> record_response(outstanding_work& work, const flow_id& flow, std::uint32_t slots,
													monotonic_time now)
	{
		const auto found = find_request(work, flow);
		if (found == work.requests.end())
		{
			return std::nullopt;
		}
		const auto request = *found;
		remove_request(work, found, slots, now);
		if (slots == 0 || !request.started || !request.first_packet_seen)
		{
			return std::nullopt;
		}
		return answered_request{.route = flow.route, .size = request.size, .cost = now - request.started_at};
	}

	void discard_request(outstanding_work& work, const flow_id& flow, std::uint32_t slots, monotonic_time now)
	{
		if (const auto found = find_request(work, flow); found != work.requests.end())
		{
			remove_request(work, found, slots, now);
		}
	}

	void discard_overdue_requests(outstanding_work& work, std::uint32_t slots, monotonic_time now)
	{
		const auto overdue = [now](const auto& it) { return it.started && now - it.started_at >= max_tracked_time; };
		work.started -= static_cast<std::size_t>(std::ranges::count_if(work.requests, overdue));
		std::erase_if(work.requests, overdue);
		start_queued(work, slots, now);
	}

	cost_ms remaining_work(const outstanding_work& work, const request_costs& costs, monotonic_time now)
	{
		cost_ms sum{0};
		for (const auto& request : work.requests)
		{
			sum += remaining_cost(request, expected_cost(costs, request.flow.route, request.size), now);
		}
		return std::min(sum, max_outstanding);
	}
}
