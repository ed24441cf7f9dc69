#include "nutmegturn/coap_message.hpp"

#include <coap3/coap.h>
#include <fmt/format.h>
#include <xxhash.h>

#include <array>
#include <optional>
#include <string>
#include <utility>

namespace nutmegturn
{
	namespace
	{
		std::span<const std::byte> as_span(const std::uint8_t* data, std::size_t size) noexcept
		{
			return {reinterpret_cast<const std::byte*>(data), data == nullptr ? 0 : size};
		}

		std::optional<std::span<const std::byte>> find_option(const coap_pdu_t* pdu, std::uint16_t number) noexcept
		{
			coap_opt_iterator_t it{};
			const coap_opt_t* option = coap_check_option(pdu, number, &it);
			if (option == nullptr)
			{
				return std::nullopt;
			}
			return as_span(coap_opt_value(option), coap_opt_length(option));
		}

		std::optional<std::uint64_t> find_uint_option(const coap_pdu_t* pdu, std::uint16_t number) noexcept
		{
			const auto value = find_option(pdu, number);
			if (!value || value->size() > 4)
			{
				return std::nullopt;
			}
			std::uint64_t n = 0;
			for (const auto it : *value)
			{
				n = n << 8U | std::to_integer<std::uint64_t>(it);
			}
			return n;
		}

		coap_bytes encode_header(coap_type type, std::uint8_t code, std::uint16_t message_id,
								 std::span<const std::byte> token)
		{
			coap_bytes buf{std::byte(0x40U | static_cast<unsigned>(type) << 4U | token.size()), std::byte{code},
						   std::byte(message_id >> 8U), std::byte(message_id & 0xffU)};
			buf.insert(buf.end(), token.begin(), token.end());
			return buf;
		}
	}

	void detail::coap_pdu_deleter::operator()(coap_pdu_t* pdu) const noexcept
	{
		coap_delete_pdu(pdu);
	}

	coap_message::coap_message(std::unique_ptr<coap_pdu_t, detail::coap_pdu_deleter> pdu) noexcept
		: pdu_{std::move(pdu)}
	{
	}

	coap_type coap_message::type() const noexcept
	{
		return static_cast<coap_type>(coap_pdu_get_type(pdu_.get()));
	}

	std::uint8_t coap_message::code() const noexcept
	{
		return static_cast<std::uint8_t>(coap_pdu_get_code(pdu_.get()));
	}

	std::uint16_t coap_message::message_id() const noexcept
	{
		return static_cast<std::uint16_t>(coap_pdu_get_mid(pdu_.get()));
	}

	std::span<const std::byte> coap_message::token() const noexcept
	{
		const auto token = coap_pdu_get_token(pdu_.get());
		return as_span(token.s, token.length);
	}

	bool coap_message::is_request() const noexcept
	{
		return code() != 0 && code() < 0x20 &&
			   (type() == coap_type::confirmable || type() == coap_type::non_confirmable);
	}

	bool coap_message::is_response() const noexcept
	{
		const auto kind = code() >> 5U;
		return (kind == 2 || kind == 4 || kind == 5) && type() != coap_type::reset;
	}

	bool coap_message::is_empty() const noexcept
	{
		return code() == coap_code_empty;
	}

	bool coap_message::is_idempotent() const noexcept
	{
		switch (code())
		{
			case COAP_REQUEST_GET:
			case COAP_REQUEST_PUT:
			case COAP_REQUEST_DELETE:
			case COAP_REQUEST_FETCH:
			case COAP_REQUEST_IPATCH:
				return true;
			default:
				return false;
		}
	}

	bool coap_message::is_complete() const noexcept
	{
		const auto size = find_uint_option(pdu_.get(), COAP_OPTION_SIZE2);
		return !size || find_option(pdu_.get(), COAP_OPTION_BLOCK2) || payload().empty() || *size == payload().size();
	}

	bool coap_message::is_deregistration() const noexcept
	{
		return code() == coap_code_get && find_uint_option(pdu_.get(), COAP_OPTION_OBSERVE) == 1;
	}

	std::span<const std::byte> coap_message::echo() const noexcept
	{
		return find_option(pdu_.get(), COAP_OPTION_ECHO).value_or(std::span<const std::byte>{});
	}

	std::span<const std::byte> coap_message::payload() const noexcept
	{
		std::size_t size = 0;
		const std::uint8_t* data = nullptr;
		return coap_get_data(pdu_.get(), &size, &data) != 0 ? as_span(data, size) : std::span<const std::byte>{};
	}

