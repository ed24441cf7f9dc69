#include "nutmegturn/membership.hpp"

#include "control_network.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <string>

namespace nutmegturn
{
	using namespace std::chrono_literals;

	namespace
	{
		struct process
		{
			membership_state state;
			random_source rng{0};

			void on_message(const endpoint& source, const wire::control_envelope& envelope, monotonic_time now,
							std::vector<control_send>& sends)
			{
				membership_output out;
				membership_on_message(state, source, envelope, now, rng, out);
				sends = std::move(out.sends);
			}

			void on_tick(monotonic_time now, std::vector<control_send>& sends)
			{
				membership_output out;
				membership_on_tick(state, now, rng, out);
				sends = std::move(out.sends);
			}
		};

		class fleet : public test::control_network<process>
		{
		public:
			/// \param known	Whether every process knows all others from the start.
			fleet(std::size_t n, std::uint64_t seed, bool known = true) : control_network{seed}
			{
				for (std::size_t i = 0; i < n; ++i)
				{
					add(start(i));
				}
				for (auto& node : nodes)
				{
					for (std::size_t i = 0; known && i < n; ++i)
					{
						wire::control_envelope envelope;
						envelope.updates.push_back(to_wire(nodes[i].state.self));
						std::vector<control_send> sends;
						node.on_message(test::address_of(i), envelope, now(), sends);
					}
					node.state.synced = known;
					node.state.sync_interval = known ? 30s : 100ms;
					node.state.next_sync = now() + std::chrono::milliseconds{known ? rng.below(30'000) : 0};
					if (known)
					{
						node.state.update_queue.clear();
					}
				}
			}

			process start(std::size_t i)
			{
				member self;
				self.name = "m" + std::to_string(i);
				self.id = make_id<member_id>(self.name);
				self.control = test::address_of(i);
				self.process_incarnation = incarnation{rng()};
				membership_settings settings;
				settings.seeds = {test::address_of(0), test::address_of(1)};
				return {make_membership(self, settings), random_source{rng()}};
			}

			/// Returns the number of running processes that see member `i` with this liveness and its present
			/// incarnation.
			std::size_t count_seeing(std::size_t i, member_liveness liveness)
			{
				const auto& self = nodes[i].state.self;
				std::size_t n = 0;
				for (std::size_t j = 0; j < nodes.size(); ++j)
				{
					const auto it = nodes[j].state.members.find(self.id);
					n += j != i && !down[j] && it != nodes[j].state.members.end() &&
								 it->second.info.liveness == liveness &&
								 it->second.info.process_incarnation == self.process_incarnation
							 ? 1
							 : 0;
				}
				return n;
			}

			/// Returns whether all running processes see each other alive.
			bool has_converged()
			{
				const auto up = static_cast<std::size_t>(std::ranges::count(down, false));
				for (std::size_t i = 0; i < nodes.size(); ++i)
				{
					if (!down[i] && count_seeing(i, member_liveness::alive) != up - 1)
					{
						return false;
					}
				}
				return true;
			}

			/// Runs until a condition holds; returns the elapsed time.
			template <typename Condition>
			std::chrono::milliseconds run_until(Condition condition, std::chrono::milliseconds limit)
			{
				std::chrono::milliseconds time{0};
				for (; time < limit && !condition(); time += 10ms)
				{
					run(10ms);
				}
				return time;
			}
		};
	}

	// Guards against a failed member that stays alive in some view for more than 3 s, at the sizes of present
	// deployments.
	TEST(membership, detects_a_failed_member_within_three_seconds_in_all_processes)
	{
		auto worst = 0ms;
		for (std::uint64_t seed = 1; seed <= 40; ++seed)
		{
			fleet net{seed % 2 == 0 ? 14U : 30U, seed};
			net.run(std::chrono::milliseconds{2000 + net.rng.below(1000)});
			net.down[5] = true;
			const auto n = net.nodes.size() - 1;
			worst =
				std::max(worst, net.run_until([&] { return net.count_seeing(5, member_liveness::dead) == n; }, 10s));
		}
		RecordProperty("worst_ms", static_cast<int>(worst.count()));
		EXPECT_LE(worst, 3s);
	}

