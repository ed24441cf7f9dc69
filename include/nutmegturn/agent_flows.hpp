#pragma once

#include "nutmegturn/action.hpp"
#include "nutmegturn/agent.hpp"
#include "nutmegturn/load_report.hpp"
#include "nutmegturn/packet.hpp"
#include "nutmegturn/random.hpp"
#include "nutmegturn/reason.hpp"
#include "nutmegturn/routing_view.hpp"
#include "nutmegturn/time.hpp"

#include <cstddef>
#include <span>

namespace nutmegturn
{
	/// \name Events of an agent
	/// Functions with a parameter `actions` append the actions that the host program is to carry out.
	/// @{

	/// Handles a `forward` packet: delivers it, forwards it to another agent, or drops it with a reason.
	void agent_on_packet(agent_state& state, const packet& pkt, const routing_view& view, monotonic_time now,
						 random_source& random, action_list& actions);

	/// Handles a datagram that the upstream sent on a flow's socket.
	void agent_on_upstream_datagram(agent_state& state, flow_slot slot, std::span<const std::byte> payload,
									monotonic_time now, action_list& actions);

	/// Expires flows and redirects, and announces flows. The host program calls it every 100 ms.
	void agent_on_tick(agent_state& state, const routing_view& view, monotonic_time now, random_source& random,
					   action_list& actions);

	/// Applies a new view. `agent_on_packet` and `agent_on_tick` call it when the service differs.
	void agent_on_view(agent_state& state, const routing_view& view, monotonic_time now, action_list& actions);

	/// Records the load report of another agent.
	void agent_on_load_report(agent_state& state, const load_report& report, monotonic_time now);

	/// Records redirects for the flows that a holder announces.
	void agent_on_redirects(agent_state& state, const redirect_announcement& announcement, monotonic_time now,
							action_list& actions);

	/// Ends a pause once the view has reached a revision that a running peer or the configuration service confirmed.
	void agent_on_confirmation(agent_state& state, revision confirmed, monotonic_time now);
	/// @}

	/// \name Operations for the requests module
	/// @{

	/// Sends an answer to the caller of a flow through the balancer of its last packet, or through a live one if that
	/// balancer is dead.
	void agent_answer(agent_state& state, flow_slot slot, std::span<const std::byte> payload, monotonic_time now,
					  action_list& actions);

	/// Ends a held flow.
	void agent_release_flow(agent_state& state, flow_slot slot, reason why, monotonic_time now, action_list& actions);
	/// @}

	/// Returns the load of the agent's upstream for its next report.
	[[nodiscard]] upstream_load agent_load(const agent_state& state) noexcept;
}
