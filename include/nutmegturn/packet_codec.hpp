#pragma once

#include "nutmegturn/key_ring.hpp"
#include "nutmegturn/packet.hpp"
#include "nutmegturn/reason.hpp"

#include <cstddef>
#include <span>
#include <variant>

namespace nutmegturn
{
	/// Encodes a packet into the given buffer. Allocates nothing.
	/// \param header	Header to encode.
	/// \param payload	Follows the header. It may already lie at `out` + `encoded_header_size`, and is then not moved.
	/// \param keys		The first key authenticates the packet; without keys the tag is 0.
	/// \param out		At least `encoded_header_size` + size of the payload.
	/// \returns		Bytes written, or `reason::oversized` when the payload is too large or the buffer too small.
	[[nodiscard]] std::variant<std::size_t, reason> encode_packet(const packet_header& header,
																  std::span<const std::byte> payload,
																  const key_ring& keys,
																  std::span<std::byte> out) noexcept;

	/// Decodes a datagram from another process of the system. Allocates nothing.
	/// \param datagram	The payload of the result points into it.
	/// \param keys		Keys that are valid now.
	/// \returns		The packet, or `truncated`, `oversized`, `bad_version`, `bad_tag`, `bad_kind`, `hop_limit` or
	///					`malformed`.
	[[nodiscard]] std::variant<packet, reason> decode_packet(std::span<const std::byte> datagram,
															 const key_ring& keys) noexcept;
}
