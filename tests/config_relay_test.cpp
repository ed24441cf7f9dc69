#include "nutmegturn/config_relay.hpp"
#include "nutmegturn/member.hpp"

#include "control_network.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

namespace nutmegturn
{
	using namespace std::chrono_literals;

	namespace
	{
		/// Configuration service in virtual time: publishes versions, can be down, or stale at an earlier revision.
		struct service
		{
			std::map<revision, record_version> published; // the newest version of each key
			revision newest{};
			bool down = false;
			std::optional<revision> stale;
			std::size_t reads = 0;

			void publish(const std::string& key, std::string value)
			{
				std::erase_if(published, [&key](const auto& it) { return it.second.key == key; });
				newest = revision{to_number(newest) + 1};
				published[newest] = {key, newest, std::move(value)};
			}
		};

		struct waiting_read
		{
			start_read asked;
			monotonic_time until;
		};

		/// Process with a store that keeps the newest version of each key.
		struct process
		{
			service* config = nullptr;
			relay_state relay;
			random_source rng{0};
			std::map<std::string, record_version> store;
			revision complete{};
			revision lowest_allowed{};
			bool reaches = true; ///< The service.
			bool stepped_back = false;
			std::optional<waiting_read> read;
			std::size_t fleet_size = 1;
			monotonic_time next_digest{};

			record_source source()
			{
				return {complete, [this](revision after)
						{
							std::vector<record_version> versions;
							for (const auto& [key, it] : store)
							{
								if (it.rev > after)
								{
									versions.push_back(it);
								}
							}
							std::ranges::sort(versions, {}, &record_version::rev);
							return versions;
						}};
			}

			void take(relay_output& out, monotonic_time now, std::vector<control_send>& sends)
			{
				for (const auto& it : out.applies)
				{
					stepped_back = stepped_back || it.complete_through < complete;
					complete = it.complete_through;
					for (const auto& version : it.records)
					{
						if (auto& known = store[version.key]; known.rev <= version.rev)
						{
							known = version;
						}
					}
				}
				for (const auto& it : out.reads)
				{
					++config->reads;
					read = waiting_read{it, now + it.wait};
				}
				sends.insert(sends.end(), out.sends.begin(), out.sends.end());
			}

			void on_message(const endpoint& from, const wire::control_envelope& envelope, monotonic_time now,
							std::vector<control_send>& sends)
			{
				relay_output out;
				relay_on_message(relay, from, envelope, source(), now, rng, out);
				take(out, now, sends);
			}

			void on_tick(monotonic_time now, std::vector<control_send>& sends)
			{
				const auto at = config->stale.value_or(config->newest);
				const bool ok = reaches && !config->down;
				if (read && (!ok || at > read->asked.after || now >= read->until))
				{
					read_result result{ok, read->asked.after, at, {}};
					for (const auto& [rev, it] : config->published)
					{
						if (rev > read->asked.after && rev <= at)
						{
							result.records.push_back(it);
						}
					}
					read.reset();
					relay_output out;
					relay_on_read(relay, result, source(), now, rng, out);
					take(out, now, sends);
				}
				relay_output out;
				relay_on_tick(relay, source(), now, rng, out);
				take(out, now, sends);
				if (now >= next_digest)
				{
					// Stands for the probes of membership, which carry the digest at least this often.
					next_digest = now + 400ms;
					wire::control_envelope envelope;
					envelope.newest = static_cast<std::int64_t>(complete);
					sends.push_back({test::address_of(rng.below(fleet_size)), envelope});
				}
			}

			/// Whether the view that traffic would use is behind a revision.
			[[nodiscard]] bool behind(revision rev) const
			{
				return !view_is_current(relay) || complete < rev;
			}
		};

		class fleet : public test::control_network<process>
		{
		public:
			fleet(std::size_t n, std::size_t zones, service& config, std::uint64_t seed)
				: control_network{seed}, fleet_size{n}
			{
				for (std::size_t i = 0; i < n; ++i)
				{
					member it;
					it.name = "m" + std::to_string(i);
					it.id = make_id<member_id>(it.name);
					it.zone = "z" + std::to_string(i % zones);
					it.control = test::address_of(i);
					it.life = incarnation{rng()};
					view.members.push_back(it);
					add(start(i, config));
				}
				for (auto& node : nodes)
				{
					relay_on_members(node.relay, view);
				}
			}

			process start(std::size_t i, service& config)
			{
				process it;
				it.config = &config;
				it.relay = make_relay(view.members[i]);
				it.rng = random_source{rng()};
				it.fleet_size = fleet_size;
				relay_on_members(it.relay, view);
				return it;
			}

