#include "nutmegturn/steering/upstream_gate.hpp"

#include <algorithm>
#include <limits>

namespace nutmegturn::steering
{
	namespace
	{
		constexpr std::chrono::seconds admission_window{1};

		/// Flows per window on top of the published rate, so that a rate below one per second still admits flows.
		constexpr double cold_allowance = 2.0;

		/// Flows per window while the service's limits are unknown.
		constexpr std::ptrdiff_t unknown_cold_limit = 5;

		[[nodiscard]] const service_record* own_service(const upstream_gate& gate, const catalog& known)
		{
			const auto found = known.services.find(gate.service);
			return found == known.services.end() ? nullptr : &found->second;
		}

		[[nodiscard]] bool is_unreachable(const upstream_gate& gate, monotonic_time now) noexcept
		{
			return gate.refused_at != monotonic_time{} ||
				   (gate.unanswered_since != monotonic_time{} && now - gate.unanswered_since > upstream_answer_timeout);
		}

		/// Returns whether the agent's own configuration sends no flows of the route to its service.
		[[nodiscard]] bool route_excludes_service(const upstream_gate& gate, const catalog& known,
												  const ipv4_endpoint& address)
		{
			const auto route = known.routes.find(address);
			return route == known.routes.end() || std::ranges::none_of(route->second.services, [&gate](const auto& it)
																	   { return it.service == gate.service; });
		}
	}

	const known_upstream* own_upstream(const upstream_gate& gate, const catalog& known)
	{
		const known_upstream* latest = nullptr;
		for (auto it = known.by_address.lower_bound({.ip = gate.instance, .port = 0});
			 it != known.by_address.end() && it->first.ip == gate.instance; ++it)
		{
			for (const auto* upstream : it->second)
			{
				const bool own = upstream->entry.service == gate.service;
				if (own && (latest == nullptr || registered_later(*upstream, *latest)))
				{
					latest = upstream;
				}
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
		const auto has_returned = [&](const std::string& zone)
		{
			const auto ended = known.evacuation_ended.find(zone);
			return ended != known.evacuation_ended.end() && now - ended->second < service->cold_time;
		};
		const bool zone_returned = has_returned(gate.zone) || has_returned(own->entry.zone);
		const bool recovering = gate.recovered && now - gate.recovered_at < service->cold_time;
		return is_cold(*own, now) || zone_returned || recovering;
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
		const auto used = std::ranges::count_if(gate.recent_admissions,
												[now](monotonic_time at) { return now - at < admission_window; });
		return static_cast<std::uint16_t>(std::max<std::ptrdiff_t>(limit - used, 0));
	}

	admission_status current_admission_status(const upstream_gate& gate, const catalog& known, monotonic_time now)
	{
		if (gate.stopping)
		{
			return admission_status::stopping;
		}
		if (const auto* own = own_upstream(gate, known); own != nullptr && !accepts_new_flows(known, *own, now))
		{
			return known.evacuations.contains(own->entry.zone) ? admission_status::evacuated
															   : admission_status::draining;
		}
		if (known.evacuations.contains(gate.zone))
		{
			return admission_status::evacuated;
		}
		if (is_unreachable(gate, now))
		{
			return admission_status::upstream_unreachable;
		}
		return gate_is_cold(gate, known, now) ? admission_status::cold : admission_status::accepting;
	}

	admission_status admit_opening(upstream_gate& gate, const catalog& known, std::string_view service,
								   std::uint64_t version, const ipv4_endpoint& route, monotonic_time now)
	{
		const bool is_own = service == gate.service && !service.empty();
		if (!is_own || (version < known.version && route_excludes_service(gate, known, route)))
		{
			return admission_status::other_service;
		}
		const auto state = current_admission_status(gate, known, now);
		if (state == admission_status::cold)
		{
			return cold_admissions_left(gate, known, now) > 0 ? admission_status::accepting : admission_status::cold;
		}
		if (state == admission_status::upstream_unreachable && now - gate.last_trial >= trial_interval)
		{
			gate.last_trial = now;
			return admission_status::accepting;
		}
		return state;
	}

	bool admits_new_flows(const upstream_gate& gate, const catalog& known, monotonic_time now)
	{
		const auto status = current_admission_status(gate, known, now);
		return status == admission_status::accepting || status == admission_status::cold;
	}

	void record_delivery(upstream_gate& gate, monotonic_time now)
	{
		while (!gate.recent_admissions.empty() && now - gate.recent_admissions.front() >= admission_window)
		{
			gate.recent_admissions.pop_front();
		}
		gate.recent_admissions.push_back(now);
		if (gate.unanswered_since == monotonic_time{})
		{
			gate.unanswered_since = now;
		}
	}

	void mark_reachable(upstream_gate& gate, monotonic_time now)
	{
		if (is_unreachable(gate, now))
		{
			gate.recovered = true;
			gate.recovered_at = now;
		}
		gate.refused_at = {};
		gate.unanswered_since = {};
	}

	void record_ended_run(upstream_gate& gate, monotonic_time run_at, monotonic_time now)
	{
		if (run_at > gate.ended_run_at)
		{
			gate.ended_run_at = run_at;
			gate.ended_run_seen_at = now;
		}
	}

	void mark_refused(upstream_gate& gate, monotonic_time now)
	{
		gate.refused_at = now;
		record_ended_run(gate, now, now);
	}
}
