#include "nutmegturn/impl/balancer_flows.hpp"

#include <algorithm>

namespace nutmegturn::steering
{
	namespace
	{
		using namespace detail;

		/// A flow without packets for this long is removed. Longer than an idle timeout, since the flow's packets may
		/// arrive at another balancer.
		constexpr std::chrono::seconds flow_idle_timeout{60};

		void record_load(balancer_state& state, const message& msg, ipv4 agent, monotonic_time now)
		{
			auto& load = state.loads[agent];
			load.report = msg.load;
			load.reported_at = now;
			load.flows_since_report = 0;
			if (msg.kind == message_kind::load)
			{
				load.work = decode_work_report(msg.packet);
				load.work_reported_at = now;
			}
			if (msg.kind == message_kind::held || msg.kind == message_kind::accepted ||
				msg.kind == message_kind::declined)
			{
				load.unanswered_since = {};
			}
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

	namespace detail
	{
		steering_decision reject(steering_decision::action what, reason why)
		{
			return {
				.what = what, .kind = {}, .service = {}, .agents = {}, .required = {}, .why = why, .upstream_key = {}};
		}

		steering_decision forward(message_kind kind, std::string_view service, ipv4 agent)
		{
			return {.what = steering_decision::action::forward,
					.kind = kind,
					.service = std::string{service},
					.agents = {agent},
					.required = {},
					.why = reason::none,
					.upstream_key = {}};
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
			return handle_decline(state, known, msg, *packet, agent, now);
		}
		return {};
	}

	void expire_idle_flows(balancer_state& state, monotonic_time now)
	{
		std::erase_if(state.flows, [now](const auto& it) { return now - it.second.last_used > flow_idle_timeout; });
	}
}
