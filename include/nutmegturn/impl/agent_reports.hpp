#pragma once

#include "nutmegturn/steering/agent_reports.hpp"

namespace nutmegturn::steering::detail
{
	/// Returns whether both sides have closed a flow.
	[[nodiscard]] bool is_closed(const agent_flow& flow) noexcept;

	/// Returns the number of a balancer's zone; 0 if unknown.
	[[nodiscard]] std::uint32_t zone_of_balancer(const agent_state& state, ipv4 balancer);

	/// Updates the failure ratio, since an upstream can fail part of its requests while its health check succeeds.
	void update_failure_ratio(agent_state& state, bool failed, monotonic_time now);
}
