#pragma once

#include <arpa/inet.h>

#include <compare>
#include <cstdint>
#include <cstring>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Packets of the users' platform, as PROTOCOL.md describes them.
namespace review
{
	using bytes = std::vector<std::uint8_t>;

	/// IPv4 address (host byte order) and port.
	struct endpoint
	{
		std::uint32_t ip = 0;
		std::uint16_t port = 0;

		auto operator<=>(const endpoint&) const = default;
	};

	inline std::string ip_text(std::uint32_t ip)
	{
		return std::to_string(ip >> 24U) + "." + std::to_string((ip >> 16U) & 255U) + "." +
			   std::to_string((ip >> 8U) & 255U) + "." + std::to_string(ip & 255U);
	}

	inline std::string to_text(const endpoint& ep)
	{
		return ip_text(ep.ip) + ":" + std::to_string(ep.port);
	}

	inline sockaddr_in to_sockaddr(const endpoint& ep)
	{
		sockaddr_in address{};
		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(ep.ip);
		address.sin_port = htons(ep.port);
		return address;
	}

	/// Requester's end and route of a flow.
	struct flow_key
	{
		endpoint requester;
		endpoint route;

		auto operator<=>(const flow_key&) const = default;
	};

	namespace flag
	{
		inline constexpr std::uint8_t ack = 1;
		inline constexpr std::uint8_t syn = 2;
		inline constexpr std::uint8_t fin = 8;
		inline constexpr std::uint8_t rst = 16;
		inline constexpr std::uint8_t bounced = 128;
	}

	inline constexpr std::size_t head_size = 31;

	/// Largest distance between the number of a reset and the requester's last acknowledgement.
	inline constexpr std::uint32_t reset_window = 76'800;

	struct packet
	{
		std::uint32_t seq = 0;
		std::uint32_t ack = 0;
		std::uint32_t sum = 0;
		std::uint8_t flags = 0;
		std::uint32_t echo = 0;
		endpoint src;
		endpoint dst;
		std::string data;

		[[nodiscard]] bool has(std::uint8_t wanted) const
		{
			return (flags & wanted) != 0;
		}
	};

	/// Keyed sum over all fields but `echo`, `pad` and BOUNCED. Only the two ends of a flow know the key.
	inline std::uint32_t keyed_sum(const packet& it)
	{
		std::uint64_t sum = 0x9e3779b97f4a7c15ULL;
		const auto mix = [&sum](std::uint64_t value)
		{
			sum ^= value + 0x7f4a7c15ULL + (sum << 6U) + (sum >> 2U);
			sum *= 0xff51afd7ed558ccdULL;
		};
		for (const std::uint64_t value :
			 {std::uint64_t{it.seq}, std::uint64_t{it.ack}, std::uint64_t(it.flags & ~flag::bounced),
			  std::uint64_t{it.src.ip}, std::uint64_t{it.src.port}, std::uint64_t{it.dst.ip},
			  std::uint64_t{it.dst.port}, std::uint64_t{it.data.size()}})
		{
			mix(value);
		}
		for (const char c : it.data)
		{
			mix(static_cast<unsigned char>(c));
		}
		return static_cast<std::uint32_t>(sum >> 32U) | 1U;
	}

	inline void put(bytes& out, std::uint64_t value, unsigned size)
	{
		for (unsigned i = 0; i < size; ++i)
		{
			out.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
		}
	}

	inline std::uint32_t take(std::span<const std::uint8_t> in, std::size_t at, unsigned size)
	{
		std::uint32_t value = 0;
		for (unsigned i = 0; i < size; ++i)
		{
			value |= std::uint32_t{in[at + i]} << (8 * i);
		}
		return value;
	}

	inline bytes encode(const packet& it)
	{
		bytes out;
		put(out, it.seq, 4);
		put(out, it.ack, 4);
		put(out, it.sum, 4);
		put(out, it.flags, 1);
		put(out, it.echo, 4);
		put(out, it.data.size(), 2);
		put(out, it.src.ip, 4);
		put(out, it.src.port, 2);
		put(out, it.dst.port, 2);
		put(out, it.dst.ip, 4);
		out.insert(out.end(), it.data.begin(), it.data.end());
		return out;
	}

	inline bytes sealed(packet it)
	{
		it.sum = keyed_sum(it);
		return encode(it);
	}

	inline std::optional<packet> decode(std::span<const std::uint8_t> in)
	{
		if (in.size() < head_size || in.size() != head_size + take(in, 17, 2))
		{
			return std::nullopt;
		}
		packet it;
		it.seq = take(in, 0, 4);
		it.ack = take(in, 4, 4);
		it.sum = take(in, 8, 4);
		it.flags = in[12];
		it.echo = take(in, 13, 4);
		it.src = {take(in, 19, 4), static_cast<std::uint16_t>(take(in, 23, 2))};
		it.dst = {take(in, 27, 4), static_cast<std::uint16_t>(take(in, 25, 2))};
		it.data.assign(in.begin() + head_size, in.end());
		return it;
	}
}
