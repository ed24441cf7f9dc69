#pragma once

#include "nutmegturn/coap_message.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace nutmegturn::standin
{
	/// Number of the Echo option (RFC 9175).
	inline constexpr std::uint16_t coap_option_echo = 252;

	/// Returns an encoded message with at most an Echo option. It is written here, apart from the code under test.
	[[nodiscard]] inline std::vector<std::byte>
	encode_message(coap_type type, std::uint8_t code, std::uint16_t message_id, std::span<const std::byte> token,
				   std::span<const std::byte> echo, std::span<const std::byte> payload)
	{
		// Option delta and length from 13 to 268 take one extension byte (RFC 7252, section 3.1).
		constexpr std::uint16_t extended = 13;
		std::vector<std::byte> out;
		const auto put = [&out](std::size_t value) { out.push_back(static_cast<std::byte>(value)); };
		put(0x40U | static_cast<unsigned>(type) << 4U | token.size());
		put(code);
		put(message_id >> 8U);
		put(message_id & 0xffU);
		out.insert(out.end(), token.begin(), token.end());
		if (!echo.empty())
		{
			put(0xd0U | (echo.size() < extended ? echo.size() : extended));
			put(coap_option_echo - extended);
			if (echo.size() >= extended)
			{
				put(echo.size() - extended);
			}
			out.insert(out.end(), echo.begin(), echo.end());
		}
		if (!payload.empty())
		{
			put(0xff);
			out.insert(out.end(), payload.begin(), payload.end());
		}
		return out;
	}

	/// Returns the bytes of a text.
	[[nodiscard]] inline std::span<const std::byte> bytes_of(std::string_view text)
	{
		return std::as_bytes(std::span{text});
	}

	/// Returns the text in some bytes.
	[[nodiscard]] inline std::string text_of(std::span<const std::byte> bytes)
	{
		return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
	}

	/// Returns the response payload that belongs to a request: its payload, who ran it, and a filler whose length
	/// depends on the request, so that crossed and cut responses differ from the right one.
	[[nodiscard]] inline std::string expected_response_payload(const std::string& request, const std::string& service,
															   const std::string& upstream)
	{
		std::size_t sum = 0;
		for (const char it : request)
		{
			sum = sum * 31 + static_cast<unsigned char>(it);
		}
		return request + ' ' + service + ' ' + upstream + ' ' + std::string(sum % 600, 'x');
	}
}
