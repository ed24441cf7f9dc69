#pragma once

#include "nutmegturn/coap_message.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace nutmegturn::standin
{
	/// Option number of Echo (RFC 9175).
	inline constexpr std::uint16_t coap_option_echo = 252;

	/// Encodes a CoAP message whose only option is Echo, if any. The encoder is independent of the
	/// library, so that tests do not check the code under test against itself.
	/// \param echo	Value of the Echo option; empty for none.
	[[nodiscard]] inline std::vector<std::byte>
	encode_message(coap_type type, std::uint8_t code, std::uint16_t message_id, std::span<const std::byte> token,
				   std::span<const std::byte> echo, std::span<const std::byte> payload)
	{
		// An option delta or length from 13 to 268 is encoded in an extension byte, minus 13 (RFC 7252, section 3.1).
		constexpr std::uint16_t extended_offset = 13;
		std::vector<std::byte> out;
		const auto append_byte = [&out](std::size_t value) { out.push_back(static_cast<std::byte>(value)); };
		append_byte(0x40U | static_cast<unsigned>(type) << 4U | token.size());
		append_byte(code);
		append_byte(message_id >> 8U);
		append_byte(message_id & 0xffU);
		out.insert(out.end(), token.begin(), token.end());
		if (!echo.empty())
		{
			append_byte(0xd0U | (echo.size() < extended_offset ? echo.size() : extended_offset));
			append_byte(coap_option_echo - extended_offset);
			if (echo.size() >= extended_offset)
			{
				append_byte(echo.size() - extended_offset);
			}
			out.insert(out.end(), echo.begin(), echo.end());
		}
		if (!payload.empty())
		{
			append_byte(0xff);
			out.insert(out.end(), payload.begin(), payload.end());
		}
		return out;
	}

	/// Returns a view of the bytes of a text.
	[[nodiscard]] inline std::span<const std::byte> bytes_of(std::string_view text)
	{
		return std::as_bytes(std::span{text});
	}

	/// Returns a copy of the bytes as text.
	[[nodiscard]] inline std::string text_of(std::span<const std::byte> bytes)
	{
		return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
	}

	/// Returns the response payload that an upstream sends to a request: the payload of the request, the service, the
	/// upstream, and padding whose length depends on the request, so that a response to another request and a truncated
	/// response both differ from the expected one.
	[[nodiscard]] inline std::string expected_response_payload(const std::string& request, const std::string& service,
															   const std::string& upstream)
	{
		std::size_t hash = 0;
		for (const char c : request)
		{
			hash = hash * 31 + static_cast<unsigned char>(c);
		}
		return request + ' ' + service + ' ' + upstream + ' ' + std::string(hash % 600, 'x');
	}
}
