#include "scenario/flow_ledger.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace nutmegturn::scenario
{
	namespace
	{
		/// Longer than the 8 s until a configuration is in force everywhere: until then, older views still route
		/// packets to agents of a zone out of rotation, which drop them.
		constexpr std::chrono::seconds stall_timeout{10};

		/// Undelivered datagrams that indicate a stall. One or two can be in flight or lost with a failed balancer.
		constexpr std::uint32_t stall_threshold = 3;

		/// Time within which an accepted configuration is in force in every process (invariant 10).
		constexpr std::chrono::seconds config_propagation_limit{8};

		double ms_between(monotonic_time from, monotonic_time to)
		{
			return std::chrono::duration<double, std::milli>{to - from}.count();
		}
	}

	std::string ledger_on_delivery(flow_ledger& ledger, const flow_delivery& delivery,
								   const std::vector<std::unique_ptr<process>>& processes, run_counts& counts)
	{
		auto& it = ledger.flows[delivery.flow];
		const auto& here = *processes[delivery.agent];
		it.last_delivered = delivery.now;
		it.undelivered = 0;
		const auto since_signal = [&](const std::optional<monotonic_time>& signal)
		{ return signal ? ms_between(std::max(*signal, delivery.reachable_since), delivery.now) : 0; };
		if (delivery.reachable)
		{
			counts.zone_out_last_packet_ms =
				std::max(counts.zone_out_last_packet_ms, since_signal(here.zone_out_since));
		}
		if (delivery.service != it.service)
		{
			++counts.misdelivered;
			return fmt::format("flow {} was delivered to {}, which belongs to another service", delivery.flow,
							   here.info.name);
		}
		if (it.socket == delivery.socket)
		{
			return {};
		}
		if (delivery.reachable)
		{
			counts.leaving_last_new_ms = std::max(counts.leaving_last_new_ms, since_signal(here.leaving_since));
		}
		const auto earlier = std::exchange(it.socket, delivery.socket);
		const auto before = std::exchange(it.holder, delivery.agent);
		if (earlier == 0)
		{
			++counts.flows;
			return {};
		}
		// Until the record of a zone is in force everywhere, older views still route to holders in that zone, which
		// release their flows only after that.
		const bool returned_to_zone = delivery.socket <= here.exempt_through_socket &&
									  delivery.now <= here.zone_changed_at + config_propagation_limit;
		if (earlier <= processes[before]->exempt_through_socket || returned_to_zone ||
			!delivery.net->connected(before, delivery.agent))
		{
			++counts.ended_flows;
			return {};
		}
		++counts.broken_flows;
		return fmt::format("flow {} ({}) moved from {} to {}", delivery.flow, to_string(it.key.client),
						   processes[before]->info.name, here.info.name);
	}

	std::string ledger_find_stalled(flow_ledger& ledger, const std::vector<std::unique_ptr<process>>& processes,
									monotonic_time now, run_counts& counts)
	{
		std::string first;
		for (std::size_t i = 0; i < ledger.flows.size(); ++i)
		{
			auto& it = ledger.flows[i];
			const auto& holder = *processes[it.holder];
			const bool silent = it.undelivered >= stall_threshold && now > it.last_delivered + stall_timeout;
			if (it.socket == 0 || it.stalled || !it.open || !silent || it.socket <= holder.exempt_through_socket)
			{
				continue;
			}
			it.stalled = true;
			++counts.broken_flows;
			if (first.empty())
			{
				first = fmt::format("flow {} ({}) held by {} no longer receives datagrams", i, to_string(it.key.client),
									holder.info.name);
			}
		}
		return first;
	}
}
