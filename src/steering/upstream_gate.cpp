#include "nutmegturn/steering/upstream_gate.hpp"

#include <algorithm>
#include <limits>

namespace nutmegturn::steering
{
	namespace
	{
		constexpr std::chrono::seconds admission_window{1};

		/// Admitted in a window beyond the published rate, so that a rate below one a second still lets flows in.
		constexpr double cold_allowance = 2.0;

		/// Admitted in a window while the service's limits are not known.
		constexpr std::ptrdiff_t unknown_cold_limit = 5;

		[[nodiscard]] const service_record* own_service(const upstream_gate& gate, const catalog& known)
		{
			const auto found = known.services.find(gate.service);
			return found == known.services.end() ? nullptr : &found->second;
		}

		[[nodiscard]] bool is_unreachable(const upstream_gate& gate, monotonic_time now) noexcept
		{
			return gate.refused != monotonic_time{} ||
				   (gate.silent_since != monotonic_time{} && now - gate.silent_since > upstream_answer_timeout);
		}

		/// Whether the agent's own, newer configuration sends no flow of the route to its service.
		[[nodiscard]] bool route_excludes_service(const upstream_gate& gate, const catalog& known,
												  const ipv4_endpoint& address)
		{
			const auto route = known.routes.find(address);
			return route == known.routes.end() || std::ranges::none_of(route->second.services, [&gate](const auto& it)
																	   { return it.first == gate.service; });
		}
	}

	const known_upstream* own_upstream(const upstream_gate& gate, const catalog& known)
	{
		const auto found = known.by_service.find(gate.service);
		if (found == known.by_service.end())
		{
			return nullptr;
		}
		const known_upstream* latest = nullptr;
		for (const auto* it : found->second)
		{
			const bool own = it->entry.address.ip == gate.instance;
			if (own && (latest == nullptr || it->entry.started_at_ms > latest->entry.started_at_ms))
			{
				latest = it;
			}
		}
		return latest;
	}

	bool gate_is_cold(const upstream_gate& gate, const catalog& known, monotonic_time now)
	{
		const auto* service = own_service(gate, known);
		const auto* own = own_upstream(gate, known);
		if (service == nullptr || own == nullptr)
		{
			return true;
		}
		const auto zone = known.returned.find(gate.zone);
		const bool zone_returned = zone != known.returned.end() && now - zone->second < service->cold_time;
		const bool back = gate.cold_returned && now - gate.returned < service->cold_time;
		return is_cold(*own, now) || zone_returned || back;
	}

	std::uint16_t cold_admissions_left(const upstream_gate& gate, const catalog& known, monotonic_time now)
	{
		const auto* service = own_service(gate, known);
		if (service != nullptr && service->cold_requests_per_s <= 0.0)
		{
			return std::numeric_limits<std::uint16_t>::max();
		}
		const auto limit = service == nullptr
							   ? unknown_cold_limit
							   : static_cast<std::ptrdiff_t>(service->cold_requests_per_s + cold_allowance);
		const auto used =
			std::ranges::count_if(gate.admissions, [now](monotonic_time at) { return now - at < admission_window; });
		return static_cast<std::uint16_t>(std::max<std::ptrdiff_t>(limit - used, 0));
	}

	intake current_intake(const upstream_gate& gate, const catalog& known, monotonic_time now)
	{
		if (gate.stopping)
		{
			return intake::stopping;
		}
		if (const auto* own = own_upstream(gate, known); own != nullptr && !accepts_new_flows(known, *own, now))
		{
			return known.evacuated.contains(own->entry.zone) ? intake::evacuated : intake::draining;
		}
		if (known.evacuated.contains(gate.zone))
		{
			return intake::evacuated;
		}
		if (is_unreachable(gate, now))
		{
			return intake::upstream_unreachable;
		}
		return gate_is_cold(gate, known, now) ? intake::cold : intake::open;
	}

	intake admit_opening(upstream_gate& gate, const catalog& known, service_key service, std::uint64_t version,
						 const ipv4_endpoint& route, monotonic_time now)
	{
		if (service != gate.service || (version < known.version && route_excludes_service(gate, known, route)))
		{
			return intake::other_service;
		}
		const auto state = current_intake(gate, known, now);
		if (state == intake::cold)
		{
			return cold_admissions_left(gate, known, now) > 0 ? intake::open : intake::cold;
		}
		if (state == intake::upstream_unreachable && now - gate.last_trial >= trial_interval)
		{
			gate.last_trial = now;
			return intake::open;
		}
		return state;
	}

	void note_delivered(upstream_gate& gate, monotonic_time now)
	{
		while (!gate.admissions.empty() && now - gate.admissions.front() >= admission_window)
		{
			gate.admissions.pop_front();
		}
		gate.admissions.push_back(now);
		if (gate.silent_since == monotonic_time{})
		{
			gate.silent_since = now;
		}
	}

	void note_answered(upstream_gate& gate, monotonic_time now)
	{
		if (is_unreachable(gate, now))
		{
			gate.cold_returned = true;
			gate.returned = now;
		}
		gate.refused = {};
		gate.silent_since = {};
	}

	void note_refused(upstream_gate& gate, monotonic_time now)
	{
		gate.refused = now;
	}
}
