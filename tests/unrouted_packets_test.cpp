#include "node/unrouted_packets.hpp"
#include "node_on_loopback.hpp"
#include "steering_world.hpp"

#include <gtest/gtest.h>

#include <array>

namespace nutmegturn::node::testing
{
	namespace
	{
		using namespace std::chrono_literals;

		/// Returns the item of a configuration with one route.
		[[nodiscard]] std::string configuration_item(int version, int revision, std::string_view host)
		{
			return item(
				"op/config", revision,
				fmt::format(
					R"({{"version":{},"routes":[{{"host":"{}","prefix":"/443/","service":"desk"}}],"services":[]}})",
					version, host));
		}

		/// Packets of a route that a balancer doesn't know, against a store whose long watches are never answered.
		class unrouted_packets_on_loopback : public node_on_loopback
		{
		protected:
			unrouted_packets_on_loopback() : node_on_loopback{17'434} {}

			bool route_added = false;
			bool store_answers = true;
			std::vector<bool> steered; ///< For each packet that was steered, whether its route was known.
			unrouted_packets packets{
				shared,
				[this](auto) { steered.push_back(shared.catalog.routes.contains(steering::testing::route_address)); }};

			status_response answer(std::string_view target) const override
			{
				if (target.starts_with("/kv-range?prefix=op/"))
				{
					return {.status = 200,
							.body =
								fmt::format(R"({{"items":[{}],"as_of":5}})", configuration_item(3, 5, "198.18.0.9"))};
				}
				if (target.starts_with("/kv-range"))
				{
					return {.status = 200, .body = R"({"items":[],"as_of":5})"};
				}
				if (!store_answers || target.ends_with("wait_ms=30000"))
				{
					return {.status = lost, .body = {}};
				}
				const auto change = route_added ? configuration_item(4, 6, "198.18.0.1") : std::string{};
				return {.status = 200, .body = fmt::format(R"({{"events":[{}],"as_of":6}})", change)};
			}

			void SetUp() override
			{
				shared.orders_reader.set_answer_handler([this] { packets.on_store_answer(); });
				read_store();
				ASSERT_TRUE(shared.configuration_current());
			}

			bool keep_packet()
			{
				return packets.keep(std::array{std::byte{1}});
			}
		};

		// Guards against resets of open flows whose route this process does not know, since the answer that told of it
		// was lost.
		TEST_F(unrouted_packets_on_loopback, are_steered_by_a_route_whose_change_was_lost)
		{
			route_added = true;
			ASSERT_TRUE(keep_packet());
			EXPECT_TRUE(steered.empty()) << "a pending watch does not show that the route is missing";
			run_until([this] { return !steered.empty(); });
			EXPECT_EQ(steered, std::vector{true});
		}

		// Guards against callers that wait for their time limit at a route that does not exist.
		TEST_F(unrouted_packets_on_loopback, are_released_at_once_when_the_route_does_not_exist)
		{
			ASSERT_TRUE(keep_packet());
			run_until([this] { return !steered.empty(); });
			EXPECT_EQ(steered, std::vector{false});
			ASSERT_TRUE(keep_packet());
			ASSERT_TRUE(keep_packet());
			EXPECT_EQ(steered.size(), 1U) << "the answer is older than these packets";
			run_until([this] { return steered.size() >= 3; });
			EXPECT_EQ(steered.size(), 3U) << "confirmations that follow each other are delayed, not left out";
		}

		// Guards against resets while the store does not answer, and against unbounded memory meanwhile.
		TEST_F(unrouted_packets_on_loopback, are_dropped_while_the_store_is_silent)
		{
			store_answers = false;
			for (std::size_t i = 0; i < unrouted_packets::max_packets; ++i)
			{
				ASSERT_TRUE(keep_packet());
			}
			EXPECT_FALSE(keep_packet());
			run_for(1'500ms);
			EXPECT_FALSE(shared.configuration_current());
			EXPECT_FALSE(keep_packet());
			EXPECT_TRUE(steered.empty());
		}
	}
}
