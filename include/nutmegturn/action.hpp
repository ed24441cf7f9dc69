#pragma once

#include "nutmegturn/endpoint.hpp"
#include "nutmegturn/ids.hpp"
#include "nutmegturn/packet.hpp"
#include "nutmegturn/reason.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace nutmegturn
{
	/// Position of a flow in its agent's flow table.
	enum class flow_slot : std::uint32_t
	{
	};

	/// Send a packet to another process of the system. The payload is valid until the next call on the same state.
	struct send_packet
	{
		endpoint destination;
		packet_header header;
		std::span<const std::byte> payload;
	};

	/// Deliver a datagram to the upstream over the flow's own socket, which the host opens at the first delivery.
	struct deliver
	{
		upstream_id upstream{};
		flow_slot flow{};
		std::span<const std::byte> payload;
	};

	/// Close the socket of a flow that ended.
	struct close_flow
	{
		upstream_id upstream{};
		flow_slot flow{};
		reason why = reason::none;
	};

	/// Count a dropped packet.
	struct drop
	{
		reason why = reason::none;
	};

	/// Kind of an audit entry.
	enum class audit_kind : std::uint8_t
	{
		record_accepted,
		record_refused,
		record_replaced,
		zone_taken_out,
		zone_returned,
		upstream_state,
		member_state,
		flow_given_up,
		process_state
	};

	/// Audit entry for a change, which operators can query later.
	struct audit_event
	{
		audit_kind kind = audit_kind::process_state;
		std::string subject; ///< Canonical name of what changed.
		std::string detail;  ///< Old and new value.
		revision rev{};
		reason why = reason::none;
	};

	/// Action that a decision requests from the host program.
	using action = std::variant<send_packet, deliver, close_flow, drop, audit_event>;

	/// Actions in order of execution.
	using action_list = std::vector<action>;
}
