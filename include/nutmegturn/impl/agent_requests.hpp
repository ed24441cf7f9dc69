#pragma once

#include "nutmegturn/steering/agent_requests.hpp"

namespace nutmegturn::steering::detail
{
	/// What a packet of a caller carries.
	struct caller_data
	{
		bool is_new = false;         ///< Data that no packet has carried before.
		bool starts_request = false; ///< The data begins a request.
	};

	/// Records that a flow has a request without a response, or has none any more.
	void set_request_in_progress(agent_state& state, const flow_id& id, agent_flow& flow, bool request_in_progress);

	/// Records that a flow was opened, so that its first request is expected.
	void record_opening(agent_state& state, agent_flow& flow, monotonic_time now);

	/// Records that the first request of a flow has arrived.
	void record_first_request(agent_state& state, agent_flow& flow);

	/// Removes the answered request from the upstream's work and learns its cost.
	/// \returns	The request's slot time, if it is known.
	std::optional<monotonic_clock::duration> record_answer(agent_state& state, const flow_id& id, monotonic_time now);

	/// Returns the priority of a route, which is the same for all routes of a service without priorities.
	[[nodiscard]] std::uint8_t priority_of_route(const agent_state& state, const catalog& known,
												 const ipv4_endpoint& route);

	/// Records the expected slot time of a request that the upstream starts soon.
	void record_expected_slot_time(agent_state& state, const catalog& known, const flow_id& id, ipv4 balancer,
								   monotonic_time now);

	/// Decides whether a packet of a flow is forwarded or waits.
	/// \param decision	Forwards the packet; changed if it waits, or if others of the flow go first.
	void queue_or_forward(agent_state& state, const catalog& known, const message& msg, const segment& packet,
						  agent_flow& flow, const caller_data& data, agent_decision& decision, monotonic_time now);

	/// Returns the work of the upstream before waiting opening packets, or nothing if its slots are unknown.
	[[nodiscard]] std::optional<work_ahead> find_work_ahead(const agent_state& state, const catalog& known,
															monotonic_time now);
}
