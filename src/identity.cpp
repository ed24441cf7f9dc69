#include "nutmegturn/flow_key.hpp"
#include "nutmegturn/ids.hpp"

#include <xxhash.h>

#include <array>
#include <cstring>

namespace nutmegturn
{
	std::uint64_t hash_name(std::string_view text) noexcept
	{
		return XXH3_64bits(text.data(), text.size());
	}

	std::string to_string(revision rev)
	{
		const auto number = std::to_string(number_of(rev));
		return era_of(rev) == 0 ? number : std::to_string(era_of(rev)) + "." + number;
	}

	std::uint64_t flow_hash(const flow_key& key) noexcept
	{
		// Serialized field by field, because padding bytes must not enter the hash.
		constexpr std::size_t endpoint_size = sizeof(address) + 2;
		std::array<std::uint8_t, 2 * endpoint_size + 1> buf{};
		const auto put = [&buf](std::size_t offset, const endpoint& ep)
		{
			std::memcpy(buf.data() + offset, ep.ip.bytes.data(), ep.ip.bytes.size());
			buf[offset + sizeof(address)] = static_cast<std::uint8_t>(ep.port >> 8U);
			buf[offset + sizeof(address) + 1] = static_cast<std::uint8_t>(ep.port);
		};
		put(0, key.client);
		put(endpoint_size, key.service);
		buf.back() = static_cast<std::uint8_t>(key.protocol);
		return XXH3_64bits(buf.data(), buf.size());
	}
}
