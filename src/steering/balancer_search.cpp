#include "nutmegturn/impl/balancer_flows.hpp"

#include <algorithm>

namespace nutmegturn::steering
{
	namespace
	{
		/// An agent that sent nothing for this long may be down. Agents report their load at least once a second; the
		/// timeout corresponds to two missed reports.
		constexpr milliseconds agent_timeout{2'500};

		void add_if_absent(std::vector<ipv4>& found, ipv4 instance)
		{
			if (std::ranges::find(found, instance) == found.end())
			{
				found.push_back(instance);
			}
		}

		/// Returns whether a message of the agent arrived within `agent_timeout`.
		[[nodiscard]] bool is_agent_alive(const balancer_state& state, ipv4 agent, monotonic_time now)
		{
			const auto found = state.loads.find(agent);
			return found != state.loads.end() && now - found->second.reported_at < agent_timeout;
		}

		/// Returns whether an agent's answer is required to declare a flow lost. It is not required from an agent that
		/// has just reported that its upstream holds no flow, nor from one that is shutting down or silent while its
		/// upstream has left the store. Such a report says nothing about the next process of a listed upstream, so it
		/// counts only for `agent_timeout`. At the address of an entry with an unknown service there may be no agent.
		[[nodiscard]] bool is_answer_required(const balancer_state& state, const known_upstream& upstream,
											  monotonic_time now)
		{
			const auto agent = upstream.entry.address.ip;
			const auto found = state.loads.find(agent);
			const auto admission =
				found == state.loads.end() ? admission_status::accepting : found->second.report.admission;
			const bool alive = is_agent_alive(state, agent, now);
			const bool drained = alive && admission == admission_status::drained;
			if (upstream.listed && upstream.status != service_status::unknown)
			{
				return !drained;
			}
			return alive && !drained && admission != admission_status::stopping;
		}

		/// Returns whether nothing has been heard of the process that runs at an agent's instance, or is to run there
		/// next.
		[[nodiscard]] bool is_unheard(const upstream_load& load) noexcept
		{
			return load.reported_at == monotonic_time{} || load.report.admission == admission_status::stopping ||
				   load.report.admission == admission_status::drained;
		}
	}

	namespace detail
	{
		bool may_hold_flows(const balancer_state& state, const catalog& known, ipv4 holder, monotonic_time now)
		{
			if (is_agent_alive(state, holder, now))
			{
				return true;
			}
			return std::ranges::any_of(known.upstreams,
									   [&](const auto& it)
									   {
										   const auto& upstream = it.second;
										   return upstream.entry.address.ip == holder &&
												  is_answer_required(state, upstream, now);
									   });
		}

		steering_decision search_holder(const balancer_state& state, const catalog& known, const known_route& route,
										monotonic_time now)
		{
			const auto services_known_since = std::max(state.started, known.versions_skipped_at);
			const bool all_services = now - services_known_since < former_upstream_retention;
			steering_decision decision;
			decision.what = steering_decision::action::search;
			for (const auto& [service, upstreams] : known.by_service)
			{
				const bool in_route = std::ranges::any_of(route.services, [&id = service](const auto& share)
														  { return share.service == id; });
				if (!all_services && !in_route && !route.former_services.contains(service))
				{
					continue;
				}
				for (const auto* it : upstreams)
				{
					add_if_absent(decision.agents, it->entry.address.ip);
					if (is_answer_required(state, *it, now))
					{
						add_if_absent(decision.required, it->entry.address.ip);
					}
				}
			}
			return decision;
		}
	}

	std::vector<ipv4> required_answers(const balancer_state& state, const catalog& known, const flow_id& id,
									   monotonic_time now)
	{
		const auto route = known.routes.find(id.route);
		return route == known.routes.end() ? std::vector<ipv4>{}
										   : detail::search_holder(state, known, route->second, now).required;
	}

	std::vector<ipv4> unheard_agents(const balancer_state& state, const catalog& known)
	{
		std::vector<ipv4> agents;
		for (const auto& [key, it] : known.upstreams)
		{
			const auto found = state.loads.find(it.entry.address.ip);
			const bool expected = it.listed && it.status != service_status::unknown;
			if (expected && (found == state.loads.end() || is_unheard(found->second)))
			{
				add_if_absent(agents, it.entry.address.ip);
			}
		}
		return agents;
	}
}
