#pragma once

#include "nutmegturn/endpoint.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace nutmegturn::steering
{
	/// IPv4 address in host byte order, the compact form of `address` for the per-packet path.
	enum class ipv4 : std::uint32_t
	{
	};

	/// IPv4 address and port.
	struct ipv4_endpoint
	{
		ipv4 ip{};
		std::uint16_t port = 0;

		/// Compares the address, then the port.
		// clang-tidy 14 takes the comparison with 0 in the defaulted operator for a null pointer.
		// NOLINTNEXTLINE(modernize-use-nullptr)
		[[nodiscard]] friend constexpr auto operator<=>(const ipv4_endpoint&, const ipv4_endpoint&) noexcept = default;
	};

	/// Returns the IPv4 form of an endpoint, or nothing for an IPv6 endpoint.
	[[nodiscard]] std::optional<ipv4_endpoint> to_ipv4(const endpoint& ep) noexcept;

	/// Parses an address and port such as `192.0.2.1:80`.
	[[nodiscard]] std::optional<ipv4_endpoint> parse_ipv4_endpoint(std::string_view text);

	/// Returns the general form for the socket functions.
	[[nodiscard]] endpoint to_endpoint(const ipv4_endpoint& ep) noexcept;

	/// \name Text forms
	/// @{
	[[nodiscard]] std::string to_string(ipv4 ip);
	[[nodiscard]] std::string to_string(const ipv4_endpoint& ep);
	/// @}
}
