#include "nutmegturn/endpoint.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace nutmegturn
{
	namespace
	{
		constexpr std::array<std::uint8_t, 12> ipv4_mapped_prefix{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};
	}

	bool is_ipv4(const address& ip) noexcept
	{
		return std::equal(ipv4_mapped_prefix.begin(), ipv4_mapped_prefix.end(), ip.bytes.begin());
	}

	std::optional<address> parse_address(std::string_view text)
	{
		const std::string copy{text};
		address ip;
		if (inet_pton(AF_INET, copy.c_str(), ip.bytes.data() + ipv4_mapped_prefix.size()) == 1)
		{
			std::copy(ipv4_mapped_prefix.begin(), ipv4_mapped_prefix.end(), ip.bytes.begin());
			return ip;
		}
		if (inet_pton(AF_INET6, copy.c_str(), ip.bytes.data()) == 1)
		{
			return ip;
		}
		return std::nullopt;
	}

	std::optional<endpoint> parse_endpoint(std::string_view text)
	{
		const auto colon = text.rfind(':');
		if (colon == std::string_view::npos)
		{
			return std::nullopt;
		}
		auto host = text.substr(0, colon);
		const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
		if (bracketed)
		{
			host = host.substr(1, host.size() - 2);
		}
		if (bracketed != (host.find(':') != std::string_view::npos))
		{
			return std::nullopt;
		}
		const auto ip = parse_address(host);
		const auto digits = text.substr(colon + 1);
		std::uint16_t port = 0;
		const auto [it, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
		if (!ip || ec != std::errc{} || it != digits.data() + digits.size() || port == 0)
		{
			return std::nullopt;
		}
		return endpoint{*ip, port};
	}

	std::string to_string(const address& ip)
	{
		std::array<char, INET6_ADDRSTRLEN> buf{};
		if (is_ipv4(ip))
		{
			inet_ntop(AF_INET, ip.bytes.data() + ipv4_mapped_prefix.size(), buf.data(), buf.size());
		}
		else
		{
			inet_ntop(AF_INET6, ip.bytes.data(), buf.data(), buf.size());
		}
		return buf.data();
	}

	std::string to_string(const endpoint& ep)
	{
		return is_ipv4(ep.ip) ? fmt::format("{}:{}", to_string(ep.ip), ep.port)
							  : fmt::format("[{}]:{}", to_string(ep.ip), ep.port);
	}
}
