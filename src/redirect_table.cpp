#include "nutmegturn/redirect_table.hpp"

namespace nutmegturn
{
	redirect_table::redirect_table(std::size_t capacity, monotonic_clock::duration lifetime)
		: index_{capacity}, capacity_{capacity}, lifetime_{lifetime}
	{
	}

	const redirect* redirect_table::find(std::uint64_t hash) const noexcept
	{
		const auto i = index_.find(hash, [&](std::uint32_t at) { return entries_[at].hash == hash; });
		return i ? &entries_[*i] : nullptr;
	}

	void redirect_table::set(std::uint64_t hash, upstream_id holder, const endpoint& agent, redirect_kind kind,
							 monotonic_time now)
	{
		auto i = index_.find(hash, [&](std::uint32_t at) { return entries_[at].hash == hash; });
		if (i)
		{
			unlink(*i);
		}
		else
		{
			if (size_ == capacity_)
			{
				++dropped_;
				erase_at(oldest_ - 1);
			}
			if (free_ == 0)
			{
				entries_.emplace_back();
				free_ = static_cast<std::uint32_t>(entries_.size());
			}
			i = free_ - 1;
			free_ = entries_[*i].newer;
			index_.insert(hash, *i);
			++size_;
		}
		auto& entry = entries_[*i];
		entry.hash = hash;
		entry.holder = holder;
		entry.agent = agent;
		entry.kind = kind;
		entry.refreshed_at = now;
		entry.expires = now + lifetime_;
		link_newest(*i);
	}

	void redirect_table::erase(std::uint64_t hash) noexcept
	{
		const auto i = index_.find(hash, [&](std::uint32_t at) { return entries_[at].hash == hash; });
		if (i)
		{
			erase_at(*i);
		}
	}

	void redirect_table::expire(monotonic_time now) noexcept
	{
		while (oldest_ != 0 && entries_[oldest_ - 1].expires <= now)
		{
			erase_at(oldest_ - 1);
		}
	}

	void redirect_table::unlink(std::uint32_t position) noexcept
	{
		const auto newer = entries_[position].newer;
		const auto older = entries_[position].older;
		(newer != 0 ? entries_[newer - 1].older : newest_) = older;
		(older != 0 ? entries_[older - 1].newer : oldest_) = newer;
	}

	void redirect_table::link_newest(std::uint32_t position) noexcept
	{
		entries_[position].newer = 0;
		entries_[position].older = newest_;
		(newest_ != 0 ? entries_[newest_ - 1].newer : oldest_) = position + 1;
		newest_ = position + 1;
	}

	void redirect_table::erase_at(std::uint32_t position) noexcept
	{
		index_.erase(entries_[position].hash, position);
		unlink(position);
		entries_[position] = {};
		entries_[position].newer = free_;
		free_ = position + 1;
		--size_;
	}
}
