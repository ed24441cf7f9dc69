#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace nutmegturn
{
	/// Secret from the settings that all processes of one system share.
	struct shared_key
	{
		std::uint8_t id = 0; ///< 1 to 255; 0 on the wire means "not authenticated".
		std::array<std::uint8_t, 32> secret{};
	};

	/// Keys derived from one shared secret, so that packets and control messages use different keys.
	struct derived_key
	{
		std::uint8_t id = 0;
		std::array<std::uint8_t, 16> packet{};  ///< SipHash-2-4 key.
		std::array<std::uint8_t, 32> control{}; ///< BLAKE2b key.
	};

	/// Currently valid keys. The first key authenticates outgoing datagrams; both keys are accepted in incoming ones,
	/// so that during a key rotation no process rejects the datagrams of another.
	struct key_ring
	{
		std::array<derived_key, 2> keys{};
		std::uint8_t size = 0; ///< 0 disables authentication: datagrams are sent without a tag, and none is verified.
		bool accept_unauthenticated = false; ///< Also accepts key id 0 while authentication is being introduced.

		/// Returns the valid key with this id, or null.
		[[nodiscard]] constexpr const derived_key* find(std::uint8_t id) const noexcept
		{
			for (std::size_t i = 0; i < size; ++i)
			{
				if (keys[i].id == id)
				{
					return &keys[i];
				}
			}
			return nullptr;
		}
	};

	/// Parses a shared key.
	/// \param id	Key id, 1 to 255.
	/// \param hex	64 hexadecimal digits.
	/// \returns	The key, or nothing when the id is 0 or the text is malformed.
	[[nodiscard]] std::optional<shared_key> parse_shared_key(std::uint8_t id, std::string_view hex) noexcept;

	/// Creates a key ring with the keys derived from shared keys.
	/// \param keys	At most two keys with distinct non-zero ids; the first is used for sending.
	/// \param accept_unauthenticated	Whether to accept datagrams without a tag as well.
	/// \returns	The ring, or nothing when there are too many keys, or an id is 0 or occurs twice.
	[[nodiscard]] std::optional<key_ring> make_key_ring(std::span<const shared_key> keys,
														bool accept_unauthenticated = false) noexcept;
}
