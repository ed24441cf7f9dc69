#include "nutmegturn/steering/outstanding_work.hpp"

#include "steering_world.hpp"

#include <gtest/gtest.h>

namespace nutmegturn::steering::testing
{
	namespace
	{
		constexpr ipv4_endpoint other_route{.ip = ipv4{0xc6120002}, .port = 443};

		/// Returns the flow of a caller.
		flow_id flow_from(std::uint16_t port, const ipv4_endpoint& route = route_address)
		{
			return {.caller = {.ip = caller_address.ip, .port = port}, .route = route};
		}

		request_costs learned(const ipv4_endpoint& route, milliseconds cost, int requests)
		{
			request_costs costs;
			for (int i = 0; i < requests; ++i)
			{
				record_cost(costs, route, request_size::single_packet, cost, start + i * 10ms);
			}
			return costs;
		}

		// Guards against a mean that one size or route takes from another one, and an estimate of 0 for a new route.
		TEST(steering_request_cost, is_learned_by_route_and_size)
		{
			auto costs = learned(route_address, 10ms, 20);
			record_cost(costs, route_address, request_size::several_packets, 100ms, start);
			EXPECT_NEAR(expected_cost(costs, route_address, request_size::single_packet).mean.count(), 10, 0.1);
			EXPECT_NEAR(expected_cost(costs, route_address, request_size::several_packets).mean.count(), 100, 0.1);
			EXPECT_EQ(expected_cost(costs, other_route, request_size::single_packet).mean, costs.all.mean);
			EXPECT_EQ(expected_cost(request_costs{}).mean, assumed_cost);
		}

