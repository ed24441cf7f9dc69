#include "nutmegturn/steering/store_follower.hpp"

#include <algorithm>

namespace nutmegturn::steering
{
	namespace
	{
		constexpr std::chrono::milliseconds first_retry{200};
		constexpr std::chrono::milliseconds longest_retry{1'000};
		constexpr std::uint32_t most_doublings = 3;

		void note_answer(store_follower& it, monotonic_time now) noexcept
		{
			if (it.away)
			{
				it.away = false;
				it.back = now;
			}
			it.failures = 0;
			it.answered = now;
			it.due = now;
		}
	}

	bool note_listing(store_follower& it, std::uint64_t revision, const std::string& last_key, bool more,
					  monotonic_time now)
	{
		note_answer(it, now);
		if (it.last_key.empty())
		{
			it.first_page = revision;
		}
		it.last_key = last_key;
		if (more && !last_key.empty())
		{
			return false;
		}
		it.revision = it.first_page;
		it.next = store_follower::step::watch;
		it.last_key.clear();
		it.listed_once = true;
		return true;
	}

	void note_watch(store_follower& it, std::uint64_t revision, bool changed, monotonic_time now)
	{
		note_answer(it, now);
		it.revision = std::max(it.revision, revision);
		it.due = changed ? now + it.change_pause : now;
	}

	void note_history_gone(store_follower& it, monotonic_time now)
	{
		note_answer(it, now);
		it.next = store_follower::step::list;
		it.last_key.clear();
		it.listed.clear();
	}

	void note_failure(store_follower& it, std::uint64_t jitter, monotonic_time now)
	{
		it.away = true;
		const auto pause = std::min(first_retry * (1U << std::min(it.failures, most_doublings)), longest_retry);
		const auto spread = std::chrono::milliseconds{static_cast<std::int64_t>(jitter % 100)};
		++it.failures;
		it.due = now + pause + spread;
	}

	bool is_settling(const store_follower& it, monotonic_time now) noexcept
	{
		return it.away || (it.back != monotonic_time{} && now - it.back < settling_time);
	}

	bool is_current(const store_follower& it, monotonic_time now) noexcept
	{
		return it.listed_once && !it.away && now - it.answered <= watch_wait + call_timeout;
	}
}
