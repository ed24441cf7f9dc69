#pragma once

#include "nutmegturn/steering/agent_state.hpp"

#include <optional>
#include <vector>

namespace nutmegturn::steering
{
	/// Message to a balancer about a flow.
	struct agent_reply
	{
		ipv4 balancer{};
		message_kind kind = message_kind::load;
		flow_id flow;
		admission_status why = admission_status::accepting;
		bool with_packet = false;        ///< Includes the packet that caused the message.
		std::vector<std::byte> packet{}; ///< Another packet to include.
	};

	/// How an agent handles a packet.
	struct agent_decision
	{
		bool to_upstream = false;                               ///< Forward to the upstream.
		bool to_caller = false;                                 ///< Forward to the caller.
		bool waits = false;                                     ///< Add the opening packet to `agent_state::queue`.
		std::optional<monotonic_clock::duration> response_time; ///< Set for the first data of a response.
		std::optional<monotonic_clock::duration> slot_time;     ///< Likewise, if it is known.
		std::vector<agent_reply> replies;
		std::vector<queued_packet> preceding; ///< Packets of the flow that waited, to forward before this one.
	};
}
