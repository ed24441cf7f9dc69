#pragma once

#include <compare>
#include <cstdint>

namespace nutmegturn::steering
{
	/// Revision of the metadata store. A store that is restored from an older copy starts another era and gives out
	/// numbers of the previous one again, so the era is compared first.
	struct store_revision
	{
		std::uint64_t era = 0;    ///< 0 if the store has no eras.
		std::uint64_t number = 0; ///< Increases with each change during an era.

		// clang-tidy 14 takes the comparison with 0 in the defaulted operator for a null pointer.
		// NOLINTNEXTLINE(modernize-use-nullptr)
		[[nodiscard]] friend constexpr auto operator<=>(store_revision, store_revision) noexcept = default;
	};
}
