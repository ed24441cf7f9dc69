#include "loopback_store.hpp"
#include "node/node.hpp"
#include "runtime/udp.hpp"
#include "steering_world.hpp"

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>

#include <array>

namespace nutmegturn::node::testing
{
	namespace
	{
		using namespace std::chrono_literals;
		using steering::message;
		using steering::message_kind;
		using steering::store_revision;

		constexpr std::uint16_t peer_port = 17'444;

		/// Time within which an agent reports, with some margin.
		constexpr auto report_interval = 1'300ms;

		/// Process of the system on loopback, with a store whose long watches of upstream entries are never answered.
		/// The test takes the part of the other role.
		class known_revision_on_loopback : public ::testing::Test
		{
		protected:
			event_loop loop;
			endpoint own = own_address(17'435);
			loopback_store store{
				.loop = loop, .respond = [this](auto target) { return answer(target); }, .calls = {}, .address = own};
			steering::node_settings settings;
			runtime::file_descriptor peer;
			store_revision reported;              ///< Newest revision of the entry that the process has reported.
			monotonic_time reported_orders_as_of; ///< As of when the process has said that it knows the orders.
			int short_watches = 0;                ///< Watches of upstream entries that were answered.
			pid_t process = 0;

			static constexpr store_revision changed{.era = 0, .number = 12};

			std::string entry(int revision) const
			{
				return item(
					"servers/1", revision,
					fmt::format(R"({{"service":"desk","address":"{}","zone":"a","version":"v1",)"
								R"("max_concurrency":5,"state":"{}","cold_remaining_ms":0,"sequence":{},"born":1}})",
								to_string(settings.upstream), revision < 12 ? "ready" : "draining", revision));
			}

			status_response answer(std::string_view target)
			{
				if (target.starts_with("/kv-range?prefix=servers/"))
				{
					return {.status = 200, .body = fmt::format(R"({{"items":[{}],"as_of":9}})", entry(8))};
				}
				if (target.starts_with("/kv-range"))
				{
					const auto config = item(
						"op/config", 5,
						R"({"version":3,"routes":[{"host":"198.18.0.1","prefix":"/443/","service":"desk"}],"services":[]})");
					return {.status = 200, .body = fmt::format(R"({{"items":[{}],"as_of":9}})", config)};
				}
				if (target.starts_with("/kv-watch?prefix=op") || !target.ends_with("wait_ms=1"))
				{
					return {.status = lost, .body = {}};
				}
				++short_watches;
				return {.status = 200, .body = fmt::format(R"({{"events":[{}],"as_of":12}})", entry(12))};
			}

			void SetUp() override
			{
				ASSERT_EQ(store.open(), "");
				// The process has another loopback address than the test.
				settings.name = "test";
				settings.zone = "a";
				settings.service = "desk";
				settings.store = *steering::parse_ipv4_endpoint(to_string(own));
				settings.instance = steering::ipv4{static_cast<std::uint32_t>(settings.store.ip) ^ 0x00800000U};
				settings.peer_port = peer_port;
				settings.caller_packets = {.ip = settings.instance, .port = 17'445};
				settings.readiness = {.ip = settings.instance, .port = 17'446};
				settings.upstream_outbound = {.ip = settings.instance, .port = 17'447};
				settings.upstream = {.ip = settings.instance, .port = 17'448};
				auto opened = runtime::open_udp(steering::to_endpoint({.ip = settings.store.ip, .port = peer_port}));
				ASSERT_TRUE(has_value(opened));
				peer = std::move(std::get<0>(opened));
				ASSERT_TRUE(loop.watch(peer.get(), [this] { read_peer(); }));
			}

			void TearDown() override
			{
				if (process > 0)
				{
					::kill(process, SIGKILL);
					::waitpid(process, nullptr, 0);
				}
			}

			void start(int (*run)(const steering::node_settings&, const settings_file&, node_log&))
			{
				process = ::fork();
				if (process == 0)
				{
					node_log log{"test"};
					::_exit(run(settings, {}, log));
				}
			}

			void read_peer()
			{
				runtime::receive_batch batch{16, 2'048};
				const auto n = batch.receive(peer.get());
				for (std::size_t i = 0; i < n; ++i)
				{
					const auto msg = steering::decode_message(batch.payload(i));
					ASSERT_TRUE(msg);
					if (msg->kind == message_kind::load || msg->kind == message_kind::subscribe)
					{
						const auto knowledge = steering::decode_knowledge(msg->packet, loop.now());
						reported = std::max(reported, knowledge.entry);
						reported_orders_as_of = std::max(reported_orders_as_of, knowledge.orders.as_of);
					}
				}
			}

			/// Sends a message of the other role twice a second.
			void send_repeatedly(message_kind kind)
			{
				send_knowledge(kind, {.entry = changed, .orders = {}, .upstreams = {}, .pass_on = false});
				loop.call_at(loop.now() + 500ms, [this, kind] { send_repeatedly(kind); });
			}

			void send_knowledge(message_kind kind, const steering::store_knowledge& knowledge)
			{
				const auto encoded = steering::encode_knowledge(knowledge, runtime::read_clock());
				auto msg = steering::testing::about_flow(kind);
				msg.packet = encoded;
				std::array<std::byte, steering::max_message_header_size + steering::encoded_knowledge_size> buf{};
				runtime::send_batch to_process{peer.get(), 1};
				to_process.add(steering::to_endpoint({.ip = settings.instance, .port = peer_port}),
							   std::span{buf}.first(encode_message(msg, buf)));
				to_process.flush();
			}

			/// Sends a balancer's message that the store has just confirmed the orders.
			void confirm_orders()
			{
				send_knowledge(message_kind::subscribe,
							   {.entry = {},
								.orders = {.newest = {.era = 0, .number = 9}, .as_of = runtime::read_clock()},
								.upstreams = {},
								.pass_on = true});
			}

			/// Expects that the process reads the entries once more within a bound after it has heard of the revision,
			/// but not at once, and that it asks the store at most as often as confirmations are due.
			void expect_entries_read_again(message_kind heard_in)
			{
				run_for(500ms);
				send_repeatedly(heard_in);
				run_for(500ms);
				EXPECT_EQ(short_watches, 0) << "the answer may still be on its way";
				run_for(2'500ms);
				EXPECT_GE(short_watches, 1);
				run_for(500ms);
				EXPECT_LE(short_watches, 4s / steering::balancer_confirmation_ages.shortest);
			}

			void run_for(std::chrono::milliseconds time)
			{
				loop.call_at(runtime::read_clock() + time, [this] { loop.stop(); });
				loop.run();
			}
		};

		// Guards against an agent that admits flows to its draining upstream for up to 31 s, since the answer that told
		// of the change was lost: a balancer knows of it.
		TEST_F(known_revision_on_loopback, makes_an_agent_read_its_entry_again)
		{
			start(run_agent);
			expect_entries_read_again(message_kind::subscribe);
			EXPECT_EQ(reported, changed) << "other balancers learn of the revision too";
		}

		// Guards against balancers in touch that refuse an added route for longer than the bound: an agent that was
		// frozen told them of what had waited in its socket as if the store had confirmed it just now.
		TEST_F(known_revision_on_loopback, makes_no_evidence_younger_that_waited_at_a_frozen_agent)
		{
			start(run_agent);
			run_for(500ms);
			confirm_orders();
			run_for(report_interval);
			ASSERT_NE(reported_orders_as_of, monotonic_time{});
			::kill(process, SIGSTOP);
			run_for(200ms);
			confirm_orders();
			const auto sent = runtime::read_clock();
			run_for(1'500ms);
			::kill(process, SIGCONT);
			run_for(1'500ms);
			EXPECT_LE(reported_orders_as_of, sent + 10ms);
			confirm_orders();
			run_for(report_interval);
			EXPECT_GT(reported_orders_as_of, sent + 2s) << "what arrives later is taken as it is";
		}

		// Guards against a balancer that places flows at a draining upstream for up to 11 s, since the answer that told
		// of the change was lost: the upstream's agent knows of it.
		TEST_F(known_revision_on_loopback, makes_a_balancer_read_the_entries_again)
		{
			start(run_balancer);
			expect_entries_read_again(message_kind::load);
		}
	}
}
