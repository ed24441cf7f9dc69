#pragma once

#include "nutmegturn/key_ring.hpp"
#include "nutmegturn/member.hpp"
#include "nutmegturn/reason.hpp"
#include "nutmegturn/replay_filter.hpp"

#include <control_types.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace nutmegturn
{
	/// Maximum size of the record values or handed-over state in one control message.
	inline constexpr std::size_t max_control_chunk_bytes = 16'384;

	/// Maximum size of a control datagram: one chunk plus space for the other fields.
	inline constexpr std::size_t max_control_datagram_bytes = max_control_chunk_bytes + 4'096;

	/// Maximum number of elements in one list of a control message.
	inline constexpr std::size_t max_control_elements = 1'024;

	/// Encodes a control message with the Thrift compact protocol and a message number. With keys, a BLAKE2b tag is
	/// added.
	/// \param envelope	Message to encode.
	/// \param number	Number of the sender's last message; incremented. It starts at 0 for each incarnation.
	/// \param keys		The first key authenticates the message.
	/// \returns		The datagram, or `reason::oversized`.
	[[nodiscard]] std::variant<std::vector<std::byte>, reason>
	encode_control(const wire::control_envelope& envelope, std::uint64_t& number, const key_ring& keys);

	/// Decodes a control datagram. Size limits are checked before memory is allocated.
	/// \param datagram	Received datagram.
	/// \param keys		Currently valid keys.
	/// \param replays	Filter of message numbers already received; used for authenticated messages only.
	/// \returns		The message, or `truncated`, `oversized`, `bad_version`, `bad_tag`, `malformed` or `replayed`.
	[[nodiscard]] std::variant<wire::control_envelope, reason>
	decode_control(std::span<const std::byte> datagram, const key_ring& keys, replay_filter& replays) noexcept;

	/// Returns the wire format of a member.
	[[nodiscard]] wire::member_update to_wire(const member& from);

	/// Returns the member that an update describes, or nothing when an address, role or state is invalid.
	[[nodiscard]] std::optional<member> from_wire(const wire::member_update& from);
}
