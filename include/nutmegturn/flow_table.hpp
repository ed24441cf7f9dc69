#pragma once

#include "nutmegturn/action.hpp"
#include "nutmegturn/flow_key.hpp"
#include "nutmegturn/impl/hash_index.hpp"
#include "nutmegturn/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace nutmegturn
{
	/// A flow held by an agent.
	struct flow_entry
	{
		flow_key key;
		endpoint balancer;           ///< Balancer that carried the last packet; answers go there.
		std::uint64_t hash = 0;      ///< Hash of the key.
		monotonic_time last_active;  ///< Last packet in either direction.
		std::uint32_t next_free = 0; ///< Next free entry + 1; meaningful only when the entry is unused.
		bool used = false;
	};

	/// Flows held for one upstream. Entries never move, so a `flow_slot` stays valid until the flow is erased.
	class flow_table
	{
	public:
		/// Creates a table.
		/// \param capacity	Largest number of flows.
		explicit flow_table(std::size_t capacity) : index_{capacity}, capacity_{capacity} {}

		/// Returns the slot of a flow, or nothing.
		[[nodiscard]] std::optional<flow_slot> find(const flow_key& key, std::uint64_t hash) const noexcept;

		/// Returns the slot of a flow with this hash, or nothing.
		[[nodiscard]] std::optional<flow_slot> find(std::uint64_t hash) const noexcept;

		/// Adds a flow that is not present.
		/// \returns	Its slot, or nothing when the table is full.
		[[nodiscard]] std::optional<flow_slot> insert(const flow_key& key, std::uint64_t hash);

		/// Removes a flow that is present.
		void erase(flow_slot slot) noexcept;

		/// Returns the entry at a position below `positions()`; it may be unused.
		[[nodiscard]] flow_entry& at(flow_slot slot) noexcept
		{
			const auto i = static_cast<std::uint32_t>(slot);
			return (*chunks_[i / chunk_size])[i % chunk_size];
		}

		/// \copydoc at
		[[nodiscard]] const flow_entry& at(flow_slot slot) const noexcept
		{
			const auto i = static_cast<std::uint32_t>(slot);
			return (*chunks_[i / chunk_size])[i % chunk_size];
		}

		/// Number of flows held.
		[[nodiscard]] std::size_t size() const noexcept
		{
			return size_;
		}

		/// Largest number of flows.
		[[nodiscard]] std::size_t capacity() const noexcept
		{
			return capacity_;
		}

		/// Number of positions that have been in use.
		[[nodiscard]] std::size_t positions() const noexcept
		{
			return positions_;
		}

	private:
		/// Entries are allocated in chunks, so growth neither moves them nor doubles the memory.
		static constexpr std::size_t chunk_size = 512;

		detail::hash_index index_;
		std::vector<std::unique_ptr<std::array<flow_entry, chunk_size>>> chunks_;
		std::size_t capacity_;
		std::size_t positions_ = 0;
		std::size_t size_ = 0;
		std::uint32_t free_ = 0; ///< First free position + 1, or 0.
	};
}
