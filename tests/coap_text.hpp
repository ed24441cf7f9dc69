#pragma once

#include "nutmegturn/coap_message.hpp"

#include <cstddef>
#include <span>
#include <string>

namespace nutmegturn
{
	/// Returns bytes as a string.
	inline std::string text(std::span<const std::byte> data)
	{
		return {reinterpret_cast<const char*>(data.data()), data.size()};
	}

	/// Encodes a request. Payload and Echo option may be empty.
	inline coap_bytes request(coap_type type, std::uint8_t code, std::uint16_t id, coap_bytes token,
							  std::string payload, coap_bytes echo = {})
	{
		auto buf = echo.empty() ? encode_coap_response(type, code, id, token, {})
								: encode_coap_challenge(type, id, token, echo);
		buf[1] = std::byte{code};
		const auto tail = encode_coap_response(type, code, id, {}, payload);
		buf.insert(buf.end(), tail.begin() + 4, tail.end());
		return buf;
	}
}
