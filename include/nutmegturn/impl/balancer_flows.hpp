#pragma once

#include "nutmegturn/steering/balancer_flows.hpp"

namespace nutmegturn::steering::detail
{
	/// Returns the decision not to forward a packet.
	[[nodiscard]] steering_decision reject(steering_decision::action what, reason why);

	/// Returns the decision to send a packet to an agent.
	[[nodiscard]] steering_decision forward(message_kind kind, std::string_view service, ipv4 agent);

	/// Returns whether a flow's holder may still be reachable.
	[[nodiscard]] bool may_hold_flows(const balancer_state& state, const catalog& known, ipv4 holder,
									  monotonic_time now);

	/// Starts a search for a flow's holder. A process cannot know which services the route had before it started, or in
	/// versions of the configuration that it skipped, so it queries all agents for as long as flows from that time can
	/// be open. An upstream without an entry may still hold the flow, but its agent may be down too, so its answer is
	/// not required.
	[[nodiscard]] steering_decision search_holder(const balancer_state& state, const catalog& known,
												  const known_route& route, monotonic_time now);

	/// Decides where an opening packet goes: the first one to the upstream that suits best, a copy where the first one
	/// waits or to another upstream.
	[[nodiscard]] steering_decision steer_opening(balancer_state& state, const catalog& known, const known_route& route,
												  const segment& packet, monotonic_time now);

	/// Handles an opening packet that an agent returned: places it again, or rejects the flow.
	[[nodiscard]] steering_decision handle_decline(balancer_state& state, const catalog& known, const message& msg,
												   const segment& packet, ipv4 agent, monotonic_time now);
}