	// Guards against traffic that grows with the fleet, and slow propagation in a large fleet.
	TEST(membership, spreads_a_change_in_a_large_fleet_at_constant_cost)
	{
		std::vector<std::uint64_t> most;
		for (const std::size_t n : {14U, 100U, 1000U})
		{
			fleet net{n, n};
			net.count_bytes = true;
			net.run(20s);
			most.push_back(std::ranges::max(net.bytes_sent) / 20);
			std::vector<control_send> sends;
			membership_output out;
			auto& node = net.nodes[3];
			membership_set_self(node.state, member_liveness::leaving, {}, net.now(), node.rng, out);
			net.send(3, out.sends);
			const auto spread =
				net.run_until([&] { return net.count_seeing(3, member_liveness::leaving) == n - 1; }, 5s);
			net.down[9] = true;
			const auto death = net.run_until([&] { return net.count_seeing(9, member_liveness::dead) == n - 1; }, 10s);
			std::printf("%zu members: %llu B/s, leaving seen after %lld ms, death after %lld ms\n", n,
						static_cast<unsigned long long>(most.back()), static_cast<long long>(spread.count()),
						static_cast<long long>(death.count()));
			EXPECT_LE(spread, 500ms) << "announced at once";
			EXPECT_LE(death, 4s);
			net.sent_to[9] = 0;
			net.run(5s);
			EXPECT_LE(net.sent_to[9], 100U) << "probes of a dead member do not grow with the fleet";
			EXPECT_LE(most.back(), 2'000U);
		}
		EXPECT_LE(most.back(), most.front() * 3 / 2);
	}

	// Guards against a process that declares the others dead after a pause, or that the others continue to consider
	// dead.
	TEST(membership, suspects_no_other_member_after_a_pause)
	{
		fleet net{20, 7};
		net.run(2s);
		while (net.nodes[4].state.pending_probes.empty())
		{
			net.run(1ms);
		}
		net.paused_until[4] = net.now() + 30s; // with a pending probe, whose reply stays unread in the socket
		net.run(30s);
		EXPECT_EQ(net.count_seeing(4, member_liveness::dead), 19U);
		const auto back = net.run_until([&] { return net.has_converged(); }, 20s);
		EXPECT_LE(back, 10s);
		for (const auto& [id, it] : net.nodes[4].state.members)
		{
			EXPECT_EQ(it.info.sequence, 0U) << "suspected by the process that was paused";
		}
	}

	// Guards against processes that start together and treat each other's incomplete lists as the whole fleet.
	TEST(membership, learns_all_members_when_many_restart_at_once)
	{
		for (std::uint64_t seed = 1; seed <= 3; ++seed)
		{
			fleet net{100, seed};
			net.run(20s);
			for (std::size_t i = 0; i < 100; i += 6)
			{
				net.nodes[i] = net.start(i);
			}
			EXPECT_LE(net.run_until([&] { return net.has_converged(); }, 30s), 8s) << "seed " << seed;
		}
	}

	// Guards against a restarted member that is mistaken for its earlier incarnation, also through delayed updates of
	// that incarnation.
	TEST(membership, replaces_the_earlier_incarnation_of_a_restarted_member)
	{
		fleet net{20, 8};
		net.run(1s);
		const auto earlier = to_wire(net.nodes[6].state.self);
		net.nodes[6] = net.start(6);
		EXPECT_LE(net.run_until([&] { return net.has_converged(); }, 20s), 5s);
		wire::control_envelope late;
		late.updates.push_back(earlier);
		std::vector<control_send> sends;
		net.nodes[2].on_message(test::address_of(6), late, net.now(), sends);
		EXPECT_TRUE(net.has_converged());
	}

	// Guards against sides of a partition that do not merge again after it heals.
	TEST(membership, converges_again_after_a_partition)
	{
		fleet net{24, 9};
		for (auto& node : net.nodes)
		{
			node.state.settings.seeds.clear(); // seeds would also merge the sides
		}
		net.run(1s);
		for (std::size_t i = 0; i < 12; ++i)
		{
			net.partition[i] = 1;
		}
		net.run(60s);
		EXPECT_EQ(net.count_seeing(0, member_liveness::dead), 12U);
		std::ranges::fill(net.partition, 0);
		EXPECT_LE(net.run_until([&] { return net.has_converged(); }, 60s), 15s);
	}

	// Guards against a fleet that does not form from seeds, and an instance list that changes liveness.
	TEST(membership, forms_from_seeds_and_takes_the_instance_list_as_a_hint)
	{
		fleet net{20, 10, false};
		EXPECT_LE(net.run_until([&] { return net.has_converged(); }, 60s), 15s);
		auto& state = net.nodes[0].state;
		membership_output out;
		const listed_instance listed[]{{"m1", test::address_of(1), true}, {"ghost", test::address_of(99), false}};
		membership_on_instance_list(state, listed, out);
		EXPECT_EQ(state.members.size(), 19U) << "a stale list neither adds nor removes members";
		ASSERT_EQ(out.changes.size(), 1U);
		const auto view = make_member_view(state);
		const auto at = std::ranges::find(view.members, std::string{"m1"}, &member::name);
		EXPECT_EQ(at->liveness, member_liveness::leaving);
		net.run(5s);
		EXPECT_EQ(state.members.size(), 19U) << "an instance that answers no probe is no member";
	}

	// Guards against views that do not converge after combined faults.
	TEST(membership, converges_after_generated_faults)
	{
		for (std::uint64_t seed = 100; seed < 130; ++seed)
		{
			fleet net{12, seed};
			net.jitter = 50ms;
			net.duplication = 0.05;
			for (int step = 0; step < 20; ++step)
			{
				const auto i = net.rng.below(12);
				net.loss = net.rng.uniform() * 0.3;
				switch (net.rng.below(5))
				{
					case 0:
						net.paused_until[i] = net.now() + std::chrono::milliseconds{net.rng.below(6000)};
						break;
					case 1:
						net.partition[i] = static_cast<int>(net.rng.below(2));
						break;
					case 2:
						net.nodes[i] = net.start(i);
						break;
					case 3:
						net.down[i] = !net.down[i];
						break;
					default:
						std::ranges::fill(net.partition, 0);
						break;
				}
				net.run(std::chrono::milliseconds{net.rng.below(3000)});
			}
			net.loss = 0;
			std::ranges::fill(net.partition, 0);
			std::fill(net.down.begin(), net.down.end(), false);
			EXPECT_LT(net.run_until([&] { return net.has_converged(); }, 60s), 60s) << "seed " << seed;
		}
	}
}
