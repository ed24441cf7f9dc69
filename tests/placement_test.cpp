#include "nutmegturn/impl/fixed_log2.hpp"

#include "flow_network.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cstdio>

namespace nutmegturn
{
	namespace
	{
		using namespace std::chrono_literals;
		using test::flow_network;

		constexpr double mean_flow_life_ticks = 300; ///< 30 s at 100 ms.
		constexpr std::size_t flows_per_upstream = 2000;

		/// Returns the largest number of open flows over the mean.
		template <typename Counts>
		double imbalance(const Counts& counts)
		{
			double sum = 0;
			double largest = 0;
			for (const auto n : counts)
			{
				sum += static_cast<double>(n);
				largest = std::max(largest, static_cast<double>(n));
			}
			return largest * static_cast<double>(counts.size()) / sum;
		}

		/// A service whose flows continually end and are replaced.
		struct turnover
		{
			explicit turnover(std::size_t upstreams) : net{7, upstreams, 3}, baselines{{{}, {}}}
			{
				baselines[0].resize(upstreams);
				baselines[1].resize(upstreams);
			}

			flow_network net;
			std::array<std::vector<std::size_t>, 2> baselines; ///< Flows with hash modulo, and with two random choices.
			std::vector<std::size_t> reported; ///< Counts of the two-choices baseline as of the last report.
			std::uint32_t clients = 0;
			double due = 0;

			std::vector<std::size_t> counts() const
			{
				std::vector<std::size_t> n;
				for (const auto& it : net.nodes)
				{
					n.push_back(it.state.flows.size());
				}
				return n;
			}

			void tick()
			{
				const auto n = net.nodes.size();
				reported = net.now.time_since_epoch() % 250ms == 0ms || reported.empty() ? baselines[1] : reported;
				for (due += static_cast<double>(flows_per_upstream * n) / mean_flow_life_ticks; due >= 1; --due)
				{
					net.send(++clients);
					++baselines[0][detail::mix_bits(clients) % n];
					const auto a = net.random.below(n);
					const auto b = net.random.below(n);
					++baselines[1][reported[a] < reported[b] ? a : b];
				}
				for (auto& baseline : baselines)
				{
					for (auto& open : baseline)
					{
						for (auto i = open; i > 0; --i)
						{
							open -= net.random.uniform() < 1 / mean_flow_life_ticks ? 1 : 0;
						}
					}
				}
				action_list actions;
				for (auto& it : net.nodes)
				{
					for (std::uint32_t i = 0; i < it.state.flows.positions(); ++i)
					{
						if (it.state.flows.at(flow_slot{i}).used && net.random.uniform() < 1 / mean_flow_life_ticks)
						{
							agent_release_flow(it.state, flow_slot{i}, reason::none, net.now, actions);
						}
					}
				}
				net.run(100ms);
			}
		};
	}

	// Guards against imbalance in steady state, and after an upstream returns cold: the others keep too many flows, or
	// too many new flows are placed at the returning one at once.
	TEST(open_flows, stay_balanced_while_flows_turn_over)
	{
		for (const std::size_t upstreams : {7U, 4U, 3U})
		{
			turnover run{upstreams};
			double steady = 0;
			std::array<double, 2> baselines{};
			for (int tick = 0; tick < 2400; ++tick)
			{
				run.tick();
				if (tick >= 1800)
				{
					steady = std::max(steady, imbalance(run.counts()));
					baselines[0] = std::max(baselines[0], imbalance(run.baselines[0]));
					baselines[1] = std::max(baselines[1], imbalance(run.baselines[1]));
				}
			}
			std::printf("%zu upstreams, largest over mean: placement %.3f, modulo %.3f, two choices %.3f\n", upstreams,
						steady, baselines[0], baselines[1]);
			EXPECT_LE(steady, 1.05) << upstreams;

			auto& net = run.net;
			net.longest_view_delay = 1s;
			net.restart(0);
			net.records.upstreams[0].state = upstream_admin_state::draining;
			net.publish();
			for (int tick = 0; tick < 600; ++tick)
			{
				run.tick();
			}
			net.records.upstreams[0].state = upstream_admin_state::serving;
			net.publish();
			auto& returning = net.nodes[0].state;
			double largest_rise = 0;
			for (int tick = 0; tick < 900; ++tick)
			{
				returning.run_state = tick < 50    ? upstream_run_state::cold
									  : tick < 150 ? upstream_run_state::warming
												   : upstream_run_state::serving;
				const auto before = returning.counters.admitted;
				run.tick();
				largest_rise = std::max(largest_rise, static_cast<double>(returning.counters.admitted - before));
				if (tick >= 600)
				{
					EXPECT_LE(imbalance(run.counts()), 1.10) << upstreams << " upstreams, " << tick / 10 << " s";
				}
			}
			std::printf("%zu upstreams, 90 s after the return: %.3f; most new flows in 100 ms: %.0f\n", upstreams,
						imbalance(run.counts()), largest_rise);
			EXPECT_EQ(net.broken, 0U) << net.first_failure;
		}
	}
}
