#include "nutmegturn/fencing_token.hpp"

#include <boost/endian/conversion.hpp>
#include <sodium.h>

#include <algorithm>
#include <cstdint>

namespace nutmegturn
{
	namespace
	{
		constexpr std::size_t incarnation_offset = 8;
		constexpr std::size_t time_offset = 16;
		constexpr std::size_t mac_offset = 24;
		constexpr std::size_t mac_size = 16;

		unsigned char* raw(std::byte* data) noexcept
		{
			return reinterpret_cast<unsigned char*>(data);
		}

		void put(fencing_token& token, std::size_t offset, std::uint64_t value) noexcept
		{
			boost::endian::store_big_u64(raw(token.data() + offset), value);
		}

		void sign(const fencing_issuer& issuer, fencing_token& token) noexcept
		{
			std::array<std::byte, mac_offset + 8> signed_part{};
			std::copy_n(token.begin(), mac_offset, signed_part.begin());
			boost::endian::store_big_u64(raw(signed_part.data() + mac_offset), to_number(issuer.upstream));
			crypto_generichash(raw(token.data() + mac_offset), mac_size, raw(signed_part.data()), signed_part.size(),
							   reinterpret_cast<const unsigned char*>(issuer.key.data()), issuer.key.size());
		}

		fencing_token make_token(const fencing_issuer& issuer, std::uint64_t issued) noexcept
		{
			fencing_token token{};
			put(token, 0, to_number(issuer.agent));
			put(token, incarnation_offset, to_number(issuer.process_incarnation));
			put(token, time_offset, issued);
			sign(issuer, token);
			return token;
		}
	}

	fencing_token issue_fencing_token(const fencing_issuer& issuer, monotonic_time now) noexcept
	{
		return make_token(issuer, static_cast<std::uint64_t>(now.time_since_epoch().count()));
	}

	fencing_check check_fencing_token(const fencing_issuer& issuer, std::span<const std::byte> echo,
									  monotonic_time now) noexcept
	{
		if (echo.empty())
		{
			return {reason::token_missing, {}};
		}
		if (echo.size() != sizeof(fencing_token))
		{
			return {reason::token_foreign, {}};
		}
		const auto issued =
			boost::endian::load_big_u64(reinterpret_cast<const unsigned char*>(echo.data() + time_offset));
		const auto expected = make_token(issuer, issued);
		if (sodium_memcmp(expected.data(), echo.data(), expected.size()) != 0)
		{
			return {reason::token_foreign, {}};
		}
		const monotonic_time time{monotonic_clock::duration{static_cast<monotonic_clock::rep>(issued)}};
		return {now - time < fencing_token_validity ? reason::none : reason::token_expired, time};
	}
}
