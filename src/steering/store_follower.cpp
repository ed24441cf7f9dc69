#include "nutmegturn/steering/store_follower.hpp"

#include <algorithm>

namespace nutmegturn::steering
{
	namespace
	{
		constexpr std::chrono::milliseconds initial_retry_delay{200};
		constexpr std::chrono::milliseconds max_retry_delay{1'000};
		constexpr std::uint32_t max_retry_doublings = 3;

		void note_answer(store_follower& it, monotonic_time now) noexcept
		{
			if (it.unreachable)
			{
				it.unreachable = false;
				it.recovered_at = now;
			}
			it.failures = 0;
			it.last_answer = now;
			it.next_call_at = now;
		}
	}

	bool note_listing(store_follower& it, std::uint64_t revision, const std::string& last_key, bool more,
					  monotonic_time now)
	{
		note_answer(it, now);
		if (it.last_key.empty())
		{
			it.first_page_revision = revision;
		}
		it.last_key = last_key;
		if (more && !last_key.empty())
		{
			return false;
		}
		it.revision = it.first_page_revision;
		it.next = store_follower::step::watch;
		it.last_key.clear();
		it.listed_once = true;
		return true;
	}

	void note_watch(store_follower& it, std::uint64_t revision, bool changed, monotonic_time now)
	{
		note_answer(it, now);
		it.revision = std::max(it.revision, revision);
		it.next_call_at = changed ? now + it.coalescing_delay : now;
	}

	void note_history_gone(store_follower& it, monotonic_time now)
	{
		note_answer(it, now);
		it.next = store_follower::step::list;
		it.last_key.clear();
		it.listed_keys.clear();
	}

	void note_failure(store_follower& it, std::uint64_t jitter, monotonic_time now)
	{
		it.unreachable = true;
		const auto pause =
			std::min(initial_retry_delay * (1U << std::min(it.failures, max_retry_doublings)), max_retry_delay);
		const auto jitter_delay = std::chrono::milliseconds{static_cast<std::int64_t>(jitter % 100)};
		++it.failures;
		it.next_call_at = now + pause + jitter_delay;
	}

	bool is_settling(const store_follower& it, monotonic_time now) noexcept
	{
		return it.unreachable || (it.recovered_at != monotonic_time{} && now - it.recovered_at < settling_time);
	}

	bool is_current(const store_follower& it, monotonic_time now) noexcept
	{
		return it.listed_once && !it.unreachable && now - it.last_answer <= watch_wait + call_timeout;
	}
}
