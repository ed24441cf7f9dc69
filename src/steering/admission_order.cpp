#include "nutmegturn/steering/admission_order.hpp"

#include <algorithm>
#include <bitset>
#include <cmath>
#include <numbers>

namespace nutmegturn::steering
{
	namespace
	{
		using half_life = std::chrono::duration<double>;
		using waiting_classes = std::bitset<lowest_priority + 1>;

		/// A zone or caller is above its fair share if it used more than this multiple of it.
		constexpr double share_tolerance = 2;

		/// Mean requests by which a zone or caller exceeds its fair share at least when it is above it. One request
		/// more than the others is within the variation of equal callers.
		constexpr double excess_requests = 2;

		/// Part of the slots' capacity below which the recent use is too small to compare classes: a remainder of use
		/// from seconds ago would let the lowest class go first after a pause.
		constexpr double least_compared_use = 0.01;

		constexpr milliseconds least_slot_time{1};

		[[nodiscard]] double value_of(const decaying_sum& sum, half_life half, monotonic_time now) noexcept
		{
			const auto elapsed = std::max(half_life{now - sum.at}, half_life::zero());
			return sum.amount == 0 ? 0 : sum.amount * std::exp2(-elapsed / half);
		}

		/// Adds to a sum; the result is never negative, as rounding may leave less than is subtracted.
		void add(decaying_sum& sum, double amount, half_life half, monotonic_time now) noexcept
		{
			sum.amount = std::max(value_of(sum, half, now) + amount, 0.0);
			sum.at = std::max(sum.at, now);
		}

		[[nodiscard]] std::uint64_t key_of(std::uint8_t priority, std::uint32_t id) noexcept
		{
			constexpr unsigned id_bits = 32;
			return std::uint64_t{priority} << id_bits | id;
		}

		[[nodiscard]] std::uint8_t priority_of(std::uint64_t key) noexcept
		{
			constexpr unsigned id_bits = 32;
			return static_cast<std::uint8_t>(key >> id_bits);
		}

		void evict_oldest(usage_ledger& ledger, monotonic_time now)
		{
			const auto& oldest = ledger.entries.front();
			auto& total = ledger.totals[priority_of(oldest.key)];
			add(total.use, -value_of(oldest.use, caller_use_half_life, now), caller_use_half_life, now);
			if (--total.keys == 0)
			{
				total.use = {};
			}
			ledger.entries.pop_front();
		}

		void record_use(usage_ledger& ledger, std::uint8_t priority, std::uint32_t id, double amount,
						monotonic_time now)
		{
			auto& entries = ledger.entries;
			while (!entries.empty() && now - entries.front().use.at > active_time)
			{
				evict_oldest(ledger, now);
			}
			auto& by_key = entries.get<1>();
			auto found = by_key.find(key_of(priority, id));
			if (found == by_key.end())
			{
				if (entries.size() >= max_ledger_keys)
				{
					evict_oldest(ledger, now);
				}
				found = by_key.insert({.key = key_of(priority, id), .use = {}}).first;
				++ledger.totals[priority].keys;
			}
			by_key.modify(found, [&](auto& it) { add(it.use, amount, caller_use_half_life, now); });
			entries.relocate(entries.end(), entries.project<0>(found));
			add(ledger.totals[priority].use, amount, caller_use_half_life, now);
		}

		/// Returns the priority of the class that is served next.
		[[nodiscard]] std::uint8_t choose_class(const admission_usage& usage, const waiting_classes& waiting,
												std::uint8_t most_urgent, std::uint32_t slots,
												monotonic_time now) noexcept
		{
			const auto less_urgent = waiting.count() - 1;
			// Sum of `recent` that one slot reaches while it is always in use.
			constexpr double full_slot_ms = 1'000 / std::numbers::ln2;
			const double capacity = std::max(slots, 1U) * full_slot_ms;
			const double used = value_of(usage.recent, class_use_half_life, now);
			if (less_urgent == 0 || used < least_compared_use * capacity)
			{
				return most_urgent;
			}
			const double part = used * lowest_class_share / static_cast<double>(less_urgent);
			for (std::size_t priority = lowest_priority; priority > most_urgent; --priority)
			{
				if (waiting[priority] && value_of(usage.classes[priority].recent, class_use_half_life, now) < part)
				{
					return static_cast<std::uint8_t>(priority);
				}
			}
			return most_urgent;
		}

