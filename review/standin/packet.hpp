#pragma once

#include <arpa/inet.h>

#include <cstdint>
#include <cstring>
#include <optional>
#include <string>

/// The packet format of PROTOCOL.md ("Packets"), as both ends of a flow use it.
namespace review
{
	inline constexpr std::size_t header_size = 31;
	inline constexpr std::uint8_t flag_ack = 1;
	inline constexpr std::uint8_t flag_syn = 2;
	inline constexpr std::uint8_t flag_fin = 8;
	inline constexpr std::uint8_t flag_rst = 16;
	inline constexpr std::uint8_t flag_bounced = 128;

	/// Address and port of one end of a flow; the address is in host byte order.
	struct address
	{
		std::uint32_t ip = 0;
		std::uint16_t port = 0;

		friend bool operator==(const address&, const address&) = default;
		friend auto operator<=>(const address&, const address&) = default;
	};

	struct packet
	{
		std::uint32_t seq = 0;
		std::uint32_t ack = 0;
		std::uint32_t sum = 0;
		std::uint8_t flags = 0;
		std::uint32_t echo = 0;
		address src;
		address dst;
		std::string data;

		[[nodiscard]] bool has(std::uint8_t flag) const
		{
			return (flags & flag) != 0;
		}
	};

	namespace detail
	{
		template <typename T>
		void put(std::string& out, T value)
		{
			for (std::size_t i = 0; i < sizeof(T); ++i)
			{
				out += static_cast<char>((static_cast<std::uint64_t>(value) >> (8 * i)) & 0xffU);
			}
		}

		template <typename T>
		T get(const std::string& in, std::size_t offset)
		{
			std::uint64_t value = 0;
			for (std::size_t i = 0; i < sizeof(T); ++i)
			{
				value |= std::uint64_t{static_cast<unsigned char>(in[offset + i])} << (8 * i);
			}
			return static_cast<T>(value);
		}
	}

	/// Keyed sum over all fields but `echo` and the flag BOUNCED.
	inline std::uint32_t sum_of(const packet& p)
	{
		std::string text = "review-key";
		detail::put<std::uint32_t>(text, p.seq);
		detail::put<std::uint32_t>(text, p.ack);
		detail::put<std::uint8_t>(text, static_cast<std::uint8_t>(p.flags & ~flag_bounced));
		detail::put<std::uint32_t>(text, p.src.ip);
		detail::put<std::uint16_t>(text, p.src.port);
		detail::put<std::uint32_t>(text, p.dst.ip);
		detail::put<std::uint16_t>(text, p.dst.port);
		text += p.data;
		std::uint32_t hash = 2'166'136'261U;
		for (const char c : text)
		{
			hash = (hash ^ static_cast<unsigned char>(c)) * 16'777'619U;
		}
		return hash;
	}

	inline std::string encode(const packet& p)
	{
		std::string out;
		detail::put<std::uint32_t>(out, p.seq);
		detail::put<std::uint32_t>(out, p.ack);
		detail::put<std::uint32_t>(out, p.sum);
		detail::put<std::uint8_t>(out, p.flags);
		detail::put<std::uint32_t>(out, p.echo);
		detail::put<std::uint16_t>(out, static_cast<std::uint16_t>(p.data.size()));
		detail::put<std::uint32_t>(out, p.src.ip);
		detail::put<std::uint16_t>(out, p.src.port);
		detail::put<std::uint16_t>(out, p.dst.port);
		detail::put<std::uint32_t>(out, p.dst.ip);
		return out + p.data;
	}

	inline std::optional<packet> decode(const std::string& in)
	{
		if (in.size() < header_size || in.size() != header_size + detail::get<std::uint16_t>(in, 17))
		{
			return std::nullopt;
		}
		packet p;
		p.seq = detail::get<std::uint32_t>(in, 0);
		p.ack = detail::get<std::uint32_t>(in, 4);
		p.sum = detail::get<std::uint32_t>(in, 8);
		p.flags = detail::get<std::uint8_t>(in, 12);
		p.echo = detail::get<std::uint32_t>(in, 13);
		p.src = {.ip = detail::get<std::uint32_t>(in, 19), .port = detail::get<std::uint16_t>(in, 23)};
		p.dst = {.ip = detail::get<std::uint32_t>(in, 27), .port = detail::get<std::uint16_t>(in, 25)};
		p.data = in.substr(header_size);
		return p;
	}

	inline std::string to_text(const address& it)
	{
		return std::to_string(it.ip >> 24U) + "." + std::to_string((it.ip >> 16U) & 0xffU) + "." +
			   std::to_string((it.ip >> 8U) & 0xffU) + "." + std::to_string(it.ip & 0xffU) + ":" +
			   std::to_string(it.port);
	}

	inline std::string ip_text(std::uint32_t ip)
	{
		const auto text = to_text({.ip = ip, .port = 0});
		return text.substr(0, text.find(':'));
	}
}
