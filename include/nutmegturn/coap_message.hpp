#pragma once

#include "nutmegturn/reason.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

struct coap_pdu_t;

namespace nutmegturn
{
	/// CoAP message type, with the values of RFC 7252, section 3.
	enum class coap_type : std::uint8_t
	{
		confirmable,
		non_confirmable,
		acknowledgement,
		reset
	};

	/// \name CoAP codes used by the agent
	/// @{
	inline constexpr std::uint8_t coap_code_empty = 0x00;
	inline constexpr std::uint8_t coap_code_get = 0x01;
	inline constexpr std::uint8_t coap_code_post = 0x02;
	inline constexpr std::uint8_t coap_code_put = 0x03;
	inline constexpr std::uint8_t coap_code_delete = 0x04;
	inline constexpr std::uint8_t coap_code_fetch = 0x05;
	inline constexpr std::uint8_t coap_code_unauthorized = 0x81;        ///< 4.01
	inline constexpr std::uint8_t coap_code_service_unavailable = 0xa3; ///< 5.03
	inline constexpr std::uint8_t coap_code_gateway_timeout = 0xa4;     ///< 5.04
	/// @}

	/// Bytes of one encoded message.
	using coap_bytes = std::vector<std::byte>;

	namespace detail
	{
		struct coap_pdu_deleter
		{
			void operator()(coap_pdu_t* pdu) const noexcept;
		};
	}

	/// Read-only view of a message parsed by libcoap. Returned spans are valid for the lifetime of the message.
	class coap_message
	{
	public:
		/// Takes ownership of a parsed message. Use `parse_coap` instead.
		explicit coap_message(std::unique_ptr<coap_pdu_t, detail::coap_pdu_deleter> pdu) noexcept;

		/// \name Header
		/// @{

		/// Returns the message type.
		[[nodiscard]] coap_type type() const noexcept;
		/// Returns the method or response code.
		[[nodiscard]] std::uint8_t code() const noexcept;
		/// Returns the message id.
		[[nodiscard]] std::uint16_t message_id() const noexcept;
		/// Returns the token, 0 to 8 bytes.
		[[nodiscard]] std::span<const std::byte> token() const noexcept;
		/// @}

		/// \name Classification
		/// @{

		/// Returns whether the message is a request: a method code in a confirmable or non-confirmable message.
		[[nodiscard]] bool is_request() const noexcept;
		/// Returns whether the message is a response (2.xx, 4.xx or 5.xx).
		[[nodiscard]] bool is_response() const noexcept;
		/// Returns whether the message is empty: an acknowledgement, a reset or a ping.
		[[nodiscard]] bool is_empty() const noexcept;
		/// Returns whether the method is idempotent. POST and PATCH are not.
		[[nodiscard]] bool is_idempotent() const noexcept;
		/// Returns whether the payload has the size given by the Size2 option. Always true for block-wise transfers,
		/// for empty payloads and without the option.
		[[nodiscard]] bool is_complete() const noexcept;
		/// Returns whether the message cancels an observation (Observe option with value 1, RFC 7641).
		[[nodiscard]] bool is_deregistration() const noexcept;
		/// @}

		/// \name Content
		/// @{

		/// Returns the value of the Echo option, or an empty span if there is none.
		[[nodiscard]] std::span<const std::byte> echo() const noexcept;
		/// Returns the payload.
		[[nodiscard]] std::span<const std::byte> payload() const noexcept;
		/// Returns a hash of code, payload and all options except Echo. It distinguishes different requests with equal
		/// tokens.
		[[nodiscard]] std::uint64_t content_hash() const noexcept;
		/// @}

	private:
		std::unique_ptr<coap_pdu_t, detail::coap_pdu_deleter> pdu_;
	};

	/// Parses one datagram.
	/// \returns	The message, or `malformed` when libcoap rejects it.
	[[nodiscard]] std::variant<coap_message, reason> parse_coap(std::span<const std::byte> datagram);

	/// \name Messages created by the agent
	/// @{

	/// Returns an empty acknowledgement or reset for a message id.
	[[nodiscard]] coap_bytes encode_coap_empty(coap_type type, std::uint16_t message_id);

	/// Returns a response without options.
	/// \param payload	Diagnostic text; may be empty.
	[[nodiscard]] coap_bytes encode_coap_response(coap_type type, std::uint8_t code, std::uint16_t message_id,
												  std::span<const std::byte> token, std::string_view payload);

	/// Returns a 4.01 response with an Echo option that the caller must repeat.
	/// \param echo	1 to 40 bytes.
	[[nodiscard]] coap_bytes encode_coap_challenge(coap_type type, std::uint16_t message_id,
												   std::span<const std::byte> token, std::span<const std::byte> echo);

	/// Returns a 5.03 response with payload `not run: REASON`.
	[[nodiscard]] coap_bytes encode_not_run(coap_type type, std::uint16_t message_id, std::span<const std::byte> token,
											reason why);

	/// Returns a 5.04 response with payload `outcome unknown: REASON`.
	[[nodiscard]] coap_bytes encode_outcome_unknown(coap_type type, std::uint16_t message_id,
													std::span<const std::byte> token, reason why);

	/// Returns a copy of a message with another type and message id, which are specific to one hop. Token, code,
	/// options and payload are unchanged.
	/// \param message	Encoded message of at least 4 bytes.
	[[nodiscard]] coap_bytes with_message_id(std::span<const std::byte> message, coap_type type,
											 std::uint16_t message_id);
	/// @}
}
