#include "nutmegturn/steering/balancer_flows.hpp"

#include <algorithm>

namespace nutmegturn::steering
{
	namespace
	{
		/// A flow without packets for this long is forgotten. Longer than an idle timeout, since the flow's packets may
		/// go through another balancer.
		constexpr std::chrono::seconds longest_idle{60};

		/// An agent reports its load once a second at least; one that misses two reports may be gone.
		constexpr milliseconds agent_silence{2'500};

		/// How many upstreams are tried with one opening packet.
		constexpr std::size_t max_tried = 8;

		[[nodiscard]] steering_decision reject(steering_decision::action what, reason why)
		{
			return {.what = what, .kind = {}, .service = {}, .agents = {}, .required = {}, .why = why};
		}

		[[nodiscard]] steering_decision forward(message_kind kind, service_key service, ipv4 agent)
		{
			return {.what = steering_decision::action::forward,
					.kind = kind,
					.service = service,
					.agents = {agent},
					.required = {},
					.why = reason::none};
		}

		void add_instance(std::vector<ipv4>& found, ipv4 instance)
		{
			if (std::ranges::find(found, instance) == found.end())
			{
				found.push_back(instance);
			}
		}

		/// Whether the agent of an instance is alive as far as its messages tell.
		[[nodiscard]] bool was_heard_lately(const balancer_state& state, ipv4 agent, monotonic_time now)
		{
			const auto found = state.loads.find(agent);
			return found != state.loads.end() && now - found->second.reported_at < agent_silence;
		}

		/// The answer of an agent that stopped is not awaited once its upstream holds no flow or has left the store.
		[[nodiscard]] bool must_answer(const balancer_state& state, const known_upstream& it, monotonic_time now)
		{
			const auto agent = it.entry.address.ip;
			const auto found = state.loads.find(agent);
			const auto last = found == state.loads.end() ? admission_status::accepting : found->second.report.admission;
			if (it.listed)
			{
				return last != admission_status::drained;
			}
			return last != admission_status::drained && last != admission_status::stopping &&
				   was_heard_lately(state, agent, now);
		}

		/// Whether packets of a flow that an instance held can still be delivered there, as far as is known.
		[[nodiscard]] bool may_hold_flows(const balancer_state& state, const catalog& known, ipv4 holder,
										  monotonic_time now)
		{
			if (was_heard_lately(state, holder, now))
			{
				return true;
			}
			return std::ranges::any_of(known.upstreams,
									   [&](const auto& it)
									   {
										   const auto& upstream = it.second;
										   return upstream.entry.address.ip == holder &&
												  must_answer(state, upstream, now);
									   });
		}

		/// Asks for the holder of a flow. A process cannot know which services the route named before it started, so as
		/// long as such a flow can be open it asks all agents. An upstream without entry may still hold the flow, but
		/// its agent may be gone too, so its answer is not needed.
		[[nodiscard]] steering_decision search_holder(const balancer_state& state, const catalog& known,
													  const known_route& route, monotonic_time now)
		{
			const bool all = now - state.started < former_upstream_retention;
			steering_decision decision;
			decision.what = steering_decision::action::search;
			for (const auto& [service, upstreams] : known.by_service)
			{
				const bool named = std::ranges::any_of(route.services,
													   [id = service](const auto& share) { return share.first == id; });
				if (!all && !named && !route.former_services.contains(service))
				{
					continue;
				}
				for (const auto* it : upstreams)
				{
					add_instance(decision.agents, it->entry.address.ip);
					if (must_answer(state, *it, now))
					{
						add_instance(decision.required, it->entry.address.ip);
					}
				}
			}
			return decision;
		}

		void note_sent(balancer_state& state, ipv4 agent, monotonic_time now)
		{
			auto& load = state.loads[agent];
			++load.flows_since_report;
			if (load.unanswered_since == monotonic_time{} || now - load.unanswered_since > unanswered_backoff)
			{
				load.unanswered_since = now;
			}
		}

		[[nodiscard]] steering_decision place(balancer_state& state, const catalog& known, const known_route& route,
											  const flow_id& id, balancer_flow& flow, monotonic_time now)
		{
			const auto hash = hash_flow(id);
			const auto service = choose_service(route, hash);
			const auto* chosen = flow.tried.size() < max_tried
									 ? choose_upstream(known, service, state.loads, state.zone, flow.tried, hash, now)
									 : nullptr;
			flow.confirmed = false;
			if (chosen == nullptr && !flow.unanswered.empty())
			{
				// One that has not answered may have opened the flow, so a reset could hit an open flow.
				flow.holder = flow.unanswered.back();
				flow.unanswered.pop_back();
				return {};
			}
			if (chosen == nullptr)
			{
				const auto why = flow.tried.empty() ? reason::no_upstream : reason::all_declined;
				state.flows.erase(id);
				return reject(steering_decision::action::reset, why);
			}
			flow.holder = chosen->entry.address.ip;
			note_sent(state, flow.holder, now);
			return forward(message_kind::open, service, flow.holder);
		}

		[[nodiscard]] steering_decision steer_opening(balancer_state& state, const catalog& known,
													  const known_route& route, const segment& it, monotonic_time now)
		{
			const auto id = flow_of_caller(it);
			if (route.services.empty())
			{
				return reject(steering_decision::action::reset, reason::no_upstream);
			}
			if (state.flows.size() >= max_balancer_flows && !state.flows.contains(id))
			{
				return reject(steering_decision::action::reset, reason::table_full);
			}
			auto& flow = state.flows[id];
			flow.last_used = now;
			if (flow.confirmed)
			{
				return forward(message_kind::open, choose_service(route, hash_flow(id)), flow.holder);
			}
			if (flow.holder != ipv4{})
			{
				// A copy came although the last choice had time to answer.
				flow.tried.push_back(flow.holder);
				flow.unanswered.push_back(flow.holder);
			}
			auto decision = place(state, known, route, id, flow, now);
			if (decision.what == steering_decision::action::drop)
			{
				// All have been asked and some have not answered: the copy starts again.
				state.flows[id] = {.holder = {}, .confirmed = false, .tried = {}, .unanswered = {}, .last_used = now};
				return place(state, known, route, id, state.flows[id], now);
			}
			return decision;
		}

		void note_load(balancer_state& state, const message& it, ipv4 agent, monotonic_time now)
		{
			auto& load = state.loads[agent];
			load.report = it.load;
			load.reported_at = now;
			load.flows_since_report = 0;
			if (it.kind == message_kind::held || it.kind == message_kind::declined)
			{
				load.unanswered_since = {};
			}
		}

		[[nodiscard]] steering_decision handle_decline(balancer_state& state, const catalog& known,
													   const segment& packet, ipv4 agent, monotonic_time now)
		{
			const auto id = flow_of_caller(packet);
			const auto route = known.routes.find(packet.destination);
			const auto found = state.flows.find(id);
			if (route == known.routes.end() || route->second.services.empty())
			{
				return reject(steering_decision::action::reset, reason::no_route);
			}
			if (found == state.flows.end() || found->second.confirmed)
			{
				return {};
			}
			if (found->second.holder != agent)
			{
				std::erase(found->second.unanswered, agent);
				return {};
			}
			found->second.tried.push_back(agent);
			return place(state, known, route->second, id, found->second, now);
		}

		/// The upstream gave a packet back: the flow is looked up among the others.
		[[nodiscard]] steering_decision handle_not_held(balancer_state& state, const catalog& known,
														const segment& packet, ipv4 agent, monotonic_time now)
		{
			const auto id = flow_of_caller(packet);
			const auto found = state.flows.find(id);
			const auto route = known.routes.find(id.route);
			if (found == state.flows.end() || route == known.routes.end())
			{
				return {};
			}
			if (found->second.holder != agent)
			{
				return forward(message_kind::flow_packet, {}, found->second.holder);
			}
			state.flows.erase(found);
			auto decision = search_holder(state, known, route->second, now);
			std::erase(decision.agents, agent);
			std::erase(decision.required, agent);
			return decision;
		}
	}

