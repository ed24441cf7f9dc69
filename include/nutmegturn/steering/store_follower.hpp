#pragma once

#include "nutmegturn/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace nutmegturn::steering
{
	/// How long the store may hold a watch without a change. Connections that go silent are found by keep-alive probes.
	inline constexpr std::chrono::milliseconds watch_wait{10'000};

	/// Time after which a call without an answer is given up, on top of what the store may wait.
	inline constexpr std::chrono::milliseconds call_timeout{1'200};

	/// \name Pause after a change before the next watch, so that changes in quick succession share a call
	/// @{

	/// For processes that place flows. A sixth of the shortest time in which a change must be in force.
	inline constexpr std::chrono::milliseconds balancer_coalescing_delay{500};

	/// For agents, which only check what balancers have decided.
	inline constexpr std::chrono::milliseconds agent_coalescing_delay{1'000};

	/// For agents that do not know their upstream's entry yet. Well below the time that callers wait for an answer.
	inline constexpr std::chrono::milliseconds identification_coalescing_delay{200};
	/// @}

	/// Part of a group that a process follows.
	struct watch_scope
	{
		std::string key; ///< Only this key; the whole group when empty.
		std::chrono::milliseconds coalescing_delay = balancer_coalescing_delay;
	};

	/// Follows one group of keys of the metadata store: a full listing, then watches from its revision.
	struct store_follower
	{
		/// What the next call is.
		enum class step : std::uint8_t
		{
			list,
			watch
		};

		step next = step::list;
		std::chrono::milliseconds coalescing_delay = balancer_coalescing_delay;
		std::string last_key;                  ///< Last key of the page before; empty for the first page.
		std::set<std::string> listed_keys;     ///< Keys of the listing so far.
		std::uint64_t revision = 0;            ///< Everything up to this revision is known.
		std::uint64_t first_page_revision = 0; ///< Revision of the first page; pages are no snapshot.
		bool listed_once = false;              ///< One whole listing has been read.
		bool unreachable = false;              ///< The last call failed.
		std::uint32_t failures = 0;            ///< In a row.
		monotonic_time last_answer;            ///< Last complete answer.
		monotonic_time recovered_at;           ///< When the store answered again after a failure.
		monotonic_time next_call_at;           ///< Earliest time of the next call.
	};

	/// How long after its return the store's contents are still settling.
	inline constexpr std::chrono::milliseconds settling_time{2'500};

	/// Notes a complete page of a listing.
	/// \param last_key	Last key of the page.
	/// \param more		Whether another page follows.
	/// \returns		Whether the listing is complete.
	bool note_listing(store_follower& it, std::uint64_t revision, const std::string& last_key, bool more,
					  monotonic_time now);

	/// Notes a complete answer of a watch.
	/// \param changed	Whether it had changes.
	void note_watch(store_follower& it, std::uint64_t revision, bool changed, monotonic_time now);

	/// Notes that the store no longer has the history since `revision`.
	void note_history_gone(store_follower& it, monotonic_time now);

	/// Notes a failed call.
	/// \param jitter	Random value that spreads the next attempts of many processes.
	void note_failure(store_follower& it, std::uint64_t jitter, monotonic_time now);

	/// Returns whether entries that are missing may come back, because the store was out of reach shortly before.
	[[nodiscard]] bool is_settling(const store_follower& it, monotonic_time now) noexcept;

	/// Returns whether the store has answered recently enough to trust that nothing changed unnoticed.
	[[nodiscard]] bool is_current(const store_follower& it, monotonic_time now) noexcept;
}
