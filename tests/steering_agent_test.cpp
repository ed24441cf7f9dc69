#include "steering_world.hpp"

#include <gtest/gtest.h>

namespace nutmegturn::steering::testing
{
	namespace
	{
		class an_agent : public ::testing::Test
		{
		protected:
			static constexpr ipv4 balancer{0x0a010901};

			catalog known = small_catalog();
			agent_state state;
			monotonic_time now = start + 10s;

			void SetUp() override
			{
				state.gate.instance = instance(1);
				state.gate.zone = "a";
				state.gate.service = key_of_service("desk");
			}

			agent_decision packet(message_kind kind, const segment& it)
			{
				return handle_balancer_packet(state, known, about_flow(kind), it, balancer, now);
			}

			agent_decision upstream(const segment& it)
			{
				return handle_upstream_packet(state, it, now);
			}

			void open_flow()
			{
				packet(message_kind::open, opening());
				upstream(reply(0, true));
				packet(message_kind::flow_packet, data());
				upstream(reply(50));
			}
		};

		class an_agent_that_gets_an_opening_packet : public an_agent
		{
		};

		// Guards against balancers that never learn which upstream accepted.
		TEST_F(an_agent_that_gets_an_opening_packet, delivers_it_and_reports_the_acceptance)
		{
			EXPECT_TRUE(packet(message_kind::open, opening()).to_upstream);
			const auto decision = upstream(reply(0, true));
			EXPECT_TRUE(decision.to_caller);
			ASSERT_EQ(decision.replies.size(), 1U);
			EXPECT_EQ(decision.replies[0].kind, message_kind::held);
			EXPECT_EQ(decision.replies[0].balancer, balancer);
		}

		// Guards against a packet of one service that runs at another after an address was used again.
		TEST_F(an_agent_that_gets_an_opening_packet, declines_what_belongs_to_another_service)
		{
			state.gate.service = key_of_service("archive");
			const auto decision = packet(message_kind::open, opening());
			EXPECT_FALSE(decision.to_upstream);
			EXPECT_EQ(decision.replies.at(0).why, admission_status::other_service);
		}

		// Guards against a balancer with an old configuration that opens flows which the newer one forbids.
		TEST_F(an_agent_that_gets_an_opening_packet, declines_what_its_newer_configuration_sends_elsewhere)
		{
			put(known, "config", configured(9, {{.service = "archive", .weight = 1}}));
			EXPECT_EQ(packet(message_kind::open, opening()).replies.at(0).why, admission_status::other_service);
		}

		// Guards against new work in an evacuated zone through a balancer that has not heard of the order.
		TEST_F(an_agent_that_gets_an_opening_packet, declines_while_its_zone_is_evacuated)
		{
			put(known, "out/a", zone_evacuation{.zone = "a"});
			EXPECT_EQ(packet(message_kind::open, opening()).replies.at(0).why, admission_status::evacuated);
		}

		// Guards against a refusal that is answered with silence: the packet has to reach another upstream.
		TEST_F(an_agent_that_gets_an_opening_packet, returns_it_to_the_balancer_when_the_upstream_gives_it_back)
		{
			packet(message_kind::open, opening());
			auto back = opening();
			back.bounced = true;
			const auto decision = upstream(back);
			EXPECT_FALSE(decision.to_caller);
			ASSERT_EQ(decision.replies.size(), 1U);
			EXPECT_EQ(decision.replies[0].kind, message_kind::declined);
			EXPECT_TRUE(decision.replies[0].with_packet);
		}

		class an_agent_of_a_cold_upstream : public an_agent
		{
		protected:
			std::uint16_t next_port = 1'000;

			std::size_t admitted_at_once(std::size_t offered)
			{
				std::size_t n = 0;
				for (std::size_t i = 0; i < offered; ++i)
				{
					auto it = opening();
					it.source.port = next_port++;
					n += packet(message_kind::open, it).to_upstream ? 1U : 0U;
				}
				upstream(reply(0, true));
				return n;
			}

			void cold_with_rate(double rate)
			{
				auto config = configured(4, {{.service = "desk", .weight = 1}});
				config.services[0].cold_requests_per_s = rate;
				put(known, "config", config);
				auto cold = entry(1, "desk", "a");
				cold.cold_remaining = 60s;
				put(known, "u1", cold, now);
			}
		};

