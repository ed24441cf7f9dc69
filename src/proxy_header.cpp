#include "nutmegturn/proxy_header.hpp"

#include <boost/endian/buffers.hpp>

#include <algorithm>
#include <array>
#include <cstring>

namespace nutmegturn
{
	namespace
	{
		namespace be = boost::endian;

		constexpr std::array<std::uint8_t, 12> signature{0x0d, 0x0a, 0x0d, 0x0a, 0x00, 0x0d,
														 0x0a, 0x51, 0x55, 0x49, 0x54, 0x0a};
		constexpr std::uint8_t version = 0x20; // Upper four bits of the version and command byte.
		constexpr std::uint8_t command_local = 0x00;
		constexpr std::uint8_t command_proxy = 0x01;
		constexpr std::uint8_t datagram_ipv4 = 0x12;
		constexpr std::uint8_t datagram_ipv6 = 0x22;

		struct wire_fixed
		{
			std::array<std::uint8_t, 12> signature;
			std::uint8_t version_command;
			std::uint8_t family;
			be::big_uint16_buf_t length;
		};

		template <std::size_t Size>
		struct wire_addresses
		{
			std::array<std::uint8_t, Size> source;
			std::array<std::uint8_t, Size> destination;
			be::big_uint16_buf_t source_port;
			be::big_uint16_buf_t destination_port;
		};

		static_assert(sizeof(wire_fixed) == 16);
		static_assert(sizeof(wire_addresses<4>) == 12);
		static_assert(sizeof(wire_addresses<16>) == 36);
		static_assert(sizeof(wire_fixed) + sizeof(wire_addresses<16>) == max_proxy_header_size);

		constexpr std::size_t ipv4_mapped_prefix_size = 12;

		template <std::size_t Size>
		std::variant<std::size_t, reason> encode(std::uint8_t family, const endpoint& source,
												 const endpoint& destination, std::span<std::byte> out) noexcept
		{
			wire_fixed fixed{signature, version | command_proxy, family, {}};
			fixed.length = static_cast<std::uint16_t>(sizeof(wire_addresses<Size>));
			wire_addresses<Size> addresses{};
			std::copy_n(source.ip.bytes.end() - Size, Size, addresses.source.begin());
			std::copy_n(destination.ip.bytes.end() - Size, Size, addresses.destination.begin());
			addresses.source_port = source.port;
			addresses.destination_port = destination.port;
			if (out.size() < sizeof fixed + sizeof addresses)
			{
				return reason::oversized;
			}
			std::memcpy(out.data(), &fixed, sizeof fixed);
			std::memcpy(out.data() + sizeof fixed, &addresses, sizeof addresses);
			return sizeof fixed + sizeof addresses;
		}

		template <std::size_t Size>
		endpoint to_endpoint(const std::array<std::uint8_t, Size>& ip, std::uint16_t port) noexcept
		{
			endpoint ep{{}, port};
			if constexpr (Size != sizeof(address))
			{
				ep.ip.bytes[ipv4_mapped_prefix_size - 2] = 0xff;
				ep.ip.bytes[ipv4_mapped_prefix_size - 1] = 0xff;
			}
			std::copy(ip.begin(), ip.end(), ep.ip.bytes.end() - Size);
			return ep;
		}

		template <std::size_t Size>
		std::variant<proxied_datagram, reason> decode(std::span<const std::byte> body,
													  std::span<const std::byte> payload) noexcept
		{
			wire_addresses<Size> addresses{};
			if (body.size() < sizeof addresses)
			{
				return reason::malformed;
			}
			std::memcpy(&addresses, body.data(), sizeof addresses);
			return proxied_datagram{to_endpoint(addresses.source, addresses.source_port.value()),
									to_endpoint(addresses.destination, addresses.destination_port.value()), false,
									payload};
		}
	}

	std::variant<std::size_t, reason> encode_proxy_header(const endpoint& source, const endpoint& destination,
														  std::span<std::byte> out) noexcept
	{
		return is_ipv4(source.ip) && is_ipv4(destination.ip)
				   ? encode<4>(datagram_ipv4, source, destination, out)
				   : encode<sizeof(address)>(datagram_ipv6, source, destination, out);
	}

	std::variant<proxied_datagram, reason> decode_proxy_header(std::span<const std::byte> datagram) noexcept
	{
		wire_fixed fixed{};
		if (datagram.size() < sizeof fixed)
		{
			return reason::truncated;
		}
		std::memcpy(&fixed, datagram.data(), sizeof fixed);
		if (fixed.signature != signature || (fixed.version_command & 0xf0U) != version)
		{
			return reason::bad_version;
		}
		const auto rest = datagram.subspan(sizeof fixed);
		const std::size_t length = fixed.length.value();
		if (rest.size() < length)
		{
			return reason::truncated;
		}
		const auto body = rest.first(length);
		const auto payload = rest.subspan(length);
		const auto command = static_cast<std::uint8_t>(fixed.version_command & 0x0fU);
		if (command == command_local)
		{
			return proxied_datagram{{}, {}, true, payload};
		}
		if (command != command_proxy)
		{
			return reason::bad_kind;
		}
		switch (fixed.family)
		{
			case datagram_ipv4:
				return decode<4>(body, payload);
			case datagram_ipv6:
				return decode<sizeof(address)>(body, payload);
			default:
				return reason::bad_kind;
		}
	}
}