	steering_decision steer_packet(balancer_state& state, const catalog& known, const segment& it, monotonic_time now,
								   bool current)
	{
		if (it.bounced || (it.syn && it.ack))
		{
			return reject(steering_decision::action::drop, reason::not_for_callers);
		}
		const auto route = known.routes.find(it.destination);
		if (route == known.routes.end())
		{
			if (it.rst || !current)
			{
				return reject(steering_decision::action::drop, reason::route_unknown);
			}
			return reject(steering_decision::action::reset, reason::no_route);
		}
		if (it.syn)
		{
			return steer_opening(state, known, route->second, it, now);
		}
		const auto flow = state.flows.find(flow_of_caller(it));
		if (flow == state.flows.end())
		{
			return it.rst ? steering_decision{} : search_holder(state, known, route->second, now);
		}
		if (!may_hold_flows(state, known, flow->second.holder, now))
		{
			state.flows.erase(flow);
			return search_holder(state, known, route->second, now);
		}
		flow->second.last_used = now;
		return forward(message_kind::flow_packet, {}, flow->second.holder);
	}

	std::vector<ipv4> required_answers(const balancer_state& state, const catalog& known, const flow_id& id,
									   monotonic_time now)
	{
		const auto route = known.routes.find(id.route);
		return route == known.routes.end() ? std::vector<ipv4>{}
										   : search_holder(state, known, route->second, now).required;
	}

	void note_holder(balancer_state& state, const flow_id& id, ipv4 agent, monotonic_time now)
	{
		if (state.flows.size() >= max_balancer_flows && !state.flows.contains(id))
		{
			return;
		}
		auto& flow = state.flows[id];
		flow.holder = agent;
		flow.confirmed = true;
		flow.last_used = now;
		flow.tried.clear();
		flow.unanswered.clear();
	}

	steering_decision handle_agent_message(balancer_state& state, const catalog& known, const message& it,
										   const segment* packet, ipv4 agent, monotonic_time now)
	{
		note_load(state, it, agent, now);
		if (it.kind == message_kind::held)
		{
			note_holder(state, it.flow, agent, now);
			return {};
		}
		if (it.kind == message_kind::held_flows)
		{
			for (const auto& id : decode_flows(it.packet))
			{
				note_holder(state, id, agent, now);
			}
			return {};
		}
		if (it.kind == message_kind::not_held && packet != nullptr)
		{
			return handle_not_held(state, known, *packet, agent, now);
		}
		if (it.kind == message_kind::declined && packet != nullptr)
		{
			return handle_decline(state, known, *packet, agent, now);
		}
		return {};
	}

	void expire_idle_flows(balancer_state& state, monotonic_time now)
	{
		std::erase_if(state.flows, [now](const auto& it) { return now - it.second.last_used > longest_idle; });
	}
}
