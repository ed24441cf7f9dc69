#pragma once

#include "nutmegturn/steering/records.hpp"
#include "nutmegturn/time.hpp"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>

namespace nutmegturn::steering
{
	/// Work that waits for a slot of the upstream.
	struct admission_candidate
	{
		std::uint8_t priority = lowest_priority; ///< Of its traffic class.
		std::uint32_t zone = 0;                  ///< Number of the zone of the balancer that sent it; 0 if unknown.
		ipv4 caller{};
		monotonic_time since; ///< Arrival.
	};

	/// Order of work whose class and callers have equal claims.
	enum class arrival_order : std::uint8_t
	{
		oldest_first,
		newest_first ///< In an overload the newest can still be answered in time.
	};

	/// Share of the recent slot time that the waiting classes other than the most urgent one get at least, in total.
	inline constexpr double lowest_class_share = 0.1;

	/// Largest number of zones, and of callers, whose use of slots is remembered.
	inline constexpr std::size_t max_ledger_keys = 1'024;

	/// Time in which the remembered use of a zone or caller decreases by half.
	inline constexpr std::chrono::duration<double> caller_use_half_life{5.0};

	/// Time in which the remembered use of a class decreases by half. Shorter, so that a class is served again soon
	/// after a flood of another one.
	inline constexpr std::chrono::duration<double> class_use_half_life{1.0};

	/// Time after its last admission for which a zone or caller counts as active: its use has decreased to a quarter.
	inline constexpr std::chrono::seconds active_time{10};

	/// Sum that decays exponentially.
	struct decaying_sum
	{
		double amount = 0;
		monotonic_time at; ///< Time for which the amount holds.
	};

	/// Slot time that zones or callers used recently, by class. When full, it evicts the key whose use is oldest.
	struct usage_ledger
	{
		/// Use of one zone or caller in one class.
		struct entry
		{
			std::uint64_t key = 0; ///< Priority and zone or caller.
			decaying_sum use;      ///< Slot time in milliseconds.
		};

		/// Use of all keys of one class.
		struct total
		{
			std::uint32_t keys = 0;
			decaying_sum use; ///< Slot time in milliseconds.
		};

		/// Entries in the order of their last use, the oldest first, and by key.
		using entry_list = boost::multi_index_container<
			entry, boost::multi_index::indexed_by<boost::multi_index::sequenced<>,
												  boost::multi_index::hashed_unique<
													  boost::multi_index::member<entry, std::uint64_t, &entry::key>>>>;

		entry_list entries;
		std::array<total, lowest_priority + 1> totals{}; ///< By priority.
	};

	/// Recent use of an upstream's slots by classes, zones and callers. Not kept across restarts: until work has been
	/// recorded again, the order is by class and arrival.
	struct admission_usage
	{
		/// Use by one class.
		struct class_use
		{
			decaying_sum recent;    ///< Slot time in milliseconds, with `class_use_half_life`.
			decaying_sum slot_time; ///< Slot time in milliseconds, with `caller_use_half_life`.
			decaying_sum requests;  ///< Number of requests, with `caller_use_half_life`.
		};

		std::array<class_use, lowest_priority + 1> classes{}; ///< By priority.
		decaying_sum recent;                                  ///< Sum of `recent` of all classes.
		usage_ledger zones;
		usage_ledger callers;
	};

	/// Records that work starts at the upstream.
	/// \param slot_time	Measured or expected slot time; 1 ms is recorded if it is shorter or unknown.
	/// \param now			Time of the start.
	void record_admission(admission_usage& usage, const admission_candidate& admitted, milliseconds slot_time,
						  monotonic_time now);

	/// Returns whether a class got less than 1.5 times its part of `lowest_class_share` in the slot time of the last
	/// second. The classes with recent use of at least 1 ms, other than one, have equal parts.
	[[nodiscard]] bool is_below_lowest_share(const admission_usage& usage, std::uint8_t priority,
											 monotonic_time now) noexcept;

	/// Chooses what starts next at the upstream:
	///
	/// 1. a class other than the most urgent waiting one, from the lowest on, that got less than its part of
	///    `lowest_class_share`; the waiting classes other than the most urgent one have equal parts;
	/// 2. otherwise the class with the smallest priority number;
	/// 3. in the class, zones and then callers that are not above their fair share go first;
	/// 4. then by arrival; candidates that arrived at the same time are taken in the order of the span.
	///
	/// Linear in the number of candidates, without allocation.
	///
	/// \param candidates	At least one.
	/// \param slots		Slots of the upstream.
	/// \returns			Index in `candidates`.
	[[nodiscard]] std::size_t choose_next(const admission_usage& usage, std::span<const admission_candidate> candidates,
										  std::uint32_t slots, arrival_order order, monotonic_time now) noexcept;
}
