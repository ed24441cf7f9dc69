#pragma once

#include "nutmegturn/requests.hpp"

#include <cstddef>
#include <optional>
#include <span>

namespace nutmegturn
{
	namespace detail
	{
		/// Encodes the header of a delegated request.
		[[nodiscard]] coap_bytes encode(const delegation_header& header);

		/// Encodes the result that precedes the response to a delegated request.
		[[nodiscard]] coap_bytes encode(const delegation_result& result);

		/// Decodes the header at the start of a payload. Returns nothing if the payload is too short.
		[[nodiscard]] std::optional<delegation_header>
		decode_delegation_header(std::span<const std::byte> buf) noexcept;

		/// Decodes the result at the start of a payload. Returns nothing if the payload is too short or the status is
		/// not an outcome.
		[[nodiscard]] std::optional<delegation_result>
		decode_delegation_result(std::span<const std::byte> buf) noexcept;
	}
}
