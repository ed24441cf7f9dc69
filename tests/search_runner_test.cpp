#include "node/search_runner.hpp"
#include "node_on_loopback.hpp"
#include "steering_world.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>

namespace nutmegturn::node::testing
{
	namespace
	{
		using namespace std::chrono_literals;
		using steering::flow_presence;
		using steering::ipv4;
		using steering::message_kind;
		using steering::testing::flow;
		using steering::testing::instance;

		/// End of the target of a watch that waits for changes.
		constexpr std::string_view long_watch = "wait_ms=30000";

		/// Balancer's searches against a store that has three upstreams, whose entries 1 and 2 were listed before the
		/// third registered, and whose long watches are never answered.
		class search_runner_on_loopback : public node_on_loopback
		{
		protected:
			search_runner_on_loopback() : node_on_loopback{17'433} {}

			bool third_registered = false;
			bool store_answers = true;
			steering::balancer_state state;
			steering::flow_id searched = flow;
			std::vector<ipv4> queried;   ///< Instances that were sent a query.
			std::vector<ipv4> delivered; ///< Instances that were sent the flow's packet.
			std::vector<reason> resets;
			search_runner searches{
				shared,
				state,
				{.send_packet = [this](ipv4 agent, message_kind kind, std::span<const std::byte>)
				 { (kind == message_kind::query ? queried : delivered).push_back(agent); },
				 .reset_flow = [this](const steering::flow_id&, std::uint32_t, reason why) { resets.push_back(why); }}};

			static std::string upstream(int number, int revision)
			{
				return item(
					fmt::format("servers/{}", number), revision,
					fmt::format(
						R"({{"service":"desk","address":"{}:8080","zone":"a","version":"v1","max_concurrency":5,)"
						R"("state":"ready","cold_remaining_ms":0,"sequence":1,"born":{}}})",
						to_string(instance(static_cast<std::uint32_t>(number))), 1'000 + number));
			}

			status_response answer(std::string_view target) const override
			{
				if (target.starts_with("/kv-range?prefix=op/"))
				{
					const auto config = item(
						"op/config", 5,
						R"({"version":3,"routes":[{"host":"198.18.0.1","prefix":"/443/","service":"desk"}],"services":[]})");
					return {.status = 200, .body = fmt::format(R"({{"items":[{}],"as_of":5}})", config)};
				}
				if (target.starts_with("/kv-range?prefix=servers/"))
				{
					return {.status = 200,
							.body = fmt::format(R"({{"items":[{},{}],"as_of":7}})", upstream(1, 6), upstream(2, 7))};
				}
				if (!store_answers || target.ends_with(long_watch) || target.starts_with("/kv-watch?prefix=op/"))
				{
					return {.status = lost, .body = {}};
				}
				return {.status = 200,
						.body = fmt::format(R"({{"events":[{}],"as_of":8}})", third_registered ? upstream(3, 8) : "")};
			}

			void SetUp() override
			{
				shared.upstreams_reader.set_answer_handler([this] { searches.on_store_answer(); });
				read_store();
				ASSERT_EQ(shared.catalog.upstreams.size(), 2U);
				state.zone = "a";
			}

			void search_flow()
			{
				auto packet = steering::testing::data();
				packet.source = searched.caller;
				queried.clear();
				const std::array bytes{std::byte{1}};
				const auto decision = steer_packet(state, shared.catalog, packet, shared.loop.now(), true);
				ASSERT_EQ(decision.what, steering::steering_decision::action::search);
				ASSERT_TRUE(searches.search(decision, packet, bytes));
				run_until([this] { return queried.size() >= 2; });
				ASSERT_EQ(queried, (std::vector{instance(1), instance(2)}));
			}

			void answer_query(std::uint32_t number, flow_presence presence)
			{
				std::array<std::byte, steering::encoded_answer_size> bytes{};
				steering::encode_answers(std::array{steering::flow_answer{.flow = searched, .presence = presence}},
										 bytes);
				auto msg = steering::testing::about_flow(message_kind::query_reply);
				msg.packet = bytes;
				searches.handle_answers(msg, instance(number));
			}
		};

		// Guards against resets of open flows at an upstream that this process does not know, since the answer that
		// told of it was lost: a watch without an answer was taken for one without changes.
		TEST_F(search_runner_on_loopback, finds_holder_whose_registration_was_lost)
		{
			third_registered = true;
			search_flow();
			answer_query(1, flow_presence::not_held);
			answer_query(2, flow_presence::not_held);
			run_until([this] { return queried.size() >= 3; });
			EXPECT_TRUE(resets.empty());
			ASSERT_EQ(queried.size(), 3U);
			EXPECT_EQ(queried.back(), instance(3));
			answer_query(3, flow_presence::held);
			EXPECT_EQ(delivered, std::vector{instance(3)});
		}

		// Guards against callers that wait for their time limit on a flow that no upstream holds: the store confirms at
		// once that no change was missed.
		TEST_F(search_runner_on_loopback, resets_flow_that_nobody_holds_once_the_store_confirms)
		{
			search_flow();
			answer_query(1, flow_presence::not_held);
			answer_query(2, flow_presence::not_held);
			EXPECT_TRUE(resets.empty()) << "the last answer of the store is older than the denials";
			run_until([this] { return !resets.empty(); });
			EXPECT_EQ(resets, std::vector{reason::holder_gone});
			EXPECT_EQ(queried.size(), 2U);
		}

		// Guards against a reset that waits for an answer of the store although one has come since the search began.
		TEST_F(search_runner_on_loopback, resets_flow_at_once_if_the_store_has_confirmed_since_the_search_began)
		{
			search_flow();
			const auto now = shared.loop.now();
			shared.upstreams_reader.confirm(now);
			run_until([this, now] { return shared.upstreams_reader.is_up_to_date_since(now); });
			answer_query(1, flow_presence::not_held);
			answer_query(2, flow_presence::not_held);
			EXPECT_EQ(resets, std::vector{reason::holder_gone});
		}

		// Guards against a store that is called without pause while flows are denied one after the other.
		TEST_F(search_runner_on_loopback, confirms_many_denied_flows_with_few_calls)
		{
			const auto started = shared.loop.now();
			for (int i = 0; i < 20; ++i)
			{
				++searched.caller.port;
				search_flow();
				answer_query(1, flow_presence::not_held);
				answer_query(2, flow_presence::not_held);
				run_for(10ms);
			}
			run_until([this] { return resets.size() >= 20; });
			EXPECT_EQ(resets.size(), 20U);
			// At most one call for each 20 ms.
			const auto confirmations = shared.upstreams_reader.confirmations();
			EXPECT_LE(confirmations, static_cast<std::uint64_t>((shared.loop.now() - started) / 20ms) + 1);
			EXPECT_EQ(std::ranges::count_if(store.calls, [](const auto& it) { return it.ends_with("wait_ms=1"); }),
					  static_cast<std::ptrdiff_t>(confirmations));
		}

		// Guards against resets while the store gives no answer at all.
		TEST_F(search_runner_on_loopback, keeps_flow_while_the_store_is_silent)
		{
			store_answers = false;
			search_flow();
			answer_query(1, flow_presence::not_held);
			answer_query(2, flow_presence::not_held);
			run_for(500ms);
			EXPECT_TRUE(resets.empty());
		}
	}
}
