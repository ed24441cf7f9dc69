#include "nutmegturn/steering/upstream_choice.hpp"

#include <algorithm>
#include <limits>

namespace nutmegturn::steering
{
	namespace
	{
		/// Weight of an open flow relative to a request in progress.
		constexpr double open_flow_weight = 0.03;

		/// Factor on the load of a cold upstream, which processes requests more slowly.
		constexpr double cold_factor = 1.6;

		/// Cost of an upstream that fails all requests, scaled by its failure ratio. It then gets flows only while the
		/// other upstreams have several times more requests than slots.
		constexpr double failure_cost = 5.0;

		/// Cost of an upstream that is used only if no other can accept the flow.
		constexpr double last_resort_cost = 1e6;

		/// Cost of an upstream whose agent has not sent anything to this process yet: it may still be starting, or its
		/// instance may be gone. Such an upstream is tried when the others have requests for 1.5 times their slots.
		constexpr double unheard_agent_cost = 1.5;

		/// Cost of an upstream in another zone.
		constexpr double other_zone_cost = spill_load;

		[[nodiscard]] bool is_unanswered(const upstream_load& load, monotonic_time now) noexcept
		{
			if (load.unanswered_since == monotonic_time{})
			{
				return false;
			}
			const auto waited = now - load.unanswered_since;
			return waited > agent_answer_timeout && waited < unanswered_backoff;
		}

		[[nodiscard]] double placement_cost(const known_upstream& upstream, const load_table& loads,
											std::string_view zone, monotonic_time now)
		{
			double cost = upstream.entry.zone == zone ? 0.0 : other_zone_cost;
			const auto found = loads.find(upstream.entry.address.ip);
			if (found == loads.end())
			{
				return cost + unheard_agent_cost;
			}
			const auto& load = found->second;
			cost += load.reported_at == monotonic_time{} ? unheard_agent_cost : 0.0;
			const double weighted_load =
				load.report.requests_in_progress + load.flows_since_report + open_flow_weight * load.report.open_flows;
			cost += weighted_load * (is_cold(upstream, now) ? cold_factor : 1.0) / std::max(upstream.entry.slots, 1U);
			constexpr double percent = 100;
			cost += failure_cost * load.report.failure_percent / percent;
			const bool cold_limit_reached = load.report.admission == admission_status::cold &&
											load.flows_since_report >= load.report.cold_admissions_left;
			const bool declining =
				load.report.admission != admission_status::accepting && load.report.admission != admission_status::cold;
			if (declining || cold_limit_reached || is_unanswered(load, now))
			{
				cost += last_resort_cost;
			}
			return cost;
		}
	}

	const known_upstream* choose_upstream(const catalog& known, service_key service, const load_table& loads,
										  std::string_view zone, std::span<const ipv4> excluded, std::uint64_t hash,
										  [[maybe_unused]] std::uint8_t priority, monotonic_time now)
	{
		const auto found = known.by_service.find(service);
		if (found == known.by_service.end())
		{
			return nullptr;
		}
		const known_upstream* best = nullptr;
		double lowest = std::numeric_limits<double>::max();
		std::uint64_t best_rank = 0;
		for (const auto* it : found->second)
		{
			const bool tried = std::ranges::find(excluded, it->entry.address.ip) != excluded.end();
			if (tried || !accepts_new_flows(known, *it, now))
			{
				continue;
			}
			const double cost = placement_cost(*it, loads, zone, now);
			const auto rank = detail::mix_bits(hash ^ static_cast<std::uint32_t>(it->entry.address.ip));
			if (cost < lowest || (cost == lowest && rank > best_rank))
			{
				best = it;
				lowest = cost;
				best_rank = rank;
			}
		}
		return best;
	}
}
