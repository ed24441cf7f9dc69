#include "nutmegturn/steering/balancer_flows.hpp"

#include <algorithm>

namespace nutmegturn::steering
{
	namespace
	{
		/// A flow without packets for this long is removed. Longer than an idle timeout, since the flow's packets may
		/// arrive at another balancer.
		constexpr std::chrono::seconds flow_idle_timeout{60};

		/// An agent that sent nothing for this long may be down. Agents report their load at least once a second; the
		/// timeout corresponds to two missed reports.
		constexpr milliseconds agent_timeout{2'500};

		/// Largest number of upstreams that one opening packet is sent to.
		constexpr std::size_t max_tried_upstreams = 8;

		[[nodiscard]] steering_decision reject(steering_decision::action what, reason why)
		{
			return {
				.what = what, .kind = {}, .service = {}, .agents = {}, .required = {}, .why = why, .upstream_key = {}};
		}

		[[nodiscard]] steering_decision forward(message_kind kind, service_key service, ipv4 agent)
		{
			return {.what = steering_decision::action::forward,
					.kind = kind,
					.service = service,
					.agents = {agent},
					.required = {},
					.why = reason::none,
					.upstream_key = {}};
		}

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
		/// counts only for `agent_timeout`.
		[[nodiscard]] bool is_answer_required(const balancer_state& state, const known_upstream& upstream,
											  monotonic_time now)
		{
			const auto agent = upstream.entry.address.ip;
			const auto found = state.loads.find(agent);
			const auto admission =
				found == state.loads.end() ? admission_status::accepting : found->second.report.admission;
			const bool alive = is_agent_alive(state, agent, now);
			const bool drained = alive && admission == admission_status::drained;
			if (upstream.listed)
			{
				return !drained;
			}
			return alive && !drained && admission != admission_status::stopping;
		}

		/// Returns whether a flow's holder may still be reachable.
		[[nodiscard]] bool may_hold_flows(const balancer_state& state, const catalog& known, ipv4 holder,
										  monotonic_time now)
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

		/// Starts a search for a flow's holder. A process cannot know which services the route had before it started,
		/// or in versions of the configuration that it skipped, so it queries all agents for as long as flows from that
		/// time can be open. An upstream without an entry may
		/// still hold the flow, but its agent may be down too, so its answer is not required.
		[[nodiscard]] steering_decision search_holder(const balancer_state& state, const catalog& known,
													  const known_route& route, monotonic_time now)
		{
			const auto services_known_since = std::max(state.started, known.versions_skipped_at);
			const bool all_services = now - services_known_since < former_upstream_retention;
			steering_decision decision;
			decision.what = steering_decision::action::search;
			for (const auto& [service, upstreams] : known.by_service)
			{
				const bool in_route = std::ranges::any_of(route.services, [id = service](const auto& share)
														  { return share.first == id; });
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

		/// Returns whether nothing has been heard of the process that runs at an agent's instance, or is to run there
		/// next.
		[[nodiscard]] bool is_unheard(const upstream_load& load) noexcept
		{
			return load.reported_at == monotonic_time{} || load.report.admission == admission_status::stopping ||
				   load.report.admission == admission_status::drained;
		}

		void record_opening_sent(balancer_state& state, ipv4 agent, monotonic_time now)
		{
			auto& load = state.loads[agent];
			record_placement(load, now);
			if (load.unanswered_since == monotonic_time{} || now - load.unanswered_since > unanswered_backoff)
			{
				load.unanswered_since = now;
			}
		}

		[[nodiscard]] steering_decision place_flow(balancer_state& state, const catalog& known,
												   const known_route& route, const flow_id& id, balancer_flow& flow,
												   monotonic_time now)
		{
			const auto hash = hash_flow(id);
			const auto service = choose_service(route, hash);
			const auto* chosen = flow.tried.size() < max_tried_upstreams
									 ? choose_upstream(known, service, state.loads, state.zone, flow.tried, hash,
													   route.traffic.priority, now)
									 : nullptr;
			flow.confirmed = false;
			if (chosen == nullptr && !flow.unanswered.empty())
			{
				// An upstream that has not answered may have opened the flow, so a reset could break an open flow.
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
			record_opening_sent(state, flow.holder, now);
			auto decision = forward(message_kind::open, service, flow.holder);
			decision.upstream_key = chosen->key;
			return decision;
		}

		[[nodiscard]] steering_decision steer_opening(balancer_state& state, const catalog& known,
													  const known_route& route, const segment& packet,
													  monotonic_time now)
		{
			const auto id = flow_of_caller(packet);
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
				// A retransmission: the last chosen upstream had time to answer.
				flow.tried.push_back(flow.holder);
				flow.unanswered.push_back(flow.holder);
			}
			auto decision = place_flow(state, known, route, id, flow, now);
			if (decision.what == steering_decision::action::drop)
			{
				// All upstreams were tried and some have not answered: restart with the retransmitted packet.
				state.flows[id] = {.holder = {}, .confirmed = false, .tried = {}, .unanswered = {}, .last_used = now};
				return place_flow(state, known, route, id, state.flows[id], now);
			}
			return decision;
		}

		void record_load(balancer_state& state, const message& msg, ipv4 agent, monotonic_time now)
		{
			auto& load = state.loads[agent];
			load.report = msg.load;
			load.reported_at = now;
			load.flows_since_report = 0;
			if (msg.kind == message_kind::held || msg.kind == message_kind::accepted ||
				msg.kind == message_kind::declined)
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
			return place_flow(state, known, route->second, id, found->second, now);
		}

		/// Drops the record that an agent's upstream holds a flow, so that the flow's next packet starts a search.
		void forget_holder(balancer_state& state, const flow_id& id, ipv4 agent)
		{
			const auto found = state.flows.find(id);
			if (found != state.flows.end() && found->second.holder == agent)
			{
				state.flows.erase(found);
			}
		}

		/// Handles a packet that the upstream bounced: searches for the holder among the other agents.
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

	steering_decision steer_packet(balancer_state& state, const catalog& known, const segment& packet,
								   monotonic_time now, bool current)
	{
		if (packet.bounced || (packet.syn && packet.ack))
		{
			return reject(steering_decision::action::drop, reason::not_for_callers);
		}
		const auto route = known.routes.find(packet.destination);
		if (route == known.routes.end())
		{
			if (packet.rst || !current)
			{
				return reject(steering_decision::action::drop, reason::route_unknown);
			}
			return reject(steering_decision::action::reset, reason::no_route);
		}
		if (packet.syn)
		{
			return steer_opening(state, known, route->second, packet, now);
		}
		const auto flow = state.flows.find(flow_of_caller(packet));
		if (flow == state.flows.end())
		{
			return packet.rst ? steering_decision{} : search_holder(state, known, route->second, now);
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

	std::vector<ipv4> unheard_agents(const balancer_state& state, const catalog& known)
	{
		std::vector<ipv4> agents;
		for (const auto& [key, it] : known.upstreams)
		{
			const auto found = state.loads.find(it.entry.address.ip);
			if (it.listed && (found == state.loads.end() || is_unheard(found->second)))
			{
				add_if_absent(agents, it.entry.address.ip);
			}
		}
		return agents;
	}

	void record_holder(balancer_state& state, const flow_id& id, ipv4 agent, monotonic_time now)
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

	void record_acceptance(balancer_state& state, const flow_id& id, ipv4 agent, monotonic_time now)
	{
		const auto found = state.flows.find(id);
		if (found == state.flows.end() || !found->second.confirmed)
		{
			record_holder(state, id, agent, now);
		}
	}

	steering_decision handle_agent_message(balancer_state& state, const catalog& known, const message& msg,
										   const segment* packet, ipv4 agent, monotonic_time now)
	{
		record_load(state, msg, agent, now);
		if (msg.kind == message_kind::held)
		{
			record_holder(state, msg.flow, agent, now);
			return {};
		}
		if (msg.kind == message_kind::accepted)
		{
			record_acceptance(state, msg.flow, agent, now);
			return {};
		}
		if (msg.kind == message_kind::held_flows)
		{
			for (const auto& id : decode_flows(msg.packet))
			{
				record_holder(state, id, agent, now);
			}
			return {};
		}
		if (msg.kind == message_kind::not_held && packet != nullptr)
		{
			return handle_not_held(state, known, *packet, agent, now);
		}
		if (msg.kind == message_kind::not_held)
		{
			forget_holder(state, msg.flow, agent);
			return {};
		}
		if (msg.kind == message_kind::declined && packet != nullptr)
		{
			return handle_decline(state, known, *packet, agent, now);
		}
		return {};
	}

	void expire_idle_flows(balancer_state& state, monotonic_time now)
	{
		std::erase_if(state.flows, [now](const auto& it) { return now - it.second.last_used > flow_idle_timeout; });
	}
}
