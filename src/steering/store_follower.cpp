#include "nutmegturn/steering/store_follower.hpp"

#include "nutmegturn/steering/record_evidence.hpp"

#include <algorithm>

namespace nutmegturn::steering
{
	namespace
	{
		constexpr std::chrono::milliseconds initial_retry_delay{200};
		constexpr std::chrono::milliseconds max_retry_delay{1'000};
		constexpr std::uint32_t max_retry_doublings = 3;

		/// Returns whether minor changes follow one another.
		[[nodiscard]] bool is_minor(const store_follower& follower, watch_changes changes, monotonic_time now) noexcept
		{
			const bool continuing = follower.last_change_at != monotonic_time{} &&
									now - follower.last_change_at <= 2 * follower.minor_change_delay;
			return continuing && changes.changed * minor_change_divisor < changes.known;
		}

		void record_answer(store_follower& follower, monotonic_time now) noexcept
		{
			if (follower.unreachable)
			{
				follower.unreachable = false;
				follower.recovered_at = now;
			}
			follower.failures = 0;
			follower.newer_known_since = {};
			follower.last_answer = now;
			follower.next_call_at = now;
		}
	}

	bool record_listing_page(store_follower& follower, store_revision revision, const std::string& last_key, bool more,
							 monotonic_time now)
	{
		record_answer(follower, now);
		follower.era = revision.era;
		if (follower.last_key.empty())
		{
			follower.first_page_revision = revision;
		}
		follower.last_key = last_key;
		if (more && !last_key.empty())
		{
			return false;
		}
		follower.revision = follower.first_page_revision;
		follower.first_listing = follower.first_listing.value_or(follower.revision);
		follower.next = store_follower::step::watch;
		follower.last_key.clear();
		follower.listed_once = true;
		return true;
	}

	void record_watch_answer(store_follower& follower, store_revision revision, watch_changes changes,
							 monotonic_time now)
	{
		record_answer(follower, now);
		follower.revision = std::max(follower.revision, revision);
		if (changes.changed == 0)
		{
			return;
		}
		const auto minor_delay =
			is_minor(follower, changes, now) ? follower.minor_change_delay : std::chrono::milliseconds{0};
		follower.next_call_at = now + std::max(follower.coalescing_delay, minor_delay);
		follower.last_change_at = now;
	}

	bool is_restored(const store_follower& follower, std::uint64_t era) noexcept
	{
		return follower.era && era > *follower.era;
	}

	bool is_former_era(const store_follower& follower, std::uint64_t era) noexcept
	{
		return follower.era && era < *follower.era;
	}

	void enter_era(store_follower& follower, std::uint64_t era, monotonic_time now)
	{
		restart_listing(follower, now);
		follower.era = era;
		follower.recovered_at = now;
	}

	std::chrono::milliseconds next_watch_wait(const store_follower& follower) noexcept
	{
		return follower.unreachable ? min_watch_wait : watch_wait;
	}

	void list_again(store_follower& follower, monotonic_time now) noexcept
	{
		follower.next_call_at = now;
		follower.next = store_follower::step::list;
		follower.last_key.clear();
		follower.listed_keys.clear();
	}

	void restart_listing(store_follower& follower, monotonic_time now)
	{
		record_answer(follower, now);
		list_again(follower, now);
	}

	void record_failure(store_follower& follower, std::uint64_t jitter, monotonic_time now)
	{
		follower.unreachable = true;
		const auto retry_delay =
			std::min(initial_retry_delay * (1U << std::min(follower.failures, max_retry_doublings)), max_retry_delay);
		const auto jitter_delay = std::chrono::milliseconds{static_cast<std::int64_t>(jitter % 100)};
		++follower.failures;
		follower.next_call_at = now + retry_delay + jitter_delay;
	}

	bool is_answer_overdue(store_follower& follower, store_revision revision, monotonic_time now) noexcept
	{
		if (follower.unreachable || !follower.listed_once || revision <= follower.revision)
		{
			return false;
		}
		if (follower.newer_known_since == monotonic_time{})
		{
			follower.newer_known_since = now;
		}
		const auto since = std::max(follower.newer_known_since, follower.next_call_at);
		return now - since > call_timeout;
	}

	bool is_version_overdue(newer_version& newer, std::uint64_t own, std::uint64_t reported,
							monotonic_time now) noexcept
	{
		if (own == 0 || reported <= own)
		{
			return false;
		}
		if (newer.known_since == monotonic_time{} || newer.own != own)
		{
			newer = {.known_since = now, .own = own};
		}
		return now - newer.known_since > call_timeout;
	}

	bool is_settling(const store_follower& follower, monotonic_time now) noexcept
	{
		return follower.unreachable ||
			   (follower.recovered_at != monotonic_time{} && now - follower.recovered_at < settling_time);
	}

	bool is_current(const store_follower& follower, monotonic_time known_as_of, monotonic_time now) noexcept
	{
		return follower.listed_once && !follower.unreachable && is_within_records_age(known_as_of, now);
	}
}
