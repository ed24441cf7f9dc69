#include "nutmegturn/replay_filter.hpp"

namespace nutmegturn
{
	bool replay_filter::accept(member_id sender, incarnation process_incarnation, std::uint64_t sequence)
	{
		const auto key = std::pair{sender, process_incarnation};
		auto it = current_.find(key);
		if (it == current_.end())
		{
			window inherited;
			if (const auto previous = previous_.find(key); previous != previous_.end())
			{
				inherited = previous->second;
			}
			if (current_.size() >= max_senders)
			{
				previous_ = std::move(current_);
				current_.clear();
			}
			it = current_.emplace(key, inherited).first;
		}
		auto& [highest, seen] = it->second;
		const auto word = [&seen = seen](std::uint64_t n) -> std::uint64_t& { return seen[n % window_size / 64]; };
		const auto bit = [](std::uint64_t n) { return std::uint64_t{1} << (n % 64); };
		if (sequence > highest)
		{
			if (sequence - highest >= window_size)
			{
				seen.fill(0);
			}
			else
			{
				for (auto n = highest + 1; n != sequence; ++n)
				{
					word(n) &= ~bit(n);
				}
			}
			highest = sequence;
			word(sequence) |= bit(sequence);
			return true;
		}
		if (sequence == 0 || highest - sequence >= window_size || (word(sequence) & bit(sequence)) != 0)
		{
			return false;
		}
		word(sequence) |= bit(sequence);
		return true;
	}
}