	std::uint64_t coap_message::content_hash() const noexcept
	{
		// Each part is hashed with the previous hash as its seed, so that moving bytes between parts changes the
		// result.
		std::uint64_t hash = code();
		coap_opt_iterator_t it{};
		coap_option_iterator_init(pdu_.get(), &it, COAP_OPT_ALL);
		while (const coap_opt_t* option = coap_option_next(&it))
		{
			if (it.number != COAP_OPTION_ECHO)
			{
				hash = XXH3_64bits_withSeed(coap_opt_value(option), coap_opt_length(option), hash + it.number);
			}
		}
		const auto data = payload();
		return XXH3_64bits_withSeed(data.data(), data.size(), ~hash);
	}

	std::variant<coap_message, reason> parse_coap(std::span<const std::byte> datagram)
	{
		// Suppresses libcoap's messages about malformed input on standard error; the caller counts such input instead.
		static const bool silenced = (coap_set_log_level(LOG_EMERG), true);
		static_cast<void>(silenced);
		constexpr std::size_t header_size = 4;
		constexpr unsigned version_mask = 0xc0;
		constexpr unsigned version_1 = 0x40;
		if (datagram.size() < header_size || (std::to_integer<unsigned>(datagram.front()) & version_mask) != version_1)
		{
			return reason::malformed;
		}
		std::unique_ptr<coap_pdu_t, detail::coap_pdu_deleter> pdu{
			coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, datagram.size())};
		if (!pdu || coap_pdu_parse(COAP_PROTO_UDP, reinterpret_cast<const std::uint8_t*>(datagram.data()),
								   datagram.size(), pdu.get()) == 0)
		{
			return reason::malformed;
		}
		coap_message message{std::move(pdu)};
		// RFC 7252, section 4.1: an empty message has neither a token nor further bytes.
		if (message.is_empty() && datagram.size() != header_size)
		{
			return reason::malformed;
		}
		return message;
	}

	coap_bytes encode_coap_empty(coap_type type, std::uint16_t message_id)
	{
		return encode_header(type, coap_code_empty, message_id, {});
	}

	coap_bytes encode_coap_response(coap_type type, std::uint8_t code, std::uint16_t message_id,
									std::span<const std::byte> token, std::string_view payload)
	{
		auto buf = encode_header(type, code, message_id, token);
		if (!payload.empty())
		{
			constexpr std::byte payload_marker{0xff};
			buf.push_back(payload_marker);
			const auto bytes = std::as_bytes(std::span{payload});
			buf.insert(buf.end(), bytes.begin(), bytes.end());
		}
		return buf;
	}

	coap_bytes encode_coap_challenge(coap_type type, std::uint16_t message_id, std::span<const std::byte> token,
									 std::span<const std::byte> echo)
	{
		auto buf = encode_header(type, coap_code_unauthorized, message_id, token);
		std::array<std::uint8_t, 64> option{};
		const auto n = coap_opt_encode(option.data(), option.size(), COAP_OPTION_ECHO,
									   reinterpret_cast<const std::uint8_t*>(echo.data()), echo.size());
		const auto bytes = as_span(option.data(), n);
		buf.insert(buf.end(), bytes.begin(), bytes.end());
		return buf;
	}

	coap_bytes encode_not_run(coap_type type, std::uint16_t message_id, std::span<const std::byte> token, reason why)
	{
		return encode_coap_response(type, coap_code_service_unavailable, message_id, token,
									fmt::format("not run: {}", to_string(why)));
	}

	coap_bytes encode_outcome_unknown(coap_type type, std::uint16_t message_id, std::span<const std::byte> token,
									  reason why)
	{
		return encode_coap_response(type, coap_code_gateway_timeout, message_id, token,
									fmt::format("outcome unknown: {}", to_string(why)));
	}

	coap_bytes with_message_id(std::span<const std::byte> message, coap_type type, std::uint16_t message_id)
	{
		constexpr unsigned type_clear_mask = 0xcf;
		coap_bytes buf{message.begin(), message.end()};
		buf[0] = std::byte((std::to_integer<unsigned>(buf[0]) & type_clear_mask) | static_cast<unsigned>(type) << 4U);
		buf[2] = std::byte(message_id >> 8U);
		buf[3] = std::byte(message_id & 0xffU);
		return buf;
	}
}
