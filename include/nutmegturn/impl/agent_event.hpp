#pragma once

#include "nutmegturn/agent.hpp"
#include "nutmegturn/agent_flows.hpp"

#include <cstddef>
#include <cstdint>

namespace nutmegturn::detail
{
	/// Search positions from here on count primaries of earlier views instead of candidates.
	inline constexpr std::uint8_t earlier_view_base = 0x80;

	/// One packet on its way through the decision.
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

	/// \name Passing of packets
	/// @{

	/// Drops and counts the packet.
	void drop_packet(const agent_event& e, reason why);

	/// Sends the packet to another agent.
	void forward_packet(const agent_event& e, upstream_id upstream, const endpoint& agent, upstream_id origin,
						const endpoint& origin_agent, std::uint8_t flags, std::uint8_t position);

	/// Sends the packet to another agent, with this one as the origin.
	void forward_as_origin(const agent_event& e, upstream_id upstream, const endpoint& agent, std::uint8_t flags,
						   std::uint8_t position);

	/// Sends the packet back to its origin, which recognises itself as the origin.
	void return_to_origin(const agent_event& e, std::uint8_t flags);

	/// Delivers the packet of a held flow.
	void deliver_packet(const agent_event& e, flow_slot slot);

	/// Handles a packet of a flow that this agent holds. When another agent may hold a newer copy, since this one was
	/// paused or cut off, the packet is searched for first and the copy used last gets it.
	void on_held_flow(const agent_event& e, flow_slot slot);
	/// @}

	/// \name Placement of new flows
	/// @{

	/// Returns whether packets of a placed flow may still overtake each other.
	[[nodiscard]] bool may_be_reordered(const redirect& known, monotonic_time now) noexcept;

	/// Marks in `search_position` to whom a packet was sent, so that a refusal is told from one by an earlier holder.
	[[nodiscard]] std::uint8_t holder_tag(upstream_id holder) noexcept;

	/// Admits a flow that no agent holds, here or at a peer.
	void admit_or_place(const agent_event& e);

	/// Handles a packet that was placed at a peer: there, or returned from there.
	void on_placed_packet(const agent_event& e);
	/// @}

	/// \name Search and redirects
	/// @{

	/// Continues at the primaries of earlier views from number `next` on; admits the flow when there is none left.
	void search_earlier_primaries(const agent_event& e, std::size_t next);

	/// Handles a packet on another agent's search, for a flow that is not held here.
	void continue_search(const agent_event& e);

	/// Follows a redirect to another holder if there is one.
	[[nodiscard]] bool follow_redirect(const agent_event& e);

	/// Rules 1 to 4 of the design for a flow that is not held here.
	void on_unheld_flow(const agent_event& e, bool views_differ);

	/// Handles a packet that followed a redirect: at the supposed holder, or returned from there.
	void on_redirected_packet(const agent_event& e);
	/// @}

	/// \name Announcements and release
	/// @{

	/// Announces the held flows whose primary is another upstream to that upstream's agent.
	void announce_displaced_flows(agent_state& state, monotonic_time now);

	/// Ends and audits all held flows.
	void abort_all_flows(agent_state& state, reason why, monotonic_time now, action_list& actions);

	/// Ends flows whose idle time is over; each call scans a part of the table.
	void release_idle_flows(agent_state& state, monotonic_time now, action_list& actions);
	/// @}
}
