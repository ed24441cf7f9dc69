#pragma once

#include "nutmegturn/endpoint.hpp"

#include <compare>
#include <cstdint>

namespace nutmegturn
{
	/// Transport protocol of a flow, by its IANA number.
	enum class transport : std::uint8_t
	{
		tcp = 6,
		udp = 17
	};

	/// Identity of a flow: the caller's endpoint, the service address and the protocol.
	struct flow_key
	{
		endpoint client;
		endpoint service;
		transport protocol = transport::udp;

		/// Compares all parts.
		// clang-tidy 14 mistakes the comparison with 0 in the defaulted operator for one with a null pointer.
		// NOLINTNEXTLINE(modernize-use-nullptr)
		[[nodiscard]] friend constexpr auto operator<=>(const flow_key&, const flow_key&) noexcept = default;
	};

	/// Returns the 64-bit hash of a flow (XXH3), which is equal in every process. Its low bits select the bucket.
	[[nodiscard]] std::uint64_t flow_hash(const flow_key& key) noexcept;
}
