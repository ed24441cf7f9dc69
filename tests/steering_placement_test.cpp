#include "placement_simulation.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <cstdio>

namespace nutmegturn::steering::testing
{
	namespace
	{
		/// Bounds from docs/design/request_cost.md.
		constexpr double max_excess = 1.15;
		constexpr double max_share_of_counting = 0.8;

		cost_ms exponential_cost(std::mt19937_64& random, ipv4_endpoint& /*route*/)
		{
			return cost_ms{std::exponential_distribution<double>{1.0 / 40.0}(random)};
		}

		/// Returns a cost from 15 ms to 1,500 ms with a Pareto distribution of shape 1.5; the mean is 40.5 ms.
		cost_ms heavy_tailed_cost(std::mt19937_64& random, ipv4_endpoint& /*route*/)
		{
			constexpr double shape = 1.5;
			const double share = std::uniform_real_distribution<double>{0.0, 1.0}(random);
			return cost_ms{15.0 / std::pow(1 - share * (1 - std::pow(0.01, shape)), 1 / shape)};
		}

		/// Returns a cost with a mean of 210.5 ms on one route, for a tenth of the requests, and of 21.05 ms on
		/// another.
		cost_ms cost_of_two_routes(std::mt19937_64& random, ipv4_endpoint& route)
		{
			const bool expensive = random() % 10 == 0;
			route.port = expensive ? 444 : 443;
			return cost_ms{std::exponential_distribution<double>{1.0 / (expensive ? 210.5 : 21.05)}(random)};
		}

		/// Load of 80% on 38 upstreams with 3 slots, from 20 balancers.
		placement_load load_with(std::function<cost_ms(std::mt19937_64&, ipv4_endpoint&)> draw_cost)
		{
			placement_load load;
			load.balancers = 20;
			load.draw_cost = std::move(draw_cost);
			return load;
		}

		struct comparison
		{
			placement_result by_cost;
			placement_result by_count;
			placement_result reference;
		};

		/// Runs a load with each rule, and prints the response times.
		comparison compare(const placement_load& load, std::uint64_t seed)
		{
			comparison results{.by_cost = placement_simulation{load, placement_rule::by_cost, seed}.run(),
							   .by_count = placement_simulation{load, placement_rule::by_count, seed}.run(),
							   .reference = placement_simulation{load, placement_rule::known_costs, seed}.run()};
			std::printf("seed %d: mean %.1f, by count %.1f, known costs %.1f ms; 99th percentile %.0f, %.0f, %.0f ms\n",
						static_cast<int>(seed), results.by_cost.mean(), results.by_count.mean(),
						results.reference.mean(), results.by_cost.percentile_99(), results.by_count.percentile_99(),
						results.reference.percentile_99());
			return results;
		}

		// Load: heavy-tailed costs, 20 balancers. Guards against balancers that send their flows to the same
		// upstreams, and against upstreams whose expensive requests are counted like cheap ones.
		TEST(steering_placement, is_within_15_percent_of_known_costs_with_heavy_tails)
		{
			for (std::uint64_t seed = 1; seed <= 3; ++seed)
			{
				const auto results = compare(load_with(heavy_tailed_cost), seed);
				EXPECT_LE(results.by_cost.mean(), max_excess * results.reference.mean());
				EXPECT_LE(results.by_cost.percentile_99(), max_excess * results.reference.percentile_99());
			}
		}

		// Load: heavy-tailed costs, 20 balancers. Guards against a loss of the advantage over counting requests.
		TEST(steering_placement, has_response_times_20_percent_below_counting_with_heavy_tails)
		{
			auto load = load_with(heavy_tailed_cost);
			// The 99th percentile of 15 s, with about 250 requests above it, varies by 3% with the seed.
			load.length = 60s;
			for (std::uint64_t seed = 1; seed <= 3; ++seed)
			{
				const auto results = compare(load, seed);
				EXPECT_LE(results.by_cost.mean(), max_share_of_counting * results.by_count.mean());
				EXPECT_LE(results.by_cost.percentile_99(), max_share_of_counting * results.by_count.percentile_99());
			}
		}

		// Load: heavy-tailed costs, one balancer. Guards against a correction for other balancers that do not exist.
		TEST(steering_placement, is_within_15_percent_of_known_costs_with_one_balancer)
		{
			auto load = load_with(heavy_tailed_cost);
			load.balancers = 1;
			const auto results = compare(load, 1);
			EXPECT_LE(results.by_cost.mean(), max_excess * results.reference.mean());
			EXPECT_LE(results.by_cost.percentile_99(), max_excess * results.reference.percentile_99());
		}

