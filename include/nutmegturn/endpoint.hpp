#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegturn
{
	/// IP address; an IPv4 address is stored as an IPv4-mapped IPv6 address.
	struct address
	{
		std::array<std::uint8_t, 16> bytes{};

		/// Compares bytewise.
		// clang-tidy 14 mistakes the comparison with 0 in the defaulted operator for one with a null pointer.
		// NOLINTNEXTLINE(modernize-use-nullptr)
		[[nodiscard]] friend constexpr auto operator<=>(const address&, const address&) noexcept = default;
	};

	/// IP address and port.
	struct endpoint
	{
		address ip;
		std::uint16_t port = 0;

		/// Compares the addresses, then the ports.
		// clang-tidy 14 mistakes the comparison with 0 in the defaulted operator for one with a null pointer.
		// NOLINTNEXTLINE(modernize-use-nullptr)
		[[nodiscard]] friend constexpr auto operator<=>(const endpoint&, const endpoint&) noexcept = default;
	};

	/// Returns whether the address is an IPv4-mapped address.
	[[nodiscard]] bool is_ipv4(const address& ip) noexcept;

	/// Parses a numeric IP address; host names are not resolved.
	/// \param text	`192.0.2.1` or `2001:db8::1`.
	/// \returns	The address, or nothing when the text is not a numeric IP address.
	[[nodiscard]] std::optional<address> parse_address(std::string_view text);

	/// Parses an endpoint.
	/// \param text	`192.0.2.1:80` or `[2001:db8::1]:80`; the port is 1 to 65535.
	/// \returns	The endpoint, or nothing when the text is malformed.
	[[nodiscard]] std::optional<endpoint> parse_endpoint(std::string_view text);

	/// Returns the standard text form; IPv4-mapped addresses are written in dotted decimal notation.
	[[nodiscard]] std::string to_string(const address& ip);

	/// Returns `IP:port`, or `[IP]:port` for IPv6.
	[[nodiscard]] std::string to_string(const endpoint& ep);
}