			/// Runs until no process up is behind the revision; returns the time it took.
			std::chrono::milliseconds run_until_in_force(revision rev, std::chrono::milliseconds limit)
			{
				const auto behind = [&]
				{
					for (std::size_t i = 0; i < nodes.size(); ++i)
					{
						if (!down[i] && now() >= paused_until[i] && nodes[i].behind(rev))
						{
							return true;
						}
					}
					return false;
				};
				std::chrono::milliseconds time{0};
				for (; time < limit && behind(); time += 20ms)
				{
					run(20ms);
				}
				return time;
			}

			bool stepped_back()
			{
				return std::ranges::any_of(nodes, &process::stepped_back);
			}

			member_view view;
			std::size_t fleet_size;
		};
	}

	// Guards against reads that grow with the fleet, slow changes, and control traffic beyond the bounds.
	TEST(the_relay, brings_a_change_into_force_with_few_reads_and_bytes)
	{
		for (const std::size_t n : {10U, 100U, 300U, 3000U})
		{
			service config;
			config.publish("a", "1");
			fleet net{n, n < 100 ? 4U : 18U, config, n};
			EXPECT_LE(net.run_until_in_force(config.newest, 10s), 3s);
			net.run(5s);
			config.reads = 0;
			net.measure = true;
			std::ranges::fill(net.bytes_sent, 0);
			net.run(10s);
			const auto reads = static_cast<double>(config.reads) / 10;
			const auto most = std::ranges::max(net.bytes_sent) / 10;
			config.publish("zone", "out");
			const auto time = net.run_until_in_force(config.newest, 20s);
			std::printf("%zu processes: %.1f reads/s, %llu B/s, in force after %lld ms\n", n, reads,
						static_cast<unsigned long long>(most), static_cast<long long>(time.count()));
			config.down = true;
			net.run(5s);
			config.reads = 0;
			net.measure = false;
			net.run(20s);
			std::printf("%zu processes: %.1f attempts/s while the service is down\n", n,
						static_cast<double>(config.reads) / 20);
			EXPECT_LE(config.reads, 20U * 400U);
			EXPECT_LE(reads, 60.0);
			EXPECT_LE(time, 3s);
			EXPECT_LE(most, 4'000U);
		}
	}

	// Guards against a change that waits for the usual readers when only one process reaches the service.
	TEST(the_relay, finds_the_only_process_that_reaches_the_service)
	{
		for (std::uint64_t seed = 1; seed <= 10; ++seed)
		{
			service config;
			config.publish("a", "1");
			fleet net{seed % 2 == 0 ? 14U : 300U, seed % 2 == 0 ? 4U : 18U, config, seed};
			net.run(5s);
			const auto lucky = net.rng.below(net.nodes.size());
			for (std::size_t i = 0; i < net.nodes.size(); ++i)
			{
				net.nodes[i].reaches = i == lucky;
			}
			config.publish("zone", "out");
			EXPECT_LE(net.run_until_in_force(config.newest, 30s), 8s) << "seed " << seed;
			net.run(10s);
			config.publish("zone", "in");
			EXPECT_LE(net.run_until_in_force(config.newest, 30s), 3s) << "settled, seed " << seed;
		}
	}

	// Guards against views that end or step back while the service is down for an hour or stale.
	TEST(the_relay, keeps_views_while_the_service_is_down_or_stale)
	{
		service config;
		config.publish("a", "1");
		config.publish("a", "2");
		fleet net{60, 4, config, 5};
		net.run(5s);
		config.down = true;
		net.run(1h);
		EXPECT_FALSE(std::ranges::any_of(net.nodes, [&](const process& it) { return it.behind(config.newest); }));
		config.down = false;
		config.stale = revision{1};
		net.run(10s);
		net.nodes[7] = net.start(7, config);
		EXPECT_LE(net.run_until_in_force(config.newest, 20s), 3s) << "restarted against a stale service";
		EXPECT_FALSE(net.stepped_back());
		config.stale.reset();
		config.publish("a", "3");
		EXPECT_LE(net.run_until_in_force(config.newest, 20s), 8s);
	}

	// Guards against a process that wakes and uses its old view, also because of messages that waited meanwhile.
	TEST(the_relay, does_not_trust_its_view_after_a_pause)
	{
		service config;
		config.publish("a", "1");
		fleet net{14, 4, config, 6};
		net.run(5s);
		for (std::size_t i = 0; i < 5; ++i)
		{
			net.paused_until[i] = net.now() + 30s;
			net.nodes[i].reaches = false; // so that only the answers of members can confirm the view
			net.nodes[i].read.reset();
		}
		net.run(10s);
		config.publish("a", "2");
		net.run(20s);
		for (int step = 0; step < 200; ++step)
		{
			net.run(5ms);
			for (std::size_t i = 0; i < 5; ++i)
			{
				const auto& it = net.nodes[i];
				const bool ticked = it.relay.last_tick && net.now() - *it.relay.last_tick < 1s;
				EXPECT_FALSE(ticked && view_is_current(it.relay) && it.complete < config.newest);
			}
		}
		EXPECT_LE(net.run_until_in_force(config.newest, 10s), 2s);
		// Two that wake together, cut off from the others, must not confirm each other, nor may a stale service.
		config.stale = revision{1};
		for (std::size_t i = 0; i < 2; ++i)
		{
			net.side[i] = 1;
			net.nodes[i].reaches = true;
			net.nodes[i].read.reset();
			net.paused_until[i] = net.now() + 30s;
		}
		net.run(10s);
		config.publish("a", "3");
		net.run(25s);
		EXPECT_FALSE(view_is_current(net.nodes[0].relay) || view_is_current(net.nodes[1].relay));
		std::ranges::fill(net.side, 0);
		config.stale.reset();
		EXPECT_LE(net.run_until_in_force(config.newest, 10s), 5s);
	}

	// Guards against values longer than a message, and many records, that never arrive whole.
	TEST(the_relay, brings_long_values_and_many_records_to_a_restarted_process)
	{
		service config;
		for (int i = 0; i < 500; ++i)
		{
			config.publish("key" + std::to_string(i), std::string(300, 'x'));
		}
		config.publish("long", std::string(100'000, 'y') + "z");
		fleet net{14, 4, config, 8};
		net.loss = 0.02;
		EXPECT_LE(net.run_until_in_force(config.newest, 30s), 8s);
		config.down = true;
		net.nodes[3] = net.start(3, config);
		EXPECT_LE(net.run_until_in_force(config.newest, 30s), 8s);
		EXPECT_EQ(net.nodes[3].store.size(), 501U);
		EXPECT_EQ(net.nodes[3].store["long"].value->size(), 100'001U);
	}

	// Guards against confirmations that circulate when members disagree on the ranks, or when a datagram is duplicated.
	TEST(the_relay, passes_each_confirmation_on_once)
	{
		service config;
		fleet net{20, 1, config, 9};
		auto& root = net.nodes[0].relay;
		wire::control_envelope envelope;
		wire::confirmation message;
		message.reader = static_cast<std::int64_t>(root.zone_peers[0].id);
		message.number = 1;
		envelope.__set_confirmation_message(message);
		const auto child = std::ranges::find(net.nodes, 1U, [](const process& it) { return it.relay.rank; });
		std::vector<control_send> sends;
		child->on_message(root.zone_peers[0].control, envelope, net.now(), sends);
		EXPECT_EQ(sends.size(), 8U);
		child->on_message(root.zone_peers[0].control, envelope, net.now(), sends);
		EXPECT_EQ(sends.size(), 8U);
	}

	// Guards against any step back, and views that stay apart, under faults of all kinds together.
	TEST(the_relay, never_steps_back_and_converges_after_generated_faults)
	{
		for (std::uint64_t seed = 100; seed < 140; ++seed)
		{
			service config;
			config.publish("a", "1");
			fleet net{12, 3, config, seed};
			net.jitter = 50ms;
			net.duplication = 0.05;
			for (int step = 0; step < 25; ++step)
			{
				const auto i = net.rng.below(12);
				net.loss = net.rng.unit() * 0.3;
				switch (net.rng.below(7))
				{
					case 0:
						net.paused_until[i] = net.now() + std::chrono::milliseconds{net.rng.below(6000)};
						break;
					case 1:
						net.side[i] = static_cast<int>(net.rng.below(2));
						break;
					case 2:
						net.nodes[i] = net.start(i, config);
						break;
					case 3:
						net.nodes[i].reaches = !net.nodes[i].reaches;
						break;
					case 4:
						config.down = !config.down;
						break;
					case 5:
						config.stale = config.stale
										   ? std::nullopt
										   : std::optional{revision{1 + net.rng.below(to_number(config.newest))}};
						break;
					default:
						config.publish("k" + std::to_string(net.rng.below(3)), std::to_string(step));
						break;
				}
				net.run(std::chrono::milliseconds{net.rng.below(2000)});
				EXPECT_FALSE(net.stepped_back()) << "seed " << seed;
			}
			net.loss = 0;
			config.down = false;
			config.stale.reset();
			std::ranges::fill(net.side, 0);
			for (auto& node : net.nodes)
			{
				node.reaches = true;
			}
			net.run(6s);
			EXPECT_LE(net.run_until_in_force(config.newest, 30s), 8s) << "seed " << seed;
			for (const auto& node : net.nodes)
			{
				for (const auto& [rev, it] : config.published)
				{
					EXPECT_EQ(node.store.contains(it.key) ? node.store.at(it.key).rev : revision{}, rev)
						<< "seed " << seed;
				}
			}
		}
	}
}