		// Load: two routes with a cost ratio of ten to one. Guards against requests of both that weigh the same.
		TEST(steering_placement, is_within_15_percent_of_known_costs_with_two_routes)
		{
			const auto results = compare(load_with(cost_of_two_routes), 1);
			EXPECT_LE(results.by_cost.mean(), max_excess * results.reference.mean());
			EXPECT_LE(results.by_cost.percentile_99(), max_excess * results.reference.percentile_99());
			EXPECT_LE(results.by_cost.mean(), max_share_of_counting * results.by_count.mean());
		}

		// Load: 8 of 38 upstreams at a third of the speed. Guards against flows to slow upstreams while fast ones have
		// free slots, and against slow ones that get no flows at all.
		TEST(steering_placement, gives_fewer_flows_to_slow_upstreams)
		{
			auto load = load_with(exponential_cost);
			load.speed = [](std::uint32_t upstream, monotonic_time) { return upstream < 8 ? 1 / 3.0 : 1.0; };
			load.mean_cost = load.mean_cost * 38 / (30 + 8 / 3.0);
			const auto results = compare(load, 1);
			EXPECT_LE(results.by_cost.mean(), max_share_of_counting * results.by_count.mean());
			EXPECT_LE(results.by_cost.percentile_99(), max_share_of_counting * results.by_count.percentile_99());
			EXPECT_LT(results.by_cost.relative_flows(0, 3, 15), 0.5);
			EXPECT_GT(results.by_cost.relative_flows(0, 3, 15), 0.0);
		}

		// Load: 4 of 38 upstreams are 4.7 times as slow for 3 s while all are at 80%. Guards against flows that go on
		// to pile up there, and against upstreams that stay avoided after they have recovered.
		TEST(steering_placement, follows_upstreams_that_become_slow_and_recover)
		{
			auto load = load_with(exponential_cost);
			load.length = 20s;
			load.speed = [](std::uint32_t upstream, monotonic_time at)
			{ return upstream < 4 && at - start >= 6s && at - start < 9s ? 1 / 4.7 : 1.0; };
			const auto results = compare(load, 1);
			EXPECT_LE(results.by_cost.mean(), max_share_of_counting * results.by_count.mean());
			EXPECT_LE(results.by_cost.percentile_99(), max_share_of_counting * results.by_count.percentile_99());
			EXPECT_LT(results.by_cost.relative_flows(0, 7, 9), 0.5);
			EXPECT_GT(results.by_cost.relative_flows(0, 11, 20), 0.8);
		}

		// Load: one upstream in cold start, 1.6 times as slow as the others. Guards against a cold upstream that gets
		// as many flows as the others, or none.
		TEST(steering_placement, gives_fewer_flows_to_cold_upstream)
		{
			auto load = load_with(exponential_cost);
			load.cold = {0};
			load.speed = [](std::uint32_t upstream, monotonic_time) { return upstream == 0 ? 1 / 1.6 : 1.0; };
			const auto result = placement_simulation{load, placement_rule::by_cost, 1}.run();
			EXPECT_LT(result.relative_flows(0, 3, 15), 0.75);
			EXPECT_GT(result.relative_flows(0, 3, 15), 0.1);
		}

		// Load: heavy-tailed costs; agents report every 500 ms only. Guards against balancers that all choose the
		// upstreams that were idle half a second ago.
		TEST(steering_placement, is_better_than_counting_with_reports_that_are_500_ms_old)
		{
			auto load = load_with(heavy_tailed_cost);
			load.report_interval = 500ms;
			const auto results = compare(load, 1);
			EXPECT_LE(results.by_cost.mean(), max_share_of_counting * results.by_count.mean());
		}

		// Load: one agent reports that its upstream is extremely slow, or idle and extremely fast. Guards against a
		// false report that changes how the other upstreams compare.
		TEST(steering_placement, is_affected_little_by_a_false_report)
		{
			auto load = load_with(exponential_cost);
			const auto truthful = placement_simulation{load, placement_rule::by_cost, 1}.run();
			for (const bool slow : {true, false})
			{
				load.falsify = [slow](std::uint32_t upstream, work_report& report)
				{
					if (upstream == 0)
					{
						report = {.outstanding = slow ? 4'000'000s : 0s, .mean_cost = slow ? 65'535ms : 1ms};
					}
				};
				const auto result = placement_simulation{load, placement_rule::by_cost, 1}.run();
				std::printf("false report: mean %.1f, truthful %.1f ms; flows %.2f of the mean\n", result.mean(),
							truthful.mean(), result.relative_flows(0, 3, 15));
				EXPECT_LE(result.mean(), max_excess * truthful.mean());
			}
		}
	}
}