		// Guards against an estimate that follows a change of the cost too slowly or follows each single request.
		TEST(steering_request_cost, halves_weight_of_the_past_in_64_requests_or_10_seconds)
		{
			auto costs = learned(route_address, 10ms, 1'000);
			const auto changed_at = start + 10s;
			auto after_pause = costs;
			for (int i = 0; i < 64; ++i)
			{
				record_cost(costs, route_address, request_size::single_packet, 110ms, changed_at);
			}
			EXPECT_NEAR(expected_cost(costs).mean.count(), 60, 5);
			const auto weight = after_pause.all.weight;
			record_cost(after_pause, route_address, request_size::single_packet, 10ms, changed_at + 10s);
			EXPECT_NEAR(after_pause.all.weight, weight / 2 + 1, 1);
		}

		// Guards against an estimate that claims to be certain after few requests.
		TEST(steering_request_cost, becomes_more_certain_with_more_requests)
		{
			request_costs few;
			request_costs many;
			for (int i = 0; i < 200; ++i)
			{
				auto& costs = i < 4 ? few : many;
				record_cost(costs, route_address, request_size::single_packet, i % 2 == 0 ? 20ms : 40ms, start);
			}
			EXPECT_GT(expected_cost(few).uncertainty, 5 * expected_cost(many).uncertainty / 2);
			EXPECT_NEAR(expected_cost(many).deviation.count(), 10, 1);
		}

		// Guards against a table that grows with the number of routes, and one request that spoils the mean for good.
		TEST(steering_request_cost, is_bounded)
		{
			request_costs costs;
			for (std::uint32_t i = 0; i <= max_cost_routes; ++i)
			{
				const ipv4_endpoint route{.ip = ipv4{i}, .port = 443};
				record_cost(costs, route, request_size::single_packet, 10ms, start + i * 1ms);
			}
			EXPECT_EQ(costs.routes.size(), max_cost_routes);
			EXPECT_FALSE(costs.routes.contains({.ip = ipv4{0}, .port = 443}));
			record_cost(costs, other_route, request_size::single_packet, std::chrono::hours{1}, start + 2s);
			EXPECT_EQ(expected_cost(costs, other_route, request_size::single_packet).mean, max_request_cost);
		}

		// Guards against time in the upstream's queue that is learned as cost: with one slot, three requests that are
		// delivered together would seem to cost 10, 20 and 30 ms.
		TEST(steering_outstanding_work, tells_service_time_from_time_in_the_queue)
		{
			outstanding_work work;
			for (std::uint16_t i = 1; i <= 3; ++i)
			{
				record_request_packet(work, flow_from(i), true, 1, start);
			}
			for (std::uint16_t i = 1; i <= 3; ++i)
			{
				const auto answered = record_response(work, flow_from(i), 1, start + i * 10ms);
				ASSERT_TRUE(answered);
				EXPECT_EQ(answered->cost, 10ms);
			}
		}

		// Guards against costs learned from requests whose start is not known.
		TEST(steering_outstanding_work, does_not_measure_requests_with_unknown_start)
		{
			outstanding_work work;
			record_request_packet(work, flow_from(1), false, 1, start);
			record_request_packet(work, flow_from(2), true, 1, start);
			EXPECT_FALSE(record_response(work, flow_from(2), 1, start + 10ms)) << "answered while taken for queued";
			EXPECT_FALSE(record_response(work, flow_from(1), 1, start + 10ms)) << "beginning not seen";
			record_request_packet(work, flow_from(3), true, 0, start);
			EXPECT_FALSE(record_response(work, flow_from(3), 0, start + 10ms)) << "unknown number of slots";
			EXPECT_EQ(work.started, 0U);
		}

		// Guards against slots that stay taken when flows end without a response.
		TEST(steering_outstanding_work, starts_queued_request_when_a_flow_ends)
		{
			outstanding_work work;
			record_request_packet(work, flow_from(1), true, 1, start);
			record_request_packet(work, flow_from(2), true, 1, start);
			discard_request(work, flow_from(1), 1, start + 5ms);
			EXPECT_EQ(work.started, 1U);
			const auto answered = record_response(work, flow_from(2), 1, start + 20ms);
			ASSERT_TRUE(answered);
			EXPECT_EQ(answered->cost, 15ms);
		}

		// Guards against a lost response that holds a slot forever.
		TEST(steering_outstanding_work, forgets_requests_after_ten_seconds)
		{
			outstanding_work work;
			record_request_packet(work, flow_from(1), true, 1, start);
			record_request_packet(work, flow_from(2), true, 1, start + 9s);
			discard_overdue_requests(work, 1, start + 9s);
			EXPECT_EQ(work.requests.size(), 2U);
			discard_overdue_requests(work, 1, start + 10s);
			ASSERT_EQ(work.requests.size(), 1U);
			EXPECT_TRUE(work.requests.front().started);
		}

		// Guards against work that shrinks to nothing while a request runs for longer than expected, as on an upstream
		// that became slow, and against work that grows without bound when it hangs.
		TEST(steering_outstanding_work, grows_while_requests_overrun)
		{
			const auto costs = learned(route_address, 40ms, 300);
			outstanding_work work;
			record_request_packet(work, flow_from(1), true, 1, start);
			record_request_packet(work, flow_from(2), true, 1, start);
			EXPECT_NEAR(remaining_work(work, costs, start).count(), 80, 2);
			EXPECT_NEAR(remaining_work(work, costs, start + 30ms).count(), 50, 2);
			EXPECT_NEAR(remaining_work(work, costs, start + 400ms).count(), 140, 2);
			EXPECT_NEAR(remaining_work(work, costs, start + 9s).count(), 540, 2);
		}

		// Guards against a route of cheap requests that is counted like one of expensive requests, and a later packet
		// of a request that counts as another request.
		TEST(steering_outstanding_work, counts_each_request_with_the_cost_of_its_route_and_size)
		{
			auto costs = learned(route_address, 10ms, 300);
			for (int i = 0; i < 300; ++i)
			{
				record_cost(costs, other_route, request_size::several_packets, 100ms, start);
			}
			outstanding_work work;
			record_request_packet(work, flow_from(1), true, 1, start);
			record_request_packet(work, flow_from(2, other_route), true, 1, start);
			record_request_packet(work, flow_from(2, other_route), true, 1, start);
			EXPECT_EQ(work.requests.size(), 2U);
			EXPECT_NEAR(remaining_work(work, costs, start).count(), 110, 2);
		}

		// Guards against a work report without the agent's requests, against one whose mean is learned from requests
		// that were reset, and against work that remains after flows have ended.
		TEST(steering_work_report, has_work_and_cost_of_the_requests_at_the_upstream)
		{
			const auto known = small_catalog();
			agent_state state;
			state.gate.instance = instance(1);
			state.gate.zone = "a";
			state.gate.service = "desk";
			const auto send = [&](message_kind kind, const segment& packet, monotonic_time at)
			{ return handle_balancer_packet(state, known, about_flow(kind), packet, ipv4{9}, at).to_upstream; };
			ASSERT_TRUE(send(message_kind::open, opening(), start));
			auto now = start;
			for (std::uint32_t i = 0; i < 8; ++i)
			{
				EXPECT_EQ(make_work_report(state, known, now).mean_cost, 0ms) << "too few requests";
				ASSERT_TRUE(send(message_kind::flow_packet, data(1 + 100 * i), now));
				EXPECT_GT(make_work_report(state, known, now).outstanding, 0ms);
				now += 20ms;
				EXPECT_TRUE(handle_upstream_packet(state, reply(50), now).response_time);
				EXPECT_EQ(make_work_report(state, known, now).outstanding, 0ms);
			}
			EXPECT_EQ(make_work_report(state, known, now).mean_cost, 20ms);
			ASSERT_TRUE(send(message_kind::flow_packet, data(901), now));
			EXPECT_EQ(make_work_report(state, known, now).outstanding, 20ms);
			auto reset = reply(0);
			reset.rst = true;
			EXPECT_TRUE(handle_upstream_packet(state, reset, now + 500ms).to_caller);
			EXPECT_EQ(make_work_report(state, known, now).outstanding, 0ms);
			EXPECT_EQ(make_work_report(state, known, now).mean_cost, 20ms);
		}
	}
}