		// Guards against an upstream in cold start that falls over: the bound is 1.5 times the rate and 5 more.
		TEST_F(an_agent_of_a_cold_upstream, admits_no_more_in_a_second_than_it_bears)
		{
			cold_with_rate(10.0);
			EXPECT_LE(admitted_at_once(100), 20U);
			now += 500ms;
			EXPECT_EQ(admitted_at_once(100), 0U);
			now += 500ms;
			EXPECT_GE(admitted_at_once(100), 10U);
		}

		// Guards against turning callers away for seconds after every start where no rate is published.
		TEST_F(an_agent_of_a_cold_upstream, is_not_limited_without_a_published_rate)
		{
			cold_with_rate(0.0);
			EXPECT_EQ(admitted_at_once(100), 100U);
		}

		class an_agent_with_an_open_flow : public an_agent
		{
		};

		// Guards against a load report that counts idle flows or answered requests as work.
		TEST_F(an_agent_with_an_open_flow, counts_a_request_from_its_data_to_the_first_data_of_the_answer)
		{
			open_flow();
			EXPECT_EQ(make_load_report(state, known, now).requests_in_progress, 0);
			packet(message_kind::flow_packet, data(101));
			EXPECT_EQ(make_load_report(state, known, now).requests_in_progress, 1);
			packet(message_kind::flow_packet, data(101));
			EXPECT_EQ(make_load_report(state, known, now).requests_in_progress, 1);
			upstream(reply(0));
			EXPECT_EQ(make_load_report(state, known, now).requests_in_progress, 1);
			upstream(reply(1'200));
			upstream(reply(1'200));
			EXPECT_EQ(make_load_report(state, known, now).requests_in_progress, 0);
			packet(message_kind::flow_packet, data(101));
			EXPECT_EQ(make_load_report(state, known, now).requests_in_progress, 0)
				<< "a repeated packet is no new request";
		}

		// Guards against packets that keep going to an upstream which lost the flow: nobody told the balancer when the
		// other of two upstreams that accepted the opening packet was the caller's choice.
		TEST_F(an_agent_with_an_open_flow, tells_the_balancer_when_the_upstream_gives_a_packet_back)
		{
			packet(message_kind::open, opening());
			upstream(reply(0, true));
			packet(message_kind::flow_packet, data());
			auto back = data();
			back.bounced = true;
			const auto decision = upstream(back);
			ASSERT_EQ(decision.replies.size(), 1U);
			EXPECT_EQ(decision.replies[0].kind, message_kind::not_held);
			EXPECT_EQ(decision.replies[0].balancer, balancer);
			EXPECT_TRUE(decision.replies[0].with_packet);
		}

		// Guards against a forgotten open flow: a late copy of the opening packet comes back, since the flow is open
		// already, and a later search would find no holder and reset the flow.
		TEST_F(an_agent_with_an_open_flow, keeps_it_when_a_late_copy_of_the_opening_packet_comes_back)
		{
			open_flow();
			packet(message_kind::open, opening(2));
			auto back = opening(2);
			back.bounced = true;
			EXPECT_TRUE(upstream(back).replies.empty());
			EXPECT_EQ(answer_query(state, std::array{flow}).at(0).presence, flow_presence::held);
		}

		// Guards against callers that wait for an answer of an upstream that has ended.
		TEST_F(an_agent_with_an_open_flow, resets_it_when_nothing_listens_at_the_upstream)
		{
			open_flow();
			const auto resets = handle_connection_refused(state, now).resets;
			ASSERT_EQ(resets.size(), 1U);
			EXPECT_EQ(resets[0].flow, flow);
			EXPECT_EQ(resets[0].sequence, 77U);
			EXPECT_EQ(make_load_report(state, known, now).admission, admission_status::upstream_unreachable);
		}

		// Guards against a search in the whole zone after each restart of a balancer.
		TEST_F(an_agent_with_an_open_flow, announces_it_once_to_its_zone_and_again_to_a_new_balancer)
		{
			message greeting;
			greeting.zone = key_of_zone("a");
			EXPECT_TRUE(handle_subscription(state, greeting, balancer, now).flows.empty());
			open_flow();
			const auto notices = collect_newly_held_flows(state);
			ASSERT_EQ(notices.size(), 1U);
			EXPECT_EQ(notices[0].flows, std::vector{flow});
			EXPECT_EQ(notices[0].balancers, std::vector{balancer});
			EXPECT_TRUE(collect_newly_held_flows(state).empty());
			greeting.just_started = true;
			EXPECT_EQ(handle_subscription(state, greeting, ipv4{0x0a010902}, now).flows, std::vector{flow});
		}

		// Guards against copies of searched packets at upstreams that cannot hold the flow, and against an agent that
		// restarted alone and denies flows which it has not seen.
		TEST_F(an_agent_with_an_open_flow, answers_a_query_by_what_it_can_know)
		{
			const std::array asked{flow};
			EXPECT_EQ(answer_query(state, asked).at(0).presence, flow_presence::unknown);
			open_flow();
			EXPECT_EQ(answer_query(state, asked).at(0).presence, flow_presence::held);
			const flow_id other{.caller = {.ip = ipv4{1}, .port = 1}, .route = route_address};
			EXPECT_EQ(answer_query(state, std::array{other}).at(0).presence, flow_presence::unknown);
			state.knows_all_flows = true;
			EXPECT_EQ(answer_query(state, std::array{other}).at(0).presence, flow_presence::not_held);
		}

		// Guards against new flows to an upstream that resets part of its requests while its health check succeeds.
		TEST_F(an_agent_with_an_open_flow, reports_the_share_of_requests_that_its_upstream_resets)
		{
			open_flow();
			EXPECT_EQ(make_load_report(state, known, now).failure_percent, 0U);
			auto reset = reply(0);
			reset.rst = true;
			for (std::uint32_t i = 0; i < 20; ++i)
			{
				open_flow();
				packet(message_kind::flow_packet, data(1'000 + i));
				upstream(reset);
			}
			const auto failure_percent = make_load_report(state, known, now).failure_percent;
			EXPECT_GE(failure_percent, 40U);
			EXPECT_LE(failure_percent, 60U) << "half of the requests were answered";
			now += 10s;
			EXPECT_LE(make_load_report(state, known, now).failure_percent, 2U) << "it has to be tried again";
		}

		// Guards against a balancer that starts while the store is down and finds nobody to learn from.
		TEST_F(an_agent_with_an_open_flow, names_another_balancer_to_each)
		{
			EXPECT_EQ(other_balancer(state, balancer), ipv4{});
			EXPECT_TRUE(handle_subscription(state, message{}, balancer, now).flows.empty());
			EXPECT_EQ(other_balancer(state, balancer), ipv4{});
			EXPECT_TRUE(handle_subscription(state, message{}, ipv4{0x0a010902}, now).flows.empty());
			EXPECT_EQ(other_balancer(state, balancer), ipv4{0x0a010902});
		}

		// Guards against searches that never end after a power loss, since no agent would claim to know its flows.
		TEST_F(an_agent_with_an_open_flow, knows_all_flows_when_its_upstream_is_not_older)
		{
			auto own = entry(1, "desk", "a");
			own.started_at_ms = 5'000'000;
			put(known, "u1", own);
			note_upstream_start(state, known, 5'060'000);
			EXPECT_FALSE(state.knows_all_flows) << "the upstream has been there before this agent";
			note_upstream_start(state, known, 5'000'900);
			EXPECT_TRUE(state.knows_all_flows);
		}

		// Guards against flows that are tried at all upstreams after an upstream ended: its agent could not deny them.
		TEST_F(an_agent_with_an_open_flow, knows_all_flows_once_nothing_listens_at_the_upstream)
		{
			open_flow();
			EXPECT_EQ(handle_connection_refused(state, now).resets.size(), 1U);
			EXPECT_EQ(answer_query(state, std::array{flow}).at(0).presence, flow_presence::not_held);
		}

		// Guards against links that carry each searched packet twice for each upstream: the balancer keeps it.
		TEST_F(an_agent_with_an_open_flow, does_not_send_a_trial_back_with_its_packet)
		{
			EXPECT_TRUE(packet(message_kind::probe, data()).to_upstream);
			auto bounced = data();
			bounced.bounced = true;
			const auto decision = upstream(bounced);
			ASSERT_EQ(decision.replies.size(), 1U);
			EXPECT_EQ(decision.replies[0].kind, message_kind::not_held);
			EXPECT_FALSE(decision.replies[0].with_packet);
		}

		// Guards against resets of open flows: a search tried the packet of a flow that another upstream held at one
		// that had ended, and its agent reset the flow.
		TEST_F(an_agent_with_an_open_flow, answers_a_search_that_was_tried_at_an_upstream_that_ended)
		{
			EXPECT_TRUE(packet(message_kind::probe, data()).to_upstream);
			const auto decision = handle_connection_refused(state, now);
			EXPECT_TRUE(decision.resets.empty());
			ASSERT_EQ(decision.replies.size(), 1U);
			EXPECT_EQ(decision.replies[0].kind, message_kind::not_held);
			EXPECT_EQ(decision.replies[0].balancer, balancer);
			EXPECT_FALSE(decision.replies[0].with_packet);
		}

		class an_agent_that_restarted : public an_agent
		{
		protected:
			static constexpr std::int64_t started_at_ms = 5'000'000;

			void SetUp() override
			{
				an_agent::SetUp();
				state.gate.started = now;
				auto before = entry(1, "desk", "a");
				before.started_at_ms = started_at_ms - 60'000;
				put(known, "u1", before);
			}

			watch_scope part()
			{
				return choose_watch_scope(state, known, started_at_ms, now);
			}
		};

		// Guards against callers that wait for seconds after a power loss: the agent followed the entry of the upstream
		// before and learned only from its lapse that another one runs.
		TEST_F(an_agent_that_restarted, looks_for_an_upstream_that_restarted_with_it)
		{
			EXPECT_EQ(part().key, "");
			EXPECT_EQ(part().coalescing_delay, identification_coalescing_delay);
			auto after = entry(1, "desk", "a");
			after.started_at_ms = started_at_ms + 20;
			put(known, "u9", after);
			EXPECT_EQ(part().key, "u9");
			EXPECT_EQ(part().coalescing_delay, agent_coalescing_delay);
		}

		// Guards against calls to the store by agents that restarted alone, for as long as all upstreams change.
		TEST_F(an_agent_that_restarted, follows_its_entry_once_the_upstream_shows_that_it_is_older)
		{
			packet(message_kind::probe, data());
			upstream(reply(50));
			EXPECT_EQ(part().key, "u1");
		}

		// Guards against a new upstream that passes for an older one because it answers a flow of its own.
		TEST_F(an_agent_that_restarted, takes_a_flow_that_it_opened_for_no_sign_of_an_older_upstream)
		{
			packet(message_kind::open, opening());
			upstream(reply(0, true));
			EXPECT_EQ(part().key, "");
		}

		// Guards against an agent that follows all upstreams for good because its own did not restart.
		TEST_F(an_agent_that_restarted, follows_the_entry_that_stays)
		{
			now += identification_time;
			EXPECT_EQ(part().key, "u1");
			put(known, "u1", removed_record{});
			EXPECT_EQ(part().key, "");
			EXPECT_EQ(part().coalescing_delay, agent_coalescing_delay);
		}

		class an_agent_that_stops : public an_agent
		{
		protected:
			admission_status reported()
			{
				return make_load_report(state, known, now).admission;
			}
		};

		// Guards against searches that wait for an agent which will not answer any more although it had no flow.
		TEST_F(an_agent_that_stops, says_when_its_upstream_holds_no_flow)
		{
			state.knows_all_flows = true;
			open_flow();
			state.gate.stopping = true;
			EXPECT_EQ(reported(), admission_status::stopping);
			static_cast<void>(handle_connection_refused(state, now));
			EXPECT_EQ(reported(), admission_status::drained);
		}

		// Guards against resets of flows at an upstream whose agent stops before it has learned of them.
		TEST_F(an_agent_that_stops, does_not_say_so_while_it_cannot_know)
		{
			state.gate.stopping = true;
			EXPECT_EQ(reported(), admission_status::stopping);
		}
	}
}
