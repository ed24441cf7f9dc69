#pragma once

#include "nutmegturn/requests.hpp"

#include <cstddef>
#include <optional>
#include <span>

namespace nutmegturn
{
	namespace detail
	{
		/// Encodes what precedes a delegated request.
		[[nodiscard]] coap_bytes encode(const delegation_header& header);

		/// Encodes what precedes the response of a delegated request.
		[[nodiscard]] coap_bytes encode(const delegation_result& result);

		/// Returns the prefix of a payload, or nothing when it is too short.
		[[nodiscard]] std::optional<delegation_header>
		decode_delegation_header(std::span<const std::byte> buf) noexcept;

		/// Returns the verdict of a payload, or nothing when it is too short or its status is no outcome.
		[[nodiscard]] std::optional<delegation_result>
		decode_delegation_result(std::span<const std::byte> buf) noexcept;
	}
}
