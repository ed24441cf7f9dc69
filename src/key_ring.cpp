#include "nutmegturn/key_ring.hpp"

#include <sodium.h>

namespace nutmegturn
{
	std::optional<shared_key> parse_shared_key(std::uint8_t id, std::string_view hex) noexcept
	{
		shared_key key{id, {}};
		std::size_t size = 0;
		const char* end = nullptr;
		if (id == 0 || hex.size() != 2 * key.secret.size() ||
			sodium_hex2bin(key.secret.data(), key.secret.size(), hex.data(), hex.size(), nullptr, &size, &end) != 0 ||
			end != hex.data() + hex.size())
		{
			return std::nullopt;
		}
		return key;
	}

	std::optional<key_ring> make_key_ring(std::span<const shared_key> keys, bool accept_unauthenticated) noexcept
	{
		key_ring ring;
		ring.accept_unauthenticated = accept_unauthenticated;
		if (keys.size() > ring.keys.size())
		{
			return std::nullopt;
		}
		// The context consists of purpose and wire version, so that a tag for one purpose or version is never
		// valid for another.
		const auto derive = [](const shared_key& key, std::string_view context, std::span<std::uint8_t> out)
		{
			crypto_generichash(out.data(), out.size(), reinterpret_cast<const unsigned char*>(context.data()),
							   context.size(), key.secret.data(), key.secret.size());
		};
		for (const auto& key : keys)
		{
			if (key.id == 0 || ring.find(key.id) != nullptr)
			{
				return std::nullopt;
			}
			auto& derived = ring.keys[ring.size];
			derived.id = key.id;
			derive(key, "nutmegturn packet 1", derived.packet);
			derive(key, "nutmegturn control 1", derived.control);
			++ring.size;
		}
		return ring;
	}
}
