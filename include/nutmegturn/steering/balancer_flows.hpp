#pragma once

#include "nutmegturn/reason.hpp"
#include "nutmegturn/steering/message.hpp"
#include "nutmegturn/steering/upstream_choice.hpp"

#include <unordered_map>
#include <vector>

namespace nutmegturn::steering
{
	/// What a balancer remembers of a flow. All of it can be lost: a search finds the holder again.
	struct balancer_flow
	{
		ipv4 holder{};                ///< Agent's instance.
		bool confirmed = false;       ///< The agent said that its upstream holds the flow.
		std::vector<ipv4> tried;      ///< Instances that got the opening packet before the holder.
		std::vector<ipv4> unanswered; ///< Those of them that have not answered; one may have opened the flow.
		monotonic_time last_used;
	};

	/// What to do with a packet.
	struct steering_decision
	{
		/// Kinds of decisions.
		enum class action : std::uint8_t
		{
			forward, ///< Send it to the first of `agents` as `kind`.
			search,  ///< Ask `agents` for the holder of the flow; `required` must answer before it counts as gone.
			reset,   ///< Reset the flow towards the caller.
			drop
		};

		action what = action::drop;
		message_kind kind = message_kind::flow_packet;
		service_key service{};
		std::vector<ipv4> agents;
		std::vector<ipv4> required;
		reason why = reason::none;
	};

	/// State of a balancer.
	struct balancer_state
	{
		std::string zone;
		monotonic_time started; ///< Start of the process.
		std::unordered_map<flow_id, balancer_flow, flow_id_hash> flows;
		load_table loads;
	};

	/// Largest number of flows that a balancer remembers. Beyond, flows are steered by search only.
	inline constexpr std::size_t max_balancer_flows = 65'536;

	/// Decides where a caller's packet goes.
	///
	/// Load pattern: packets of one flow may arrive at any balancer, at any time, after any restart. The holder of a
	/// flow that this process does not know is looked up at the agents; only the holder keeps the packet, so nothing
	/// needs to be remembered for correctness.
	///
	/// \param current	Whether the configuration is known to be up to date, so that an unknown route can be refused.
	[[nodiscard]] steering_decision steer_packet(balancer_state& state, const catalog& known, const segment& it,
												 monotonic_time now, bool current);

	/// Takes an agent's message about its load or about a flow.
	/// \param agent	Instance of the sender.
	/// \param packet	For `declined` and `not_held`: the packet that the upstream did not take, decoded.
	/// \returns		Where that packet goes next; without a packet a decision to drop, which needs no action.
	[[nodiscard]] steering_decision handle_agent_message(balancer_state& state, const catalog& known, const message& it,
														 const segment* packet, ipv4 agent, monotonic_time now);

	/// Returns the instances whose answer is needed to call a flow gone; none when its route is gone.
	[[nodiscard]] std::vector<ipv4> required_answers(const balancer_state& state, const catalog& known,
													 const flow_id& id, monotonic_time now);

	/// Notes which agent's upstream holds a flow.
	void note_holder(balancer_state& state, const flow_id& id, ipv4 agent, monotonic_time now);

	/// Forgets flows of which nothing was heard for as long as a flow can live.
	void expire_idle_flows(balancer_state& state, monotonic_time now);
}
