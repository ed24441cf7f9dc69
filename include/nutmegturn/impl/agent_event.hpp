#pragma once

#include "nutmegturn/agent.hpp"
#include "nutmegturn/agent_flows.hpp"

#include <cstddef>
#include <cstdint>

namespace nutmegturn::detail
{
	/// Search positions from this value on index the primaries of earlier views instead of the candidate chain.
	inline constexpr std::uint8_t earlier_view_base = 0x80;

	/// A packet with the context in which the agent decides on it.
	struct agent_event
	{
		agent_state& state;
		const packet& pkt;
		const routing_view& view;
		monotonic_time now;
		random_source& random;
		action_list& actions;
		std::uint64_t hash;
	};

	/// Returns the own upstream's entry in the current view, or null.
	[[nodiscard]] inline const candidate* own_candidate(const agent_state& state) noexcept
	{
		return state.service ? state.service->find(state.settings.upstream) : nullptr;
	}

	/// \name Forwarding and delivery
	/// @{

	/// Drops and counts the packet.
	void drop_packet(const agent_event& e, reason why);

	/// Sends the packet to another agent.
	void forward_packet(const agent_event& e, upstream_id upstream, const endpoint& agent, upstream_id origin,
						const endpoint& origin_agent, std::uint8_t flags, std::uint8_t position);

	/// Sends the packet to another agent, with this one as the origin.
	void forward_as_origin(const agent_event& e, upstream_id upstream, const endpoint& agent, std::uint8_t flags,
						   std::uint8_t position);

	/// Sends the packet back to its origin. The header keeps the origin, so that agent recognises its own packet.
	void return_to_origin(const agent_event& e, std::uint8_t flags);

	/// Delivers the packet of a held flow.
	void deliver_packet(const agent_event& e, flow_slot slot);

	/// Handles a packet of a flow that this agent holds. After a pause or partition another agent may hold a newer
	/// copy, so the packet first goes on a search and the most recently used copy receives it.
	void on_held_flow(const agent_event& e, flow_slot slot);
	/// @}

	/// \name Placement of new flows
	/// @{

	/// Returns whether packets of a newly placed flow may still arrive out of order.
	[[nodiscard]] bool may_be_reordered(const redirect& known, monotonic_time now) noexcept;

	/// Returns the low byte of the holder's id. `search_position` carries it, so that a refusal by the current holder
	/// is distinguished from one by an earlier holder.
	[[nodiscard]] std::uint8_t holder_tag(upstream_id holder) noexcept;

	/// Admits a flow that no agent holds, or places it at a peer.
	void admit_or_place(const agent_event& e);

	/// Handles a packet of a placed flow, at the chosen peer or after the peer returned it.
	void on_placed_packet(const agent_event& e);
	/// @}

	/// \name Search and redirects
	/// @{

	/// Continues a search at the primaries of earlier views, starting with index `next`. When none is left, the packet
	/// is delivered if the flow is held here; otherwise the flow is admitted or placed.
	void search_earlier_primaries(const agent_event& e, std::size_t next);

	/// Handles a search packet of another agent for a flow that is not held here.
	void continue_search(const agent_event& e);

	/// Forwards the packet to the holder that a redirect names.
	/// \returns	Whether there is a usable redirect.
	[[nodiscard]] bool follow_redirect(const agent_event& e);

	/// Handles a packet of a flow that is not held here: follows a redirect, forwards to the primary, starts a search,
	/// or admits or places the flow (rules 1 to 4 of the design).
	void on_unheld_flow(const agent_event& e, bool views_differ);

	/// Handles a packet that followed a redirect, at the expected holder or after that agent returned it.
	void on_redirected_packet(const agent_event& e);
	/// @}

	/// \name Announcements and release
	/// @{

	/// Announces the held flows whose primary is another upstream to that upstream's agent.
	void announce_displaced_flows(agent_state& state, monotonic_time now);

	/// Ends and audits all held flows.
	void abort_all_flows(agent_state& state, reason why, monotonic_time now, action_list& actions);

	/// Ends flows that exceed the idle timeout; each call scans part of the table.
	void release_idle_flows(agent_state& state, monotonic_time now, action_list& actions);
	/// @}
}
