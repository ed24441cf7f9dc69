#include "nutmegturn/steering/upstream_choice.hpp"

#include "steering_world.hpp"

#include <gtest/gtest.h>

#include <set>

namespace nutmegturn::steering::testing
{
	namespace
	{
		class steering_upstream_choice : public ::testing::Test
		{
		protected:
			catalog known;
			load_table loads;
			monotonic_time now = start + 10s;

			/// Adds an idle upstream whose requests take 40 ms.
			void add(std::uint32_t number, const std::string& zone = "a")
			{
				put(known, "u" + std::to_string(1'000 + number), entry(number, "desk", zone), start);
				auto& load = loads[instance(number)];
				load.report.admission = admission_status::accepting;
				load.work = {.outstanding = 0ms, .mean_cost = 40ms, .cost_deviation = 10ms};
				hear(number, now);
			}

			void hear(std::uint32_t number, monotonic_time at)
			{
				loads[instance(number)].reported_at = at;
				loads[instance(number)].work_reported_at = at;
			}

			[[nodiscard]] const known_upstream* choose(std::uint64_t hash, std::span<const ipv4> excluded = {},
													   std::uint8_t priority = 0) const
			{
				return choose_upstream(known, "desk", loads, "a", excluded, hash, priority,
									   placement_policy::request_cost, now);
			}

			/// Returns the upstreams that 200 flows without effect on the load would get.
			[[nodiscard]] std::set<ipv4> chosen(std::uint8_t priority = 0) const
			{
				std::set<ipv4> all;
				for (std::uint64_t hash = 0; hash < 200; ++hash)
				{
					all.insert(choose(hash, {}, priority)->entry.address.ip);
				}
				return all;
			}
		};

		// Guards against an upstream that gets flows for its low count although its requests are expensive.
		TEST_F(steering_upstream_choice, compares_outstanding_work)
		{
			add(1);
			add(2);
			for (const std::uint32_t number : {1U, 2U})
			{
				loads[instance(number)].report.requests_in_progress = number == 1 ? 6 : 9;
				loads[instance(number)].work->outstanding = number == 1 ? 1'500ms : 300ms;
			}
			EXPECT_EQ(chosen(), std::set{instance(2)});
			loads[instance(1)].work.reset();
			loads[instance(2)].work.reset();
			EXPECT_EQ(chosen(), std::set{instance(1)}) << "without work reports, the count decides";
		}

		// Guards against flows to a slow upstream while others are idle, against a speed that is believed forever, and
		// against a difference within the uncertainty that keeps flows away.
		TEST_F(steering_upstream_choice, avoids_upstream_that_is_slow_beyond_uncertainty)
		{
			add(1);
			add(2);
			add(3);
			loads[instance(1)].work->mean_cost = 120ms;
			EXPECT_EQ(chosen(), (std::set{instance(2), instance(3)}));
			hear(1, now - 1'501ms);
			EXPECT_EQ(chosen().size(), 3U);
			hear(1, now);
			loads[instance(1)].work = {.outstanding = 0ms, .mean_cost = 44ms, .cost_deviation = 20ms};
			EXPECT_EQ(chosen().size(), 3U);
		}

		// Guards against flows that wait at an agent behind flows of higher priority.
		TEST_F(steering_upstream_choice, adds_the_wait_of_opening_packets_of_the_priority)
		{
			add(1);
			add(2);
			loads[instance(1)].work->waiting_priority = 2;
			loads[instance(1)].work->opening_wait = 200ms;
			EXPECT_EQ(chosen(1).size(), 2U);
			EXPECT_EQ(chosen(2), std::set{instance(2)});
			EXPECT_EQ(chosen(3), std::set{instance(2)});
		}

		// Guards against a balancer that forgets its own flows when a reply without a work report arrives, and sends
		// all of its flows to one upstream.
		TEST_F(steering_upstream_choice, counts_own_flows_since_the_work_report)
		{
			add(1);
			add(2);
			for (int i = 0; i < 10; ++i)
			{
				record_placement(loads[instance(1)], now);
			}
			loads[instance(1)].flows_since_report = 0;
			loads[instance(1)].report.requests_in_progress = 10;
			loads[instance(1)].reported_at = now + 1ms;
			now += 2ms;
			EXPECT_EQ(chosen(), std::set{instance(2)});
			loads[instance(1)].report.requests_in_progress = 0;
			hear(1, now);
			EXPECT_EQ(chosen().size(), 2U) << "a newer work report includes them";
		}

		// Guards against a decision whose cost grows with the service, and against a sample without the balancer's zone
		// when that has few of the upstreams.
		TEST_F(steering_upstream_choice, samples_large_service_and_prefers_own_zone)
		{
			for (std::uint32_t number = 0; number < 1'000; ++number)
			{
				add(number, number < 10 ? "a" : "b");
			}
			for (const auto ip : chosen())
			{
				EXPECT_LT(ip, instance(10));
			}
			for (std::uint32_t number = 0; number < 10; ++number)
			{
				loads[instance(number)].work->outstanding = 400ms;
				loads[instance(number)].report.requests_in_progress = 10;
			}
			EXPECT_GT(chosen().size(), 100U) << "spills over to many upstreams of the other zone";
			put(known, "u1000", entry(0, "desk", "b"), now);
			const auto& by_zone = known.by_service_zone.at("desk");
			EXPECT_EQ(by_zone.at("a").size(), 9U) << "an upstream that changes its zone leaves the index of the former";
			EXPECT_EQ(by_zone.at("b").size(), 991U);
		}

		// Guards against flows that are reset because a sample has no upstream that accepts them, and against one that
		// is sent to a draining upstream for the same reason.
		TEST_F(steering_upstream_choice, finds_the_only_upstream_that_accepts_flows)
		{
			std::vector<ipv4> excluded;
			for (std::uint32_t number = 0; number < 200; ++number)
			{
				add(number, "b");
				excluded.push_back(instance(number));
			}
			EXPECT_EQ(choose(1, excluded), nullptr);
			excluded.erase(excluded.begin() + 150);
			ASSERT_NE(choose(1, excluded), nullptr);
			EXPECT_EQ(choose(1, excluded)->entry.address.ip, instance(150));
			for (std::uint32_t number = 0; number < 200; ++number)
			{
				loads[instance(number)].report.admission =
					number % 10 == 0 ? admission_status::accepting : admission_status::draining;
			}
			for (const auto ip : chosen())
			{
				EXPECT_EQ((static_cast<std::uint32_t>(ip) - static_cast<std::uint32_t>(instance(0))) % 10, 0U);
			}
		}
	}
}
