#pragma once

#include "nutmegturn/steering/agent_state.hpp"
#include "nutmegturn/steering/work_report.hpp"

#include <vector>

namespace nutmegturn::steering
{
	/// Notification to balancers that the agent's upstream holds these flows.
	struct held_flows_notice
	{
		std::vector<ipv4> balancers;
		std::vector<flow_id> flows;
	};

	/// Registers or renews a balancer's subscription to load reports.
	/// \returns	For a balancer that just started: the flows of its zone that the upstream holds; otherwise no flows.
	[[nodiscard]] held_flows_notice handle_subscription(agent_state& state, const message& msg, ipv4 balancer,
														monotonic_time now);

	/// Returns the flows that were opened since the last call, for the balancers of their callers' zones.
	///
	/// Load pattern: the fabric hashes flows over the balancers in rotation, so each balancer that stops or starts
	/// moves nearly all flows of its zone to other balancers. The notification saves those a search for the holder.
	[[nodiscard]] std::vector<held_flows_notice> collect_newly_held_flows(agent_state& state);

	/// Returns the balancer other than `receiver` that subscribed most recently, or zero. A balancer that starts while
	/// the store is down reads its configuration from that one.
	[[nodiscard]] ipv4 other_balancer(const agent_state& state, ipv4 receiver);

	/// Returns the share of recent requests that the upstream reset. It halves every two seconds without requests, so
	/// that an upstream that gets few requests is retried.
	[[nodiscard]] double current_failure_ratio(const agent_state& state, monotonic_time now);

	/// Returns the current load report.
	[[nodiscard]] load_report make_load_report(const agent_state& state, const catalog& known, monotonic_time now);

	/// Returns the upstream's work, for `load` messages.
	[[nodiscard]] work_report make_work_report(const agent_state& state, const catalog& known, monotonic_time now);

	/// Returns the balancers that `report` has to be sent to now, and records it as sent.
	///
	/// Load pattern: with few slots nearly every request changes the load by much of them, and each report goes to
	/// every balancer, so the traffic between zones grows with the product of agents and balancers. Balancers of other
	/// zones place flows here only when their own zone is busy; a changed load is reported to them less often, a
	/// changed admission status at once.
	[[nodiscard]] std::vector<ipv4> load_report_recipients(agent_state& state, const load_report& report,
														   std::uint32_t slots, monotonic_time now);
}
