#pragma once

#include "nutmegturn/impl/fixed_log2.hpp"
#include "nutmegturn/steering/ipv4.hpp"

#include <cstddef>
#include <cstdint>

namespace nutmegturn::steering
{
	/// Identifies a flow by the caller's endpoint and the address of the route.
	struct flow_id
	{
		ipv4_endpoint caller;
		ipv4_endpoint route;

		/// Compares the caller, then the route.
		[[nodiscard]] friend constexpr auto operator<=>(const flow_id&, const flow_id&) noexcept = default;
	};

	/// Returns a 64-bit hash of a flow, which is the same in every process.
	[[nodiscard]] constexpr std::uint64_t hash_flow(const flow_id& id) noexcept
	{
		const auto addresses =
			(std::uint64_t{static_cast<std::uint32_t>(id.caller.ip)} << 32U) | static_cast<std::uint32_t>(id.route.ip);
		const auto ports = (std::uint64_t{id.caller.port} << 16U) | id.route.port;
		return detail::mix_bits(detail::mix_bits(addresses) + ports);
	}

	/// Hash function for unordered containers.
	struct flow_id_hash
	{
		[[nodiscard]] std::size_t operator()(const flow_id& id) const noexcept
		{
			return hash_flow(id);
		}
	};

	/// Header fields of a packet between a caller and an upstream. The payload is opaque.
	struct segment
	{
		ipv4_endpoint source;
		ipv4_endpoint destination;
		std::uint32_t sequence = 0;
		std::uint32_t acknowledgement = 0; ///< In a caller's opening packet: retransmission number, from 0.
		std::uint16_t payload_size = 0;    ///< Bytes.
		bool syn = false;                  ///< Opening packet of a flow.
		bool ack = false;
		bool fin = false;
		bool rst = false;
		bool bounced = false; ///< The upstream did not accept the packet and sent it back unchanged.
	};

	/// Returns the flow of a packet that a caller sent.
	[[nodiscard]] constexpr flow_id flow_of_caller(const segment& packet) noexcept
	{
		return {.caller = packet.source, .route = packet.destination};
	}

	/// Returns the flow of a packet that an upstream sent.
	[[nodiscard]] constexpr flow_id flow_of_upstream(const segment& packet) noexcept
	{
		return {.caller = packet.destination, .route = packet.source};
	}
}
