#include "nutmegturn/steering/admission_order.hpp"

#include "rapidcheck_seeded.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace nutmegturn::steering
{
	namespace
	{
		using namespace std::chrono_literals;

		constexpr std::uint32_t slots = 3;
		constexpr milliseconds mean_slot_time{43};
		constexpr monotonic_time start{std::chrono::hours{1}};

		[[nodiscard]] std::size_t choose(const admission_usage& usage,
										 const std::vector<admission_candidate>& candidates, monotonic_time now,
										 arrival_order order = arrival_order::newest_first)
		{
			return choose_next(usage, candidates, slots, order, now);
		}

		/// Requests of one kind of caller.
		struct stream
		{
			std::uint8_t priority = 0;
			std::uint32_t zone = 0;
			std::uint32_t caller = 0; ///< The first of `callers`.
			double per_s = 0;
			std::uint32_t callers = 1; ///< Each request comes from any one of them.
		};

		/// Upstream whose waiting requests are ordered by `choose_next`, in virtual time.
		struct simulated_upstream
		{
			/// Requests are dropped that wait for as long as an opening packet may.
			static constexpr milliseconds max_wait{400};

			admission_usage usage;
			std::vector<admission_candidate> waiting;
			std::map<std::pair<std::uint8_t, std::uint32_t>, int> offered; ///< By priority and caller.
			std::map<std::pair<std::uint8_t, std::uint32_t>, int> served;  ///< By priority and caller.
			std::mt19937_64 random;

			/// Receives requests at the given rates.
			/// \param warm_up	Time at the start that is not counted.
			void run(const std::vector<stream>& streams, milliseconds duration, milliseconds warm_up)
			{
				std::vector<monotonic_time> busy_until(slots, start);
				for (auto now = start; now < start + duration; now += 1ms)
				{
					const bool counted = now >= start + warm_up;
					arrive(streams, now, counted);
					for (auto& slot : busy_until)
					{
						if (slot <= now && !waiting.empty())
						{
							slot = now + serve(now, counted);
						}
					}
				}
			}

			/// Returns the share of a caller's requests that were served.
			[[nodiscard]] double served_share(std::uint8_t priority, std::uint32_t caller) const
			{
				const std::pair key{priority, caller};
				const auto found = served.find(key);
				return found == served.end() ? 0.0 : 1.0 * found->second / offered.at(key);
			}

			/// Returns the share of all served requests that had a priority.
			[[nodiscard]] double class_share(std::uint8_t priority) const
			{
				double all = 0;
				double of_class = 0;
				for (const auto& [key, n] : served)
				{
					all += n;
					of_class += key.first == priority ? n : 0;
				}
				return of_class / all;
			}

		private:
			void arrive(const std::vector<stream>& streams, monotonic_time now, bool counted)
			{
				std::erase_if(waiting, [now](const auto& it) { return now - it.since > max_wait; });
				for (const auto& it : streams)
				{
					for (int n = std::poisson_distribution<int>{it.per_s / 1'000}(random); n > 0; --n)
					{
						const auto caller = it.caller + static_cast<std::uint32_t>(random() % it.callers);
						waiting.push_back(
							{.priority = it.priority, .zone = it.zone, .caller = ipv4{caller}, .since = now});
						offered[{it.priority, caller}] += counted ? 1 : 0;
					}
				}
			}

			milliseconds serve(monotonic_time now, bool counted)
			{
				const auto chosen = choose(usage, waiting, now);
				const auto next = waiting[chosen];
				waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(chosen));
				const milliseconds taken{std::uniform_int_distribution<int>{20, 66}(random)};
				record_admission(usage, next, mean_slot_time, now);
				served[{next.priority, static_cast<std::uint32_t>(next.caller)}] += counted ? 1 : 0;
				return taken;
			}
		};

		/// Requests a second that the simulated upstream serves at most.
		constexpr double capacity_per_s = slots * 1'000.0 / mean_slot_time.count();

		// Guards against serving the lowest class first after a start or a long pause, when 10% of nothing is compared.
		TEST(admission_order, takes_the_most_urgent_class_first_without_recent_use)
		{
			const std::vector<admission_candidate> candidates{{.priority = 255, .since = start},
															  {.priority = 1, .since = start - 5ms},
															  {.priority = 4, .since = start + 1ms}};
			admission_usage usage;
			EXPECT_EQ(choose(usage, candidates, start), 1U);
			record_admission(usage, candidates[1], 40ms, start);
			for (const auto pause : {60s, 3'600s, 86'400s * 365})
			{
				EXPECT_EQ(choose(usage, candidates, start + pause), 1U);
			}
		}

		// Guards against a fault on unknown costs and slots, and on a clock reading before the last one.
		TEST(admission_order, accepts_zero_costs_zero_slots_and_earlier_times)
		{
			const std::vector<admission_candidate> candidates{{.priority = 0, .caller = ipv4{1}, .since = start},
															  {.priority = 0, .caller = ipv4{2}, .since = start}};
			admission_usage usage;
			record_admission(usage, candidates[0], 0ms, start);
			record_admission(usage, candidates[1], -5ms, start - 1s);
			EXPECT_EQ(choose_next(usage, candidates, 0, arrival_order::oldest_first, start - 2s), 0U);
			EXPECT_EQ(choose_next(usage, std::span{candidates}.first(1), 0, arrival_order::newest_first, {}), 0U);
		}

		// Guards against serving equal callers in another order than that of arrival.
		TEST(admission_order, takes_equal_callers_by_arrival)
		{
			admission_usage usage;
			std::vector<admission_candidate> candidates;
			for (std::uint32_t i = 0; i < 20; ++i)
			{
				candidates.push_back(
					{.priority = 7, .zone = i % 3, .caller = ipv4{i}, .since = start + milliseconds{(i * 7 + 3) % 20}});
				record_admission(usage, candidates.back(), mean_slot_time, start);
			}
			const auto now = start + 20ms;
			const auto oldest = std::ranges::min_element(candidates, {}, &admission_candidate::since);
			const auto newest = std::ranges::max_element(candidates, {}, &admission_candidate::since);
			EXPECT_EQ(choose(usage, candidates, now, arrival_order::oldest_first), oldest - candidates.begin());
			EXPECT_EQ(choose(usage, candidates, now, arrival_order::newest_first), newest - candidates.begin());
		}

		// Guards against treating one request more than the others have as unfair use.
		TEST(admission_order, ignores_small_differences_between_callers)
		{
			admission_usage usage;
			const admission_candidate often{.priority = 1, .caller = ipv4{1}, .since = start + 2ms};
			const admission_candidate seldom{.priority = 1, .caller = ipv4{2}, .since = start + 1ms};
			record_admission(usage, often, mean_slot_time, start);
			record_admission(usage, often, mean_slot_time, start);
			record_admission(usage, seldom, mean_slot_time, start);
			EXPECT_EQ(choose(usage, {seldom, often}, start + 2ms), 1U);
			record_admission(usage, often, mean_slot_time, start);
			record_admission(usage, often, mean_slot_time, start);
			EXPECT_EQ(choose(usage, {seldom, often}, start + 2ms), 0U);
			EXPECT_EQ(choose(usage, {seldom, often}, start + 60s), 1U) << "the use is forgotten";
		}

		// Guards against starvation of any class while more urgent ones demand all slots, and against giving the others
		// more than their share.
		TEST(admission_order, starves_no_class_and_keeps_the_rest_for_the_most_urgent)
		{
			expect_property(1, 40,
							[]
							{
								const auto drawn = *rc::gen::container<std::vector<std::uint8_t>>(
									*rc::gen::inRange(2, 6), rc::gen::arbitrary<std::uint8_t>());
								const std::set<std::uint8_t> priorities{drawn.begin(), drawn.end()};
								RC_PRE(priorities.size() >= 2);
								std::vector<stream> streams;
								for (const auto priority : priorities)
								{
									const double load = *rc::gen::inRange(130, 400) / 100.0;
									streams.push_back({.priority = priority, .per_s = load * capacity_per_s});
								}
								simulated_upstream upstream;
								upstream.run(streams, 30s, 2s);
								const double part = lowest_class_share / (priorities.size() - 1.0);
								RC_ASSERT(upstream.class_share(*priorities.begin()) > 1 - lowest_class_share - 0.03);
								for (auto it = std::next(priorities.begin()); it != priorities.end(); ++it)
								{
									RC_ASSERT(upstream.class_share(*it) > 0.8 * part);
								}
							});
		}

		// Guards against losing urgent requests to a flood of less urgent ones.
		TEST(admission_order, serves_all_of_an_urgent_class_during_a_flood)
		{
			simulated_upstream upstream;
			upstream.run({{.priority = 1, .per_s = 0.6 * capacity_per_s},
						  {.priority = 5, .per_s = 0.3 * capacity_per_s},
						  {.priority = 9, .per_s = 2.4 * capacity_per_s}},
						 30s, 0s);
			EXPECT_GT(upstream.served_share(1, 0), 0.99);
			EXPECT_GT(upstream.served_share(5, 0), 0.8);
		}

		/// Checks that one caller that sends ten times as much as each of the others does not take their slots.
		/// \param zones	Whether each caller is in a zone of its own, and a zone's callers are many.
		void check_pressing_caller(bool zones)
		{
			const auto n = *rc::gen::inRange<std::uint32_t>(2, 20);
			const double load = *rc::gen::inRange(30, 60) / 100.0;
			std::vector<stream> streams;
			for (std::uint32_t i = 0; i < n; ++i)
			{
				// The callers together stay below the capacity without the pressing one's excess.
				const double rate = (i == 0 ? 10 : 1) * load * capacity_per_s / n;
				constexpr std::uint32_t callers_per_zone = 30;
				streams.push_back({.priority = 3,
								   .zone = zones ? i : 0,
								   .caller = i * 100,
								   .per_s = rate,
								   .callers = zones ? callers_per_zone : 1});
			}
			simulated_upstream upstream;
			upstream.run(streams, 40s, 3s);
			double offered = 0;
			double served = 0;
			for (const auto& [key, count] : upstream.offered)
			{
				if (key.second >= 100)
				{
					offered += count;
					served += upstream.served[key];
				}
			}
			RC_ASSERT(served / offered > 0.97);
		}

		// Guards against a caller that pushes out the others of its class by sending ten times as much, also if there
		// is only one other.
		TEST(admission_order, protects_callers_from_one_that_sends_ten_times_as_much)
		{
			expect_property(2, 40, [] { check_pressing_caller(false); });
		}

		// Guards against a zone whose callers push out those of the other zones, none of them by much on its own.
		TEST(admission_order, protects_zones_from_one_that_sends_ten_times_as_much)
		{
			expect_property(3, 40, [] { check_pressing_caller(true); });
		}

		// Guards against leaving slots unused for fairness, and against shutting out a caller for its former use.
		TEST(admission_order, serves_a_pressing_caller_while_no_other_waits)
		{
			admission_usage usage;
			const admission_candidate pressing{.priority = 3, .caller = ipv4{1}, .since = start};
			for (int i = 0; i < 100; ++i)
			{
				record_admission(usage, pressing, mean_slot_time, start);
			}
			EXPECT_EQ(choose(usage, {pressing}, start), 0U);
		}

		// Guards against ledgers that grow with the number of callers, and against counts that differ from the entries,
		// which would distort the fair share.
		TEST(admission_order, keeps_its_ledgers_bounded_and_consistent)
		{
			expect_property(4, 30,
							[]
							{
								admission_usage usage;
								std::mt19937_64 random{*rc::gen::arbitrary<std::uint64_t>()};
								const auto keys = *rc::gen::inRange<std::uint32_t>(1, 5'000);
								auto now = start;
								for (int i = 0; i < 4'000; ++i)
								{
									now += milliseconds{random() % 2'000 == 0 ? 30'000 : random() % 10};
									const admission_candidate admitted{.priority =
																		   static_cast<std::uint8_t>(random() % 3),
																	   .zone = static_cast<std::uint32_t>(random()),
																	   .caller = ipv4(random() % keys),
																	   .since = now};
									record_admission(usage, admitted, milliseconds{random() % 300}, now);
								}
								for (const auto* ledger : {&usage.zones, &usage.callers})
								{
									RC_ASSERT(ledger->entries.size() <= max_ledger_keys);
									std::size_t counted = 0;
									for (const auto& it : ledger->totals)
									{
										counted += it.keys;
										RC_ASSERT(it.use.amount >= 0);
									}
									RC_ASSERT(counted == ledger->entries.size());
								}
							});
		}
	}
}
