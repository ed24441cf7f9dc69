#pragma once

#include "nutmegturn/steering/store_revision.hpp"
#include "nutmegturn/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace nutmegturn::steering
{
	/// Time for which the store may hold a watch without a change, the longest that it allows. A watch whose answer was
	/// lost is found out by confirmations.
	inline constexpr std::chrono::milliseconds watch_wait{30'000};

	/// Shortest time for which the store may hold a watch.
	inline constexpr std::chrono::milliseconds min_watch_wait{1};

	/// Timeout of a call, in addition to the time for which the store may hold it.
	inline constexpr std::chrono::milliseconds call_timeout{1'200};

	/// \name Delay of the next watch after a change, so that changes in quick succession are read in one call
	/// @{

	/// For balancers, which place flows. A sixth of the shortest time within which a change must take effect.
	inline constexpr std::chrono::milliseconds balancer_coalescing_delay{500};

	/// For balancers, while minor changes follow one another. Two thirds of the shortest time within which a change
	/// must take effect.
	inline constexpr std::chrono::milliseconds balancer_minor_change_delay{2'000};

	/// For agents, which only check the decisions of balancers.
	inline constexpr std::chrono::milliseconds agent_coalescing_delay{1'000};

	/// For agents that do not know their upstream's entry yet. Well below the time for which callers wait for a
	/// response.
	inline constexpr std::chrono::milliseconds identification_coalescing_delay{200};
	/// @}

	/// The changes in an answer are minor if they are fewer than one in this many of the group's records.
	inline constexpr std::size_t minor_change_divisor = 16;

	/// Size of an answer to a watch.
	struct watch_changes
	{
		std::size_t changed = 0; ///< Records in the answer.
		std::size_t known = 0;   ///< Records of the group.
	};

	/// Part of a group that a process watches.
	struct watch_scope
	{
		std::string key; ///< The only watched key; empty for the whole group.
		std::chrono::milliseconds coalescing_delay = balancer_coalescing_delay;
	};

	/// State of following one group of keys of the metadata store: a full listing, then watches from its revision.
	struct store_follower
	{
		enum class step : std::uint8_t
		{
			list,
			watch
		};

		step next = step::list;
		std::chrono::milliseconds coalescing_delay = balancer_coalescing_delay;
		std::chrono::milliseconds minor_change_delay{0}; ///< Replaces a shorter `coalescing_delay` after minor changes.
		std::string last_key;                            ///< Last key of the previous page; empty for the first page.
		std::set<std::string> listed_keys;               ///< Keys in the listing so far.
		std::optional<std::uint64_t> era;                ///< Era of the answers so far.
		store_revision revision;                         ///< All changes up to this revision are known.
		store_revision first_page_revision; ///< Revision of the first page; the pages are not a consistent snapshot.
		std::optional<store_revision> first_listing; ///< Revision of the first complete listing.
		bool listed_once = false;                    ///< A complete listing has been read.
		bool unreachable = false;                    ///< The last call failed.
		std::uint32_t failures = 0;                  ///< Consecutive failed calls.
		monotonic_time last_answer;                  ///< When the last complete answer arrived.
		monotonic_time last_change_at{};             ///< When the last answer with changes arrived, or zero.
		monotonic_time recovered_at;                 ///< When the store first answered after a failure.
		monotonic_time next_call_at;                 ///< Earliest time of the next call.
		monotonic_time newer_known_since{}; ///< When another process was found to know a newer revision, or zero.
	};

	/// How long after an outage the store's contents may still be incomplete, since entries have yet to be renewed.
	inline constexpr std::chrono::milliseconds settling_time{2'500};

	/// Records a complete page of a listing.
	/// \param last_key	Last key of the page.
	/// \param more		Whether another page follows.
	/// \returns		Whether the listing is complete.
	bool record_listing_page(store_follower& follower, store_revision revision, const std::string& last_key, bool more,
							 monotonic_time now);

	/// Records a complete answer to a watch, and schedules the next one.
	///
	/// Load pattern: among hundreds of upstreams one starts, drains or leaves at nearly any moment. A watch with a
	/// short delay then wakes every process for each of these changes, at the rate that the delay allows. A process
	/// learns the first change after a pause at once; while minor ones follow, it reads them less often.
	void record_watch_answer(store_follower& follower, store_revision revision, watch_changes changes,
							 monotonic_time now);

	/// Returns whether an answer comes from a store that has been restored from an older copy since the last answer. A
	/// watch then does not continue from the known revision, which may have been given out again.
	[[nodiscard]] bool is_restored(const store_follower& follower, std::uint64_t era) noexcept;

	/// Returns whether an answer is of an era that is over.
	[[nodiscard]] bool is_former_era(const store_follower& follower, std::uint64_t era) noexcept;

	/// Continues with a listing of the restored store.
	void enter_era(store_follower& follower, std::uint64_t era, monotonic_time now);

	/// Returns the time for which the store may hold the next watch. After a failure it answers at once, so that a
	/// restored store is noticed even if it has given out the known revision again.
	[[nodiscard]] std::chrono::milliseconds next_watch_wait(const store_follower& follower) noexcept;

	/// Continues with a listing at once instead of a watch.
	void list_again(store_follower& follower, monotonic_time now) noexcept;

	/// Records that the store no longer has the history since `revision`, and restarts with a listing.
	void restart_listing(store_follower& follower, monotonic_time now);

	/// Records a failed call and schedules a retry with exponential backoff.
	/// \param jitter	Random value that spreads the retries of many processes.
	void record_failure(store_follower& follower, std::uint64_t jitter, monotonic_time now);

	/// Handles the revision that another process knows while a call is in progress. A store may answer some processes
	/// and not others, and a watch whose answer was lost looks like one without changes.
	/// \returns	Whether the call is to be given up, since a newer revision has been known elsewhere for longer than
	/// a
	///				call takes.
	[[nodiscard]] bool is_answer_overdue(store_follower& follower, store_revision revision,
										 monotonic_time now) noexcept;

	/// Configuration version that another process knows and this one does not.
	struct newer_version
	{
		monotonic_time known_since{}; ///< When a message named a newer version first, or zero.
		std::uint64_t own = 0;        ///< Version of this process at that time.
	};

	/// Handles the configuration version that another process names. A process that starts after the store was restored
	/// reads the copy's configuration until the operator has written the newest one again.
	/// \param own	Version in force in this process.
	/// \returns	Whether the configuration is to be read from the other process, since this one has lacked a newer
	///				version for longer than a call takes.
	[[nodiscard]] bool is_version_overdue(newer_version& newer, std::uint64_t own, std::uint64_t reported,
										  monotonic_time now) noexcept;

	/// Returns whether missing entries may be registered again, because the store is or was recently unreachable.
	[[nodiscard]] bool is_settling(const store_follower& follower, monotonic_time now) noexcept;

	/// Returns whether the store answers and confirmed recently enough that no change was missed.
	/// \param known_as_of	Every change that the store had then is known.
	[[nodiscard]] bool is_current(const store_follower& follower, monotonic_time known_as_of,
								  monotonic_time now) noexcept;
}
