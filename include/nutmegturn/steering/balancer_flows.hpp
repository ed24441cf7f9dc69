#pragma once

#include "nutmegturn/reason.hpp"
#include "nutmegturn/steering/message.hpp"
#include "nutmegturn/steering/placement_budget.hpp"
#include "nutmegturn/steering/upstream_choice.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace nutmegturn::steering
{
	/// Flow table entry of a balancer. It is a cache: a lost entry is restored by a search for the holder.
	struct balancer_flow
	{
		ipv4 holder{};                ///< Instance of the agent whose upstream holds the flow.
		bool confirmed = false;       ///< The agent reported that its upstream accepted or holds the flow.
		std::vector<ipv4> tried;      ///< Instances that got the opening packet before `holder`.
		std::vector<ipv4> unanswered; ///< Those of `tried` without an answer; one may have opened the flow.
		monotonic_time last_used;
		monotonic_time opened_at{};       ///< When the caller sent its first opening packet; the epoch if unknown.
		std::uint32_t first_copy = 0;     ///< Number of the first copy of that packet that arrived here.
		std::uint32_t last_copy = 0;      ///< Number of the caller's last retransmission of that packet.
		monotonic_time sent_at{};         ///< When `holder` was sent the opening packet last.
		std::uint32_t copy_at_holder = 0; ///< Number of the retransmission that followed the packet there; 0 if none.
	};

	/// How a balancer handles a packet.
	struct steering_decision
	{
		enum class action : std::uint8_t
		{
			forward, ///< Send the packet to the first of `agents` in a message of type `kind`.
			search,  ///< Query `agents` for the flow's holder; the flow is lost only if all of `required` deny it.
			reset,   ///< Send a reset to the caller.
			drop
		};

		action what = action::drop;
		message_kind kind = message_kind::flow_packet;
		std::string service; ///< `open`: service chosen for the flow.
		std::vector<ipv4> agents;
		std::vector<ipv4> required;
		reason why = reason::none;
		std::string upstream_key;                    ///< Key of the entry by which a new flow was placed.
		std::optional<milliseconds> reported_wait{}; ///< `overloaded`: shortest wait that an upstream reports.
		std::optional<milliseconds> report_age{};    ///< `overloaded`: age of the oldest of these reports.
	};

	/// State of a balancer.
	struct balancer_state
	{
		std::string zone;
		monotonic_time started; ///< Start of the process.
		std::unordered_map<flow_id, balancer_flow, flow_id_hash> flows;
		load_table loads;
		placement_budget budget{};
		placement_policy placement = placement_policy::request_count;
	};

	/// Capacity of a balancer's flow table. Flows beyond it are steered by search only.
	inline constexpr std::size_t max_balancer_flows = 65'536;

	/// Reports of work that are older carry no information. Agents report at least once a second.
	inline constexpr milliseconds work_report_lifetime{1'500};

	/// Decides where a caller's packet goes.
	///
	/// Load pattern: packets of one flow may arrive at any balancer, at any time, after any restart. For a flow that
	/// this process does not know, the agents are queried for the holder. Only the holder accepts the packet, so
	/// correctness does not depend on the flow table.
	///
	/// In an overload, a retransmitted opening packet follows the first one to the upstream where that waits, and a new
	/// flow is rejected at once if all upstreams report that it would wait for longer than its caller does.
	///
	/// \param current	Whether the configuration is known to be up to date, so that an unknown route can be rejected.
	[[nodiscard]] steering_decision steer_packet(balancer_state& state, const catalog& known, const segment& packet,
												 monotonic_time now, bool current);

	/// Handles an agent's message about its load or about a flow. A returned opening packet is placed again, unless its
	/// caller has gone; one that a busy upstream returned only within the budget, or where an upstream reports room.
	/// Agents of earlier releases report no work; what they return is placed again without a limit.
	/// \param agent	Instance of the sender.
	/// \param packet	For `declined` and `not_held`: the decoded packet that the upstream did not accept.
	/// \returns		Where that packet goes next; `drop` without a reason if there is no packet.
	[[nodiscard]] steering_decision handle_agent_message(balancer_state& state, const catalog& known,
														 const message& msg, const segment* packet, ipv4 agent,
														 monotonic_time now);

	/// Returns the instances that must deny a flow before it is declared lost; none if its route no longer exists.
	[[nodiscard]] std::vector<ipv4> required_answers(const balancer_state& state, const catalog& known,
													 const flow_id& id, monotonic_time now);

	/// Returns the agents of listed upstreams that have not sent any message to this process, or none since they were
	/// stopped.
	[[nodiscard]] std::vector<ipv4> unheard_agents(const balancer_state& state, const catalog& known);

	/// Records an agent whose upstream answered a flow's opening packet. The first one is used until another upstream
	/// proves to hold the flow: copies of the packet, which may arrive late, are answered by other upstreams too.
	void record_acceptance(balancer_state& state, const flow_id& id, ipv4 agent, monotonic_time now);

	/// Records the agent whose upstream holds a flow.
	void record_holder(balancer_state& state, const flow_id& id, ipv4 agent, monotonic_time now);

	/// Removes flows without a packet for as long as a flow can be open.
	void expire_idle_flows(balancer_state& state, monotonic_time now);
}
