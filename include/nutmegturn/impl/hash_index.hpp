#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace nutmegturn::detail
{
	/// Open-addressing index from 64-bit hashes to positions in another container. Linear probing; removal moves later
	/// entries back, so there are no tombstones. Entries hold the upper half of the hash, since the lower bits choose
	/// buckets and are equal for many flows of one agent.
	class hash_index
	{
	public:
		/// Creates an index that stays at most three quarters full.
		explicit hash_index(std::size_t capacity) : slots_(std::bit_ceil(capacity + capacity / 3 + 2)) {}

		/// Returns the position for which `matches(position)` holds, or nothing.
		template <typename Matches>
		[[nodiscard]] std::optional<std::uint32_t> find(std::uint64_t hash, Matches matches) const noexcept
		{
			const auto tag = static_cast<std::uint32_t>(hash >> 32U);
			for (std::size_t at = tag & mask(); slots_[at].used != 0; at = (at + 1) & mask())
			{
				if (slots_[at].tag == tag && matches(slots_[at].used - 1))
				{
					return slots_[at].used - 1;
				}
			}
			return std::nullopt;
		}

		/// Adds a position that is not present.
		void insert(std::uint64_t hash, std::uint32_t position) noexcept
		{
			const auto tag = static_cast<std::uint32_t>(hash >> 32U);
			std::size_t at = tag & mask();
			while (slots_[at].used != 0)
			{
				at = (at + 1) & mask();
			}
			slots_[at] = {tag, position + 1};
		}

		/// Removes a position that is present.
		void erase(std::uint64_t hash, std::uint32_t position) noexcept
		{
			std::size_t at = static_cast<std::uint32_t>(hash >> 32U) & mask();
			while (slots_[at].used != position + 1)
			{
				at = (at + 1) & mask();
			}
			std::size_t hole = at;
			for (at = (at + 1) & mask(); slots_[at].used != 0; at = (at + 1) & mask())
			{
				const std::size_t home = slots_[at].tag & mask();
				if (((at - home) & mask()) >= ((at - hole) & mask()))
				{
					slots_[hole] = slots_[at];
					hole = at;
				}
			}
			slots_[hole] = {};
		}

	private:
		struct slot
		{
			std::uint32_t tag = 0;
			std::uint32_t used = 0; ///< Position + 1; 0 when free.
		};

		[[nodiscard]] std::size_t mask() const noexcept
		{
			return slots_.size() - 1;
		}

		std::vector<slot> slots_;
	};
}
