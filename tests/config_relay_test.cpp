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
		/// Simulated configuration service: publishes versions and can be down, or stale at an earlier revision.
		struct config_service
		{
			std::map<revision, record_version> published; // the newest version of each key
			revision newest{};
			bool down = false;
			std::optional<revision> stale;
			std::uint64_t era = 0;
			std::size_t reads = 0;

			void publish(const std::string& key, std::string value)
			{
				std::erase_if(published, [&key](const auto& it) { return it.second.key == key; });
				newest = revision{to_number(newest) + 1};
				published[newest] = {key, newest, std::move(value)};
			}

			/// Restores the contents of an older copy, which starts another era.
			void restore(const config_service& copy)
			{
				++era;
				newest = make_revision(era, number_of(copy.newest));
				published.clear();
				for (const auto& [rev, it] : copy.published)
				{
					const auto restored = make_revision(era, number_of(rev));
					published[restored] = {it.key, restored, it.value};
				}
			}
		};

		struct pending_read
		{
			start_read request;
			monotonic_time deadline;
		};

		/// Process with a store that keeps the newest version of each key.
		struct process
		{
			config_service* config = nullptr;
			relay_state relay;
			random_source rng{0};
			std::map<std::string, record_version> store;
			revision complete{};
			revision lowest_allowed{};
			bool reaches_service = true; ///< Whether this process can reach the configuration service.
			bool stepped_back = false;
			std::optional<pending_read> read;
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

			void apply_output(relay_output& out, monotonic_time now, std::vector<control_send>& sends)
			{
				for (const auto& it : out.applies)
				{
					stepped_back = stepped_back || it.complete_through < complete;
					complete = it.complete_through;
					for (auto& [key, known] : store)
					{
						const bool is_listed = std::ranges::any_of(it.records, [&key = key](const auto& version)
																   { return version.key == key; });
						if (it.full && !is_listed)
						{
							known = {key, complete, std::nullopt};
						}
					}
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
					read = pending_read{it, now + it.wait};
				}
				sends.insert(sends.end(), out.sends.begin(), out.sends.end());
			}

			void on_message(const endpoint& from, const wire::control_envelope& envelope, monotonic_time now,
							std::vector<control_send>& sends)
			{
				relay_output out;
				relay_on_message(relay, from, envelope, source(), now, rng, out);
				apply_output(out, now, sends);
			}

			void on_tick(monotonic_time now, std::vector<control_send>& sends)
			{
				const auto at = config->stale.value_or(config->newest);
				const bool ok = reaches_service && !config->down;
				if (read && (!ok || number_of(at) > number_of(read->request.after) || now >= read->deadline))
				{
					read_result result{ok, read->request.after, at, {}};
					for (const auto& [rev, it] : config->published)
					{
						if (number_of(rev) > number_of(read->request.after) && rev <= at)
						{
							result.records.push_back(it);
						}
					}
					read.reset();
					relay_output out;
					relay_on_read(relay, result, source(), now, rng, out);
					apply_output(out, now, sends);
				}
				relay_output out;
				relay_on_tick(relay, source(), now, rng, out);
				apply_output(out, now, sends);
				if (now >= next_digest)
				{
					// Replaces the probes of membership, which carry the newest revision at least this often.
					next_digest = now + 400ms;
					wire::control_envelope envelope;
					envelope.newest = static_cast<std::int64_t>(complete);
					sends.push_back({test::address_of(rng.below(fleet_size)), envelope});
				}
			}

			/// Returns the value of a key, or nothing if the key has none.
			[[nodiscard]] std::optional<std::string> value_of(const std::string& key) const
			{
				const auto it = store.find(key);
				return it == store.end() ? std::nullopt : it->second.value;
			}

			/// Returns whether the view is not current or lacks a revision.
			[[nodiscard]] bool is_behind(revision rev) const
			{
				return !view_is_current(relay) || complete < rev;
			}
		};

		class fleet : public test::control_network<process>
		{
		public:
			fleet(std::size_t n, std::size_t zones, config_service& config, std::uint64_t seed)
				: control_network{seed}, fleet_size{n}
			{
				for (std::size_t i = 0; i < n; ++i)
				{
					member it;
					it.name = "m" + std::to_string(i);
					it.id = make_id<member_id>(it.name);
					it.zone = "z" + std::to_string(i % zones);
					it.control = test::address_of(i);
					it.process_incarnation = incarnation{rng()};
					view.members.push_back(it);
					add(start(i, config));
				}
				for (auto& node : nodes)
				{
					relay_on_members(node.relay, view);
				}
			}

			process start(std::size_t i, config_service& config)
			{
				process it;
				it.config = &config;
				it.relay = make_relay(view.members[i]);
				it.rng = random_source{rng()};
				it.fleet_size = fleet_size;
				relay_on_members(it.relay, view);
				return it;
			}

			/// Runs until all running processes have the revision in force; returns the elapsed time.
			std::chrono::milliseconds run_until_in_force(revision rev, std::chrono::milliseconds limit)
			{
				const auto is_behind = [&]
				{
					for (std::size_t i = 0; i < nodes.size(); ++i)
					{
						if (!down[i] && now() >= paused_until[i] && nodes[i].is_behind(rev))
						{
							return true;
						}
					}
					return false;
				};
				std::chrono::milliseconds time{0};
				for (; time < limit && is_behind(); time += 20ms)
				{
					run(20ms);
				}
				return time;
			}

			/// Returns whether all processes have this value of a key.
			bool all_have(const std::string& key, const std::optional<std::string>& value)
			{
				return std::ranges::all_of(nodes, [&](const process& it) { return it.value_of(key) == value; });
			}

			bool stepped_back()
			{
				return std::ranges::any_of(nodes, &process::stepped_back);
			}

			member_view view;
			std::size_t fleet_size;
		};
	}

	// Guards against reads that grow with the fleet, slow distribution of changes, and excessive control traffic.
	TEST(config_relay, brings_a_change_into_force_with_few_reads_and_bytes)
	{
		for (const std::size_t n : {10U, 100U, 300U, 3000U})
		{
			config_service config;
			config.publish("a", "1");
			fleet net{n, n < 100 ? 4U : 18U, config, n};
			EXPECT_LE(net.run_until_in_force(config.newest, 10s), 3s);
			net.run(5s);
			config.reads = 0;
			net.count_bytes = true;
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
			net.count_bytes = false;
			net.run(20s);
			std::printf("%zu processes: %.1f attempts/s while the service is down\n", n,
						static_cast<double>(config.reads) / 20);
			EXPECT_LE(config.reads, 20U * 400U);
			EXPECT_LE(reads, 60.0);
			EXPECT_LE(time, 3s);
			EXPECT_LE(most, 4'000U);
		}
	}

	// Guards against a change that stays with the usual readers, which cannot reach the service, when only one other
	// process can.
	TEST(config_relay, finds_the_only_process_that_reaches_the_service)
	{
		for (std::uint64_t seed = 1; seed <= 10; ++seed)
		{
			config_service config;
			config.publish("a", "1");
			fleet net{seed % 2 == 0 ? 14U : 300U, seed % 2 == 0 ? 4U : 18U, config, seed};
			net.run(5s);
			const auto connected = net.rng.below(net.nodes.size());
			for (std::size_t i = 0; i < net.nodes.size(); ++i)
			{
				net.nodes[i].reaches_service = i == connected;
			}
			config.publish("zone", "out");
			EXPECT_LE(net.run_until_in_force(config.newest, 30s), 8s) << "seed " << seed;
			net.run(10s);
			config.publish("zone", "in");
			EXPECT_LE(net.run_until_in_force(config.newest, 30s), 3s) << "settled, seed " << seed;
		}
	}

	// Guards against views that expire or revert while the service is down for an hour or stale.
	TEST(config_relay, keeps_views_while_the_service_is_down_or_stale)
	{
		config_service config;
		config.publish("a", "1");
		config.publish("a", "2");
		fleet net{60, 4, config, 5};
		net.run(5s);
		config.down = true;
		net.run(1h);
		EXPECT_FALSE(std::ranges::any_of(net.nodes, [&](const process& it) { return it.is_behind(config.newest); }));
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

	class config_relay_restore : public ::testing::Test
	{
	protected:
		config_service config;
		config_service copy;

		void SetUp() override
		{
			config.era = 1;
			config.newest = make_revision(1, 0);
			config.publish("zone", "in");
			config.publish("gone", "1");
			copy = config;
			config.publish("zone", "out");
			config.publish("gone", "2");
			config.publish("late", "1");
		}
	};

	// Guards against changes that are never read after the service was restored from an older copy and gave out the
	// known revisions again, and against a zone that is in use again until the operator has taken it out once more.
	TEST_F(config_relay_restore, brings_changes_at_revisions_given_out_again_into_force)
	{
		for (std::uint64_t seed = 1; seed <= 5; ++seed)
		{
			auto service = config;
			fleet net{seed % 2 == 0 ? 60U : 14U, 4, service, seed};
			net.run(5s);
			ASSERT_TRUE(net.all_have("zone", "out"));
			service.restore(copy);
			net.run(500ms);
			EXPECT_TRUE(net.all_have("zone", "out")) << "not reverted, seed " << seed;
			service.publish("zone", "out");
			service.publish("new", "1");
			net.run(7'500ms);
			EXPECT_TRUE(net.all_have("new", "1")) << "seed " << seed;
			EXPECT_TRUE(net.all_have("zone", "out")) << "seed " << seed;
			EXPECT_TRUE(net.all_have("gone", "1")) << "not published again, seed " << seed;
			EXPECT_TRUE(net.all_have("late", std::nullopt)) << "not published again, seed " << seed;
			EXPECT_FALSE(net.stepped_back());
			service.publish("new", "2");
			EXPECT_LE(net.run_until_in_force(service.newest, 20s), 3s) << "seed " << seed;
		}
	}

	// Guards against a process that starts while the restored service lacks the newest records, and whose later
	// revision makes all others take the older ones.
	TEST_F(config_relay_restore, keeps_records_when_a_process_starts_with_the_copy)
	{
		for (std::uint64_t seed = 1; seed <= 5; ++seed)
		{
			auto service = config;
			fleet net{14, 4, service, seed};
			net.run(5s);
			service.restore(copy);
			net.nodes[3] = net.start(3, service);
			net.run(1s);
			for (std::size_t i = 0; i < net.nodes.size(); ++i)
			{
				EXPECT_TRUE(i == 3 || net.nodes[i].value_of("zone") == "out") << "process " << i << ", seed " << seed;
			}
			service.publish("zone", "out");
			net.run(7s);
			EXPECT_TRUE(net.all_have("zone", "out")) << "seed " << seed;
			EXPECT_FALSE(
				std::ranges::any_of(net.nodes, [&](const process& it) { return it.is_behind(service.newest); }));
		}
	}

	// Guards against a process that uses its old view after a pause, also when messages queued during the pause seem to
	// confirm it.
	TEST(config_relay, does_not_trust_its_view_after_a_pause)
	{
		config_service config;
		config.publish("a", "1");
		fleet net{14, 4, config, 6};
		net.run(5s);
		for (std::size_t i = 0; i < 5; ++i)
		{
			net.paused_until[i] = net.now() + 30s;
			net.nodes[i].reaches_service = false; // only the answers of members can confirm the view
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
		// Two processes that resume at the same time, partitioned from the others, must not confirm each other's view,
		// nor may a stale service.
		config.stale = revision{1};
		for (std::size_t i = 0; i < 2; ++i)
		{
			net.partition[i] = 1;
			net.nodes[i].reaches_service = true;
			net.nodes[i].read.reset();
			net.paused_until[i] = net.now() + 30s;
		}
		net.run(10s);
		config.publish("a", "3");
		net.run(25s);
		EXPECT_FALSE(view_is_current(net.nodes[0].relay) || view_is_current(net.nodes[1].relay));
		std::ranges::fill(net.partition, 0);
		config.stale.reset();
		EXPECT_LE(net.run_until_in_force(config.newest, 10s), 5s);
	}

	// Guards against values longer than a message, or many records, that are not delivered completely.
	TEST(config_relay, brings_long_values_and_many_records_to_a_restarted_process)
	{
		config_service config;
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

	// Guards against confirmations that are forwarded in a loop when members disagree on the ranks, or more than once
	// when a datagram is duplicated.
	TEST(config_relay, passes_each_confirmation_on_once)
	{
		config_service config;
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

	// Guards against views that revert or fail to converge under combined faults.
	TEST(config_relay, never_steps_back_and_converges_after_generated_faults)
	{
		for (std::uint64_t seed = 100; seed < 140; ++seed)
		{
			config_service config;
			config.publish("a", "1");
			fleet net{12, 3, config, seed};
			net.jitter = 50ms;
			net.duplication = 0.05;
			for (int step = 0; step < 25; ++step)
			{
				const auto i = net.rng.below(12);
				net.loss = net.rng.uniform() * 0.3;
				switch (net.rng.below(7))
				{
					case 0:
						net.paused_until[i] = net.now() + std::chrono::milliseconds{net.rng.below(6000)};
						break;
					case 1:
						net.partition[i] = static_cast<int>(net.rng.below(2));
						break;
					case 2:
						net.nodes[i] = net.start(i, config);
						break;
					case 3:
						net.nodes[i].reaches_service = !net.nodes[i].reaches_service;
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
			std::ranges::fill(net.partition, 0);
			for (auto& node : net.nodes)
			{
				node.reaches_service = true;
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
