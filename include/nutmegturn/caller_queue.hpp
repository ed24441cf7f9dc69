#pragma once

#include "nutmegturn/endpoint.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace nutmegturn
{
	/// Short bounded queue that is fair across caller groups (client addresses). On overflow it evicts the newest
	/// request of the longest group, so groups that demand more than their share get equal shares. Requests are served
	/// in order of arrival, since round robin over the groups gives a group of small demand a shorter wait than others.
	template <typename T>
	class caller_queue
	{
	public:
		/// Creates an empty queue.
		/// \param bound	Largest number of queued requests over all groups.
		explicit caller_queue(std::size_t bound = 0) noexcept : bound_{bound} {}

		/// Returns the number of queued requests.
		[[nodiscard]] std::size_t size() const noexcept
		{
			return size_;
		}

		/// Returns whether no request is queued.
		[[nodiscard]] bool empty() const noexcept
		{
			return size_ == 0;
		}

		/// Adds a request.
		/// \returns	The evicted request, if any; it may be the new one.
		std::optional<T> push(const address& group, T item)
		{
			groups_[group].push_back({next_order_++, item});
			++size_;
			if (size_ <= bound_)
			{
				return std::nullopt;
			}
			// Among equally long groups, the group of the new request is chosen, so that no address is favoured.
			auto longest = groups_.begin();
			for (auto it = groups_.begin(); it != groups_.end(); ++it)
			{
				const bool longer = it->second.size() > longest->second.size();
				const bool same = it->second.size() == longest->second.size();
				if (longer || (same && it->first == group))
				{
					longest = it;
				}
			}
			const T evicted = longest->second.back().value;
			longest->second.pop_back();
			after_removal(longest);
			return evicted;
		}

		/// Removes the oldest request and returns it.
		std::optional<T> pop()
		{
			if (size_ == 0)
			{
				return std::nullopt;
			}
			const auto it = std::min_element(groups_.begin(), groups_.end(),
											 [](const auto& a, const auto& b)
											 { return a.second.front().order < b.second.front().order; });
			const T item = it->second.front().value;
			it->second.pop_front();
			after_removal(it);
			return item;
		}

		/// Removes a request from any position.
		/// \returns	Whether it was queued.
		bool remove(const address& group, const T& item)
		{
			const auto it = groups_.find(group);
			if (it == groups_.end())
			{
				return false;
			}
			const auto found = std::find_if(it->second.begin(), it->second.end(),
											[&](const auto& waiting) { return waiting.value == item; });
			if (found == it->second.end())
			{
				return false;
			}
			it->second.erase(found);
			after_removal(it);
			return true;
		}

	private:
		struct waiting_item
		{
			std::uint64_t order = 0;
			T value{};
		};

		struct by_bytes
		{
			bool operator()(const address& a, const address& b) const noexcept
			{
				return a.bytes < b.bytes;
			}
		};

		using group_map = std::map<address, std::deque<waiting_item>, by_bytes>;

		void after_removal(typename group_map::iterator it)
		{
			--size_;
			if (it->second.empty())
			{
				groups_.erase(it);
			}
		}

		group_map groups_;
		std::uint64_t next_order_ = 0;
		std::size_t bound_;
		std::size_t size_ = 0;
	};
}
