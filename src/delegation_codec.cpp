#include "nutmegturn/impl/delegation_codec.hpp"

#include <boost/endian/conversion.hpp>

#include <span>

namespace nutmegturn
{
	namespace
	{
		const unsigned char* raw(const std::byte* data) noexcept
		{
			return reinterpret_cast<const unsigned char*>(data);
		}

		template <typename T>
		void append(coap_bytes& buf, T value)
		{
			const auto big = boost::endian::native_to_big(value);
			const auto bytes = std::as_bytes(std::span{&big, 1});
			buf.insert(buf.end(), bytes.begin(), bytes.end());
		}
	}

	namespace detail
	{
		coap_bytes encode(const delegation_header& header)
		{
			coap_bytes buf;
			append(buf, to_number(header.coordinator));
			append(buf, to_number(header.delegate));
			append(buf, header.sequence);
			append(buf, header.remaining_ms);
			return buf;
		}

		coap_bytes encode(const delegation_result& result)
		{
			coap_bytes buf;
			append(buf, to_number(result.coordinator));
			append(buf, result.sequence);
			append(buf, static_cast<std::uint8_t>(result.status));
			append(buf, static_cast<std::uint8_t>(result.why));
			return buf;
		}

		std::optional<delegation_header> decode_delegation_header(std::span<const std::byte> buf) noexcept
		{
			if (buf.size() < delegation_header_size)
			{
				return std::nullopt;
			}
			const auto* data = raw(buf.data());
			return delegation_header{incarnation{boost::endian::load_big_u64(data)},
									 incarnation{boost::endian::load_big_u64(data + 8)},
									 boost::endian::load_big_u64(data + 16), boost::endian::load_big_u32(data + 24)};
		}

		std::optional<delegation_result> decode_delegation_result(std::span<const std::byte> buf) noexcept
		{
			if (buf.size() < delegation_result_size)
			{
				return std::nullopt;
			}
			const auto* data = raw(buf.data());
			const auto status = static_cast<request_status>(data[16]);
			if (status != request_status::answered && status != request_status::refused &&
				status != request_status::unknown)
			{
				return std::nullopt;
			}
			const auto why = data[17] < static_cast<std::uint8_t>(reason::count) ? static_cast<reason>(data[17])
																				 : reason::outcome_lost;
			return delegation_result{incarnation{boost::endian::load_big_u64(data)},
									 boost::endian::load_big_u64(data + 8), status, why};
		}
	}
}