		/// Tells which zones or callers of one class used more than their fair share.
		class share_check
		{
		public:
			share_check(const usage_ledger& ledger, std::uint8_t priority, double mean_request, monotonic_time now)
				: entries_{ledger.entries.get<1>()}, priority_{priority}, keys_{ledger.totals[priority].keys},
				  used_{value_of(ledger.totals[priority].use, caller_use_half_life, now)},
				  least_excess_{excess_requests * mean_request}, now_{now}
			{
			}

			/// The fair share is the mean of the others: of two, neither can use more than twice the mean of both.
			[[nodiscard]] bool is_above(std::uint32_t id) const noexcept
			{
				if (keys_ < 2)
				{
					return false;
				}
				const auto found = entries_.find(key_of(priority_, id));
				if (found == entries_.end())
				{
					return false;
				}
				const double own = value_of(found->use, caller_use_half_life, now_);
				const double fair = std::max(used_ - own, 0.0) / (keys_ - 1);
				return own > share_tolerance * fair && own - fair >= least_excess_;
			}

		private:
			const usage_ledger::entry_list::nth_index<1>::type& entries_;
			std::uint8_t priority_;
			std::uint32_t keys_;
			double used_;
			double least_excess_;
			monotonic_time now_;
		};

		[[nodiscard]] double mean_request(const admission_usage::class_use& use, monotonic_time now) noexcept
		{
			const double requests = value_of(use.requests, caller_use_half_life, now);
			return requests > 0 ? value_of(use.slot_time, caller_use_half_life, now) / requests : 0;
		}

		[[nodiscard]] bool precedes(const admission_candidate& a, const admission_candidate& b,
									arrival_order order) noexcept
		{
			return order == arrival_order::oldest_first ? a.since < b.since : a.since > b.since;
		}
	}

	void record_admission(admission_usage& usage, const admission_candidate& admitted, milliseconds slot_time,
						  monotonic_time now)
	{
		const auto amount = static_cast<double>(std::max(slot_time, least_slot_time).count());
		auto& use = usage.classes[admitted.priority];
		add(use.recent, amount, class_use_half_life, now);
		add(use.slot_time, amount, caller_use_half_life, now);
		add(use.requests, 1, caller_use_half_life, now);
		add(usage.recent, amount, class_use_half_life, now);
		record_use(usage.zones, admitted.priority, admitted.zone, amount, now);
		record_use(usage.callers, admitted.priority, static_cast<std::uint32_t>(admitted.caller), amount, now);
	}

	bool is_below_lowest_share(const admission_usage& usage, std::uint8_t priority, monotonic_time now) noexcept
	{
		// Part of what starts is rejected by the upstream or answered too late, so more has to start.
		constexpr double margin = 1.5;
		constexpr double least_counted_use_ms = 1.0;
		const auto own = value_of(usage.classes[priority].recent, class_use_half_life, now);
		const auto part = margin * lowest_class_share * value_of(usage.recent, class_use_half_life, now);
		if (own >= part)
		{
			return false;
		}
		const auto others =
			std::ranges::count_if(usage.classes, [now](const auto& it)
								  { return value_of(it.recent, class_use_half_life, now) >= least_counted_use_ms; });
		return own * static_cast<double>(std::max<std::ptrdiff_t>(others - 1, 1)) < part;
	}

	std::size_t choose_next(const admission_usage& usage, std::span<const admission_candidate> candidates,
							std::uint32_t slots, arrival_order order, monotonic_time now) noexcept
	{
		waiting_classes waiting;
		auto most_urgent = candidates.front().priority;
		for (const auto& it : candidates)
		{
			waiting.set(it.priority);
			most_urgent = std::min(most_urgent, it.priority);
		}
		const auto priority = choose_class(usage, waiting, most_urgent, slots, now);
		const double mean = mean_request(usage.classes[priority], now);
		const share_check zones{usage.zones, priority, mean, now};
		const share_check callers{usage.callers, priority, mean, now};
		std::size_t best = candidates.size();
		unsigned best_rank = 0;
		for (std::size_t i = 0; i < candidates.size(); ++i)
		{
			const auto& it = candidates[i];
			if (it.priority != priority)
			{
				continue;
			}
			const unsigned rank = (zones.is_above(it.zone) ? 2U : 0U) +
								  (callers.is_above(static_cast<std::uint32_t>(it.caller)) ? 1U : 0U);
			if (best == candidates.size() || rank < best_rank ||
				(rank == best_rank && precedes(it, candidates[best], order)))
			{
				best = i;
				best_rank = rank;
			}
		}
		return best;
	}
}
