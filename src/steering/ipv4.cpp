#include "nutmegturn/steering/ipv4.hpp"

namespace nutmegturn::steering
{
	namespace
	{
		constexpr std::size_t ipv4_offset = 12;
		constexpr unsigned bits_per_byte = 8;
	}

	std::optional<ipv4_endpoint> to_ipv4(const endpoint& ep) noexcept
	{
		if (!is_ipv4(ep.ip))
		{
			return std::nullopt;
		}
		std::uint32_t bits = 0;
		for (std::size_t i = ipv4_offset; i < ep.ip.bytes.size(); ++i)
		{
			bits = (bits << bits_per_byte) | ep.ip.bytes[i];
		}
		return ipv4_endpoint{.ip = ipv4{bits}, .port = ep.port};
	}

	std::optional<ipv4_endpoint> parse_ipv4_endpoint(std::string_view text)
	{
		const auto ep = parse_endpoint(text);
		return ep ? to_ipv4(*ep) : std::nullopt;
	}

	endpoint to_endpoint(const ipv4_endpoint& ep) noexcept
	{
		endpoint general;
		general.ip.bytes[ipv4_offset - 2] = 0xff;
		general.ip.bytes[ipv4_offset - 1] = 0xff;
		auto bits = static_cast<std::uint32_t>(ep.ip);
		for (std::size_t i = general.ip.bytes.size(); i > ipv4_offset; --i)
		{
			general.ip.bytes[i - 1] = static_cast<std::uint8_t>(bits);
			bits >>= bits_per_byte;
		}
		general.port = ep.port;
		return general;
	}

	std::string to_string(ipv4 ip)
	{
		return nutmegturn::to_string(to_endpoint({.ip = ip, .port = 0}).ip);
	}

	std::string to_string(const ipv4_endpoint& ep)
	{
		return nutmegturn::to_string(to_endpoint(ep));
	}
}
