#pragma once

#include "nutmegturn/endpoint.hpp"
#include "nutmegturn/flow_key.hpp"
#include "nutmegturn/ids.hpp"
#include "nutmegturn/reason.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <variant>

namespace nutmegturn
{
	/// Kind of a datagram between processes of the system.
	enum class packet_kind : std::uint8_t
	{
		forward = 1,      ///< Caller's datagram, bound for the holder of its flow.
		answer,           ///< Upstream's datagram, bound for the caller through a balancer.
		newer_revision,   ///< Notice to a packet's sender that a newer configuration exists; no payload.
		request_delegate, ///< Request that the receiving agent may run for the sending one.
		delegate_result   ///< Outcome of a delegated request.
	};

	/// \name Packet flags
	/// @{

	/// The candidate chain has been searched and no agent holds the flow: the receiver may admit it.
	inline constexpr std::uint8_t packet_flag_search_done = 0x01;
	/// The packet searches for the holder of its flow along the candidate chain.
	inline constexpr std::uint8_t packet_flag_searching = 0x02;
	/// The primary placed the flow at the receiver, which may admit it.
	inline constexpr std::uint8_t packet_flag_placed = 0x04;
	/// The packet followed a redirect.
	inline constexpr std::uint8_t packet_flag_redirected = 0x08;
	/// @}

	/// Largest number of times that a packet is forwarded between agents.
	inline constexpr std::uint8_t max_packet_hops = 12;

	/// Header of every datagram between processes of the system; the payload follows it unchanged.
	struct packet_header
	{
		packet_kind kind = packet_kind::forward;
		std::uint8_t flags = 0;
		std::uint8_t hops = 0;
		std::uint8_t search_position = 0; ///< Index in the candidate chain during a search.
		service_id service{};
		upstream_id upstream{}; ///< Upstream that the packet is addressed to; the receiving agent checks it.
		upstream_id origin{};   ///< Upstream whose agent forwarded the packet; 0 when it comes from a balancer.
		endpoint origin_agent;  ///< Data endpoint of the origin's agent; the receiver's view may lack the origin.
		revision rev{};         ///< Newest revision that the sender knows.
		flow_key flow;
		/// In a search by an agent that holds the flow itself: 1 + milliseconds since its copy was last used; else 0.
		std::uint32_t copy_age = 0;
		endpoint balancer; ///< Data endpoint of the balancer that received the caller's datagram; answers go there.
	};

	/// Header and payload; the payload is valid during the call it is passed to.
	struct packet
	{
		packet_header header;
		std::span<const std::byte> payload;
	};

	/// Size of an encoded header in bytes, authentication tag included.
	inline constexpr std::size_t encoded_header_size = 128;

	/// Largest payload in bytes that is carried.
	inline constexpr std::size_t max_payload_size = 65'000 - encoded_header_size;
}
