#pragma once

#include "nutmegturn/endpoint.hpp"
#include "nutmegturn/reason.hpp"

#include <cstddef>
#include <span>
#include <variant>

namespace nutmegturn
{
	/// Datagram with the addresses of its PROXY protocol v2 header.
	struct proxied_datagram
	{
		endpoint source;
		endpoint destination;
		bool local = false; ///< The command is LOCAL: the fabric itself sent the datagram and both addresses are empty.
		std::span<const std::byte> payload; ///< Points into the decoded datagram.
	};

	/// Size of the longest header that `encode_proxy_header` writes (IPv6), in bytes.
	inline constexpr std::size_t max_proxy_header_size = 52;

	/// Writes a PROXY protocol v2 header for a datagram. Towards upstreams the source is the caller; towards the fabric
	/// it is the service address and the caller is the destination.
	/// \param source	Original sender.
	/// \param destination	Original receiver. IPv6 form is used unless both are IPv4.
	/// \param out		Buffer that the payload is appended to.
	/// \returns		Bytes written, or `reason::oversized` when the buffer is too small.
	[[nodiscard]] std::variant<std::size_t, reason>
	encode_proxy_header(const endpoint& source, const endpoint& destination, std::span<std::byte> out) noexcept;

	/// Reads the PROXY protocol v2 header of a datagram; TLV fields are skipped.
	/// \returns	The addresses and payload, or `truncated`, `bad_version` (no header, or another version), `bad_kind`
	///				(unknown command, or not a datagram over IP) or `malformed`.
	[[nodiscard]] std::variant<proxied_datagram, reason>
	decode_proxy_header(std::span<const std::byte> datagram) noexcept;
}
