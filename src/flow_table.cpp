#include "nutmegturn/flow_table.hpp"

namespace nutmegturn
{
	std::optional<flow_slot> flow_table::find(const flow_key& key, std::uint64_t hash) const noexcept
	{
		const auto i = index_.find(hash, [&](std::uint32_t at) { return this->at(flow_slot{at}).key == key; });
		return i ? std::optional{flow_slot{*i}} : std::nullopt;
	}

	std::optional<flow_slot> flow_table::find(std::uint64_t hash) const noexcept
	{
		const auto i = index_.find(hash, [&](std::uint32_t at) { return this->at(flow_slot{at}).hash == hash; });
		return i ? std::optional{flow_slot{*i}} : std::nullopt;
	}

	std::optional<flow_slot> flow_table::insert(const flow_key& key, std::uint64_t hash)
	{
		if (size_ >= capacity_)
		{
			return std::nullopt;
		}
		if (free_ == 0)
		{
			if (positions_ == chunks_.size() * chunk_size)
			{
				chunks_.push_back(std::make_unique<std::array<flow_entry, chunk_size>>());
			}
			free_ = static_cast<std::uint32_t>(++positions_);
		}
		const flow_slot slot{free_ - 1};
		auto& entry = at(slot);
		free_ = entry.next_free;
		entry = {};
		entry.key = key;
		entry.hash = hash;
		entry.used = true;
		index_.insert(hash, static_cast<std::uint32_t>(slot));
		++size_;
		return slot;
	}

	void flow_table::erase(flow_slot slot) noexcept
	{
		auto& entry = at(slot);
		index_.erase(entry.hash, static_cast<std::uint32_t>(slot));
		entry.used = false;
		entry.next_free = free_;
		free_ = static_cast<std::uint32_t>(slot) + 1;
		--size_;
	}
}
