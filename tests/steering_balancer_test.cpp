#include "nutmegturn/steering/holder_search.hpp"

#include "steering_world.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace nutmegturn::steering::testing
{
	namespace
	{
		using action = steering_decision::action;

		class a_balancer : public ::testing::Test
		{
		protected:
			catalog known = small_catalog();
			balancer_state state{.zone = "a", .started = start, .flows = {}, .loads = {}};
			monotonic_time now = start;

			steering_decision packet(const segment& it, bool current = true)
			{
				return steer_packet(state, known, it, now, current);
			}

			steering_decision hear(message_kind kind, ipv4 agent, const segment* it = nullptr)
			{
				return handle_agent_message(state, known, about_flow(kind), it, agent, now);
			}

			void hear_state(ipv4 agent, admission_status reported)
			{
				auto it = about_flow(message_kind::load);
				it.load.admission = reported;
				EXPECT_EQ(handle_agent_message(state, known, it, nullptr, agent, now).what, action::drop);
			}
		};

		class a_balancer_that_opens_a_flow : public a_balancer
		{
		};

		// Guards against flows that leave their zone although it has free slots.
		TEST_F(a_balancer_that_opens_a_flow, chooses_an_upstream_of_its_own_zone)
		{
			const auto decision = packet(opening());
			ASSERT_EQ(decision.what, action::forward);
			EXPECT_EQ(decision.kind, message_kind::open);
			ASSERT_EQ(decision.agents.size(), 1U);
			EXPECT_NE(decision.agents[0], instance(3));
			EXPECT_NE(decision.agents[0], instance(4));
		}

		// Guards against requests at an upstream that resets part of them, and against one that never gets work again.
		TEST_F(a_balancer_that_opens_a_flow, gives_less_to_an_upstream_that_fails_requests)
		{
			auto report = about_flow(message_kind::load);
			report.load.failure_percent = 40;
			EXPECT_EQ(handle_agent_message(state, known, report, nullptr, instance(1), now).what, action::drop);
			EXPECT_EQ(packet(opening()).agents, std::vector{instance(2)});
			report.load.failure_percent = 0;
			report.load.requests_in_progress = 15;
			for (const std::uint32_t busy : {2U, 3U})
			{
				EXPECT_EQ(handle_agent_message(state, known, report, nullptr, instance(busy), now).what, action::drop);
			}
			state.flows.clear();
			EXPECT_EQ(packet(opening()).agents, std::vector{instance(1)});
		}

		// Guards against callers that wait for an upstream which has fallen silent.
		TEST_F(a_balancer_that_opens_a_flow, sends_a_copy_elsewhere_while_the_first_choice_is_silent)
		{
			const auto first = packet(opening()).agents.at(0);
			now += 200ms;
			EXPECT_NE(packet(opening(1)).agents.at(0), first);
		}

		// Guards against one caller holding two flows because a copy opened another one.
		TEST_F(a_balancer_that_opens_a_flow, sends_a_copy_to_the_upstream_that_accepted)
		{
			const auto first = packet(opening()).agents.at(0);
			hear(message_kind::held, first);
			now += 200ms;
			EXPECT_EQ(packet(opening(1)).agents.at(0), first);
		}

		// Guards against a refusal while another upstream would have taken the flow.
		TEST_F(a_balancer_that_opens_a_flow, tries_all_upstreams_before_it_refuses)
		{
			auto decision = packet(opening());
			const auto again = opening();
			std::vector<ipv4> tried;
			while (decision.what == action::forward)
			{
				ASSERT_LT(tried.size(), 3U);
				tried.push_back(decision.agents.at(0));
				decision = hear(message_kind::declined, tried.back(), &again);
			}
			EXPECT_EQ(tried.size(), 3U);
			EXPECT_EQ(decision.what, action::reset);
			EXPECT_EQ(decision.why, reason::all_declined);
		}

		// Guards against a reset of an open flow: a copy that all others declined led to a reset while the acceptance
		// of the slow first choice was under way.
		TEST_F(a_balancer_that_opens_a_flow, does_not_refuse_while_one_that_was_asked_may_have_accepted)
		{
			const auto first = packet(opening()).agents.at(0);
			now += 200ms;
			const auto copy = opening(1);
			auto decision = packet(copy);
			while (decision.what == action::forward)
			{
				ASSERT_NE(decision.agents.at(0), first);
				decision = hear(message_kind::declined, decision.agents.at(0), &copy);
			}
			EXPECT_EQ(decision.what, action::drop);
			EXPECT_EQ(hear(message_kind::held, first).what, action::drop);
			EXPECT_EQ(packet(data()).agents, std::vector{first});
		}

		// Guards against a caller that waits for its timeout because a late refusal was not counted.
		TEST_F(a_balancer_that_opens_a_flow, refuses_when_the_slow_first_choice_declines_too)
		{
			const auto first = packet(opening()).agents.at(0);
			now += 200ms;
			const auto copy = opening(1);
			auto decision = packet(copy);
			while (decision.what == action::forward)
			{
				decision = hear(message_kind::declined, decision.agents.at(0), &copy);
			}
			EXPECT_EQ(hear(message_kind::declined, first, &copy).what, action::reset);
		}

		// Guards against new work on upstreams that leave and in zones that are evacuated.
		TEST_F(a_balancer_that_opens_a_flow, avoids_draining_upstreams_and_evacuated_zones)
		{
			auto draining = entry(1, "desk", "a");
			draining.readiness = upstream_readiness::draining;
			put(known, "u1", draining);
			EXPECT_EQ(packet(opening()).agents.at(0), instance(2));
			put(known, "out/a", zone_evacuation{.zone = "a"});
			now += 200ms;
			EXPECT_EQ(packet(opening(1)).agents.at(0), instance(3));
		}

		// Guards against a caller that waits for its timeout when nothing can serve it.
		TEST_F(a_balancer_that_opens_a_flow, refuses_at_once_when_no_upstream_is_left)
		{
			for (const auto* key : {"u1", "u2", "u3"})
			{
				put(known, key, removed_record{});
			}
			now += expired_entry_grace;
			const auto decision = packet(opening());
			EXPECT_EQ(decision.what, action::reset);
			EXPECT_EQ(decision.why, reason::no_upstream);
		}

		// Guards against refusing a route that a newer configuration has.
		TEST_F(a_balancer_that_opens_a_flow, refuses_an_unknown_route_only_with_a_current_configuration)
		{
			auto it = opening();
			it.destination.port = 444;
			EXPECT_EQ(packet(it, false).what, action::drop);
			EXPECT_EQ(packet(it, true).what, action::reset);
		}

		class a_balancer_without_memory_of_a_flow : public a_balancer
		{
		};

		// Guards against resets of open flows whose service the route no longer names: on a calm day 74 flows were
		// reset by balancers that started after the weights had changed.
		TEST_F(a_balancer_without_memory_of_a_flow, asks_the_upstreams_of_all_services_while_it_is_new)
		{
			const auto decision = packet(data());
			EXPECT_EQ(decision.what, action::search);
			EXPECT_EQ(decision.agents.size(), 4U);
		}

		// Guards against searches in a whole large deployment for the rest of a process's life.
		TEST_F(a_balancer_without_memory_of_a_flow, later_asks_only_services_that_the_route_names_or_has_named)
		{
			now += former_upstream_retention;
			EXPECT_EQ(packet(data()).agents.size(), 3U);
			put(known, "config", configured(4, {{.service = "archive", .weight = 1}}), now);
			now += 1s;
			EXPECT_EQ(packet(data()).agents.size(), 4U);
		}

		// Guards against a flow that never counts as gone because an upstream that left cannot answer, and against a
		// search that misses it while it still serves.
		TEST_F(a_balancer_without_memory_of_a_flow, asks_an_upstream_without_entry_but_does_not_wait_for_it)
		{
			put(known, "u1", removed_record{});
			const auto decision = packet(data());
			EXPECT_EQ(decision.agents.size(), 4U);
			EXPECT_EQ(std::ranges::count(decision.agents, instance(1)), 1);
			EXPECT_EQ(std::ranges::count(decision.required, instance(1)), 0);
		}

		// Guards against a reset of a flow at an upstream whose entry lapsed in an outage while it serves.
		TEST_F(a_balancer_without_memory_of_a_flow, waits_for_an_upstream_without_entry_whose_agent_is_alive)
		{
			put(known, "u1", removed_record{});
			EXPECT_EQ(hear(message_kind::load, instance(1)).what, action::drop);
			now += 1s;
			EXPECT_EQ(std::ranges::count(packet(data()).required, instance(1)), 1);
			now += 2s;
			EXPECT_EQ(std::ranges::count(packet(data()).required, instance(1)), 0);
		}

		// Guards against callers that wait for their timeout: each upstream that was replaced left an agent that could
		// not answer for three seconds, and no search ended meanwhile.
		TEST_F(a_balancer_without_memory_of_a_flow, does_not_wait_for_an_agent_that_stopped_without_flows)
		{
			hear_state(instance(1), admission_status::stopping);
			EXPECT_EQ(std::ranges::count(packet(data()).required, instance(1)), 1) << "its upstream may hold the flow";
			hear_state(instance(1), admission_status::drained);
			EXPECT_EQ(std::ranges::count(packet(data()).required, instance(1)), 0);
		}

		// Guards against the same wait where the upstream left the store before its agent stopped.
		TEST_F(a_balancer_without_memory_of_a_flow, does_not_wait_for_an_agent_that_stopped_after_its_upstream)
		{
			put(known, "u1", removed_record{});
			hear_state(instance(1), admission_status::stopping);
			EXPECT_EQ(std::ranges::count(packet(data()).required, instance(1)), 0);
		}

		// Guards against callers that wait for their timeout on a flow whose upstream lost its power: packets went on
		// to the agent that was there.
		TEST_F(a_balancer_without_memory_of_a_flow, looks_for_another_holder_when_the_known_one_is_gone)
		{
			hear(message_kind::held, instance(1));
			put(known, "u1", removed_record{});
			now += 1s;
			EXPECT_EQ(packet(data()).what, action::forward) << "its agent was heard lately";
			now += 2s;
			EXPECT_EQ(packet(data()).what, action::search);
		}

		// Guards against resets of open flows while only the agent restarts.
		TEST_F(a_balancer_without_memory_of_a_flow, keeps_the_known_holder_while_the_store_lists_it)
		{
			hear(message_kind::held, instance(1));
			now += 3s;
			EXPECT_EQ(packet(data()).agents, std::vector{instance(1)});
		}

		// Guards against packets that go on to the upstream which the caller did not choose, when two accepted the
		// opening.
		TEST_F(a_balancer_without_memory_of_a_flow, searches_with_the_packet_that_a_wrong_holder_gave_back)
		{
			hear(message_kind::held, instance(1));
			EXPECT_EQ(packet(data()).agents, std::vector{instance(1)});
			const auto it = data();
			const auto decision = hear(message_kind::not_held, instance(1), &it);
			EXPECT_EQ(decision.what, action::search);
			EXPECT_EQ(std::ranges::count(decision.agents, instance(1)), 0);
			EXPECT_EQ(decision.agents.size(), 3U);
		}

		// Guards against a lost packet: the holder became known while the packet was at another upstream.
		TEST_F(a_balancer_without_memory_of_a_flow, passes_a_packet_that_came_back_late_to_the_known_holder)
		{
			hear(message_kind::held, instance(2));
			const auto it = data();
			const auto decision = hear(message_kind::not_held, instance(1), &it);
			EXPECT_EQ(decision.what, action::forward);
			EXPECT_EQ(decision.agents, std::vector{instance(2)});
		}

		// Guards against searches by all balancers of a zone when the fabric moves flows between them.
		TEST_F(a_balancer_without_memory_of_a_flow, learns_the_holders_of_its_zone_from_agents)
		{
			std::array<std::byte, encoded_flow_size> encoded{};
			encode_flows(std::array{flow}, encoded);
			message notice;
			notice.kind = message_kind::held_flows;
			notice.packet = encoded;
			EXPECT_EQ(handle_agent_message(state, known, notice, nullptr, instance(3), now).what, action::drop);
			const auto decision = packet(data());
			EXPECT_EQ(decision.kind, message_kind::flow_packet);
			EXPECT_EQ(decision.agents, std::vector{instance(3)});
		}

		class a_search_for_a_holder : public ::testing::Test
		{
		protected:
			using step = search_step::action;

			holder_search search;
			std::vector<std::byte> bytes{std::byte{1}, std::byte{2}};
			monotonic_time now = start;

			bool begin()
			{
				return begin_search(search, flow, bytes, 77, {instance(1), instance(2), instance(3)},
									{instance(1), instance(2)}, now);
			}

			search_step confirm(std::vector<ipv4> needed)
			{
				now += 25ms;
				EXPECT_EQ(denied_flows(search), std::vector{flow});
				return confirm_denied(search, flow, needed, now, true);
			}

			search_step answered(std::uint32_t number, flow_presence presence, bool complete = true)
			{
				return handle_query_answer(search, instance(number), {.flow = flow, .presence = presence}, now,
										   complete);
			}
		};

		// Guards against memory without bound, and against packets that are dropped without being counted.
		TEST_F(a_search_for_a_holder, takes_no_further_flow_when_the_table_is_full)
		{
			for (std::uint32_t i = 0; i < max_searches; ++i)
			{
				const flow_id id{.caller = {.ip = ipv4{i}, .port = 1}, .route = route_address};
				EXPECT_FALSE(search_table_full(search, id));
				EXPECT_TRUE(begin_search(search, id, bytes, 0, {instance(1)}, {instance(1)}, now));
			}
			EXPECT_TRUE(search_table_full(search, flow));
			EXPECT_FALSE(begin());
			EXPECT_FALSE(search_table_full(search, {.caller = {.ip = ipv4{7}, .port = 1}, .route = route_address}));
			EXPECT_EQ(search.pending.size(), max_searches);
		}

		// Guards against links that choke after a power loss: copies of every packet went to all 53 upstreams, and
		// service stayed below 0.6 for six seconds.
		TEST_F(a_search_for_a_holder, asks_each_agent_once_for_all_packets_of_a_flow)
		{
			EXPECT_TRUE(begin());
			now += 20ms;
			EXPECT_FALSE(begin());
			const auto queries = take_queries(search);
			ASSERT_EQ(queries.size(), 3U);
			EXPECT_EQ(queries.at(instance(3)), std::vector{flow});
			EXPECT_TRUE(take_queries(search).empty());
			now += search_timeout;
			EXPECT_TRUE(begin()) << "a lost query is repeated";
		}

		// Guards against callers that wait for a retransmission, which can take 1.6 s, because an agent that started
		// together with the balancer missed the query.
		TEST_F(a_search_for_a_holder, asks_those_again_that_have_not_answered)
		{
			begin();
			EXPECT_EQ(take_queries(search).size(), 3U);
			answered(1, flow_presence::not_held);
			EXPECT_FALSE(repeat_queries(search, now));
			now += search_timeout;
			EXPECT_TRUE(repeat_queries(search, now));
			const auto queries = take_queries(search);
			ASSERT_EQ(queries.size(), 1U);
			EXPECT_TRUE(queries.contains(instance(2)));
			EXPECT_FALSE(repeat_queries(search, now));
		}

		// Guards against small links that choke after a kill of all processes: the balancer sent the packet to each
		// upstream by itself.
		TEST_F(a_search_for_a_holder, sends_a_packet_once_for_all_upstreams_where_it_is_tried)
		{
			begin();
			answered(1, flow_presence::unknown);
			answered(2, flow_presence::unknown);
			answered(3, flow_presence::unknown);
			const auto probes = take_probes(search);
			ASSERT_EQ(probes.size(), 1U);
			EXPECT_EQ(probes[0].agents, (std::vector{instance(1), instance(2), instance(3)}));
			EXPECT_EQ(std::ranges::count(probes[0].agents, probes[0].relay), 1);
			EXPECT_TRUE(take_probes(search).empty());
		}

		// Guards against callers that wait for a retransmission because the trial that was due was forgotten when the
		// next packet of the flow came.
		TEST_F(a_search_for_a_holder, tries_the_newest_packet)
		{
			begin();
			answered(2, flow_presence::unknown);
			bytes.push_back(std::byte{3});
			EXPECT_FALSE(begin());
			const auto probes = take_probes(search);
			ASSERT_EQ(probes.size(), 1U);
			EXPECT_EQ(probes[0].packet, bytes);
		}

		// Guards against a storm after a kill of all processes: agents that cannot know were asked again before their
		// upstreams had answered the trial, and each time the packet went to all of them; links of 11 Mbit/s choked.
		TEST_F(a_search_for_a_holder, does_not_ask_those_again_that_try_the_packet)
		{
			begin();
			EXPECT_EQ(take_queries(search).size(), 3U);
			answered(1, flow_presence::unknown);
			answered(2, flow_presence::unknown);
			now += search_timeout;
			EXPECT_FALSE(repeat_queries(search, now));
		}

		// Guards against callers that wait until their retransmission although the holder is known.
		TEST_F(a_search_for_a_holder, delivers_the_packet_that_began_it)
		{
			begin();
			const auto found = answered(2, flow_presence::held);
			EXPECT_EQ(found.what, step::deliver);
			EXPECT_EQ(found.packet, bytes);
			EXPECT_EQ(answered(1, flow_presence::held).what, step::none);
		}

		// Guards against a reset of an open flow because one agent answered two searches and the holder none.
		TEST_F(a_search_for_a_holder, counts_each_agent_once_before_it_gives_the_flow_up)
		{
			begin();
			EXPECT_EQ(answered(1, flow_presence::not_held).what, step::none);
			EXPECT_EQ(answered(1, flow_presence::not_held).what, step::none);
			EXPECT_EQ(answered(3, flow_presence::not_held).what, step::none);
			EXPECT_TRUE(denied_flows(search).empty());
			EXPECT_EQ(answered(2, flow_presence::not_held).what, step::none);
			const auto gone = confirm({instance(1), instance(2)});
			EXPECT_EQ(gone.what, step::reset);
			EXPECT_EQ(gone.acknowledgement, 77U);
		}

		// Guards against a reset of a flow at an upstream whose agent has just restarted and knows nothing.
		TEST_F(a_search_for_a_holder, tries_the_packet_where_an_agent_is_unsure)
		{
			begin();
			answered(1, flow_presence::not_held);
			EXPECT_EQ(answered(2, flow_presence::unknown).what, step::probe);
			const auto probes = take_probes(search);
			ASSERT_EQ(probes.size(), 1U);
			EXPECT_EQ(probes[0].relay, instance(2));
			EXPECT_EQ(probes[0].packet, bytes);
			EXPECT_TRUE(search.pending.contains(flow));
			answered(2, flow_presence::not_held);
			EXPECT_EQ(confirm({instance(1), instance(2)}).what, step::reset);
		}

		// Guards against a reset of an open flow at an upstream of which this balancer has not heard yet: the fabric
		// moved the flow 50 ms after it was opened, while the balancer let changes of the store wait.
		TEST_F(a_search_for_a_holder, asks_upstreams_that_it_learns_of_before_it_gives_the_flow_up)
		{
			begin();
			answered(1, flow_presence::not_held);
			answered(2, flow_presence::not_held);
			now += 25ms;
			EXPECT_EQ(confirm_denied(search, flow, {instance(1), instance(2)}, now, false).what, step::none)
				<< "the catalog is not known to be up to date";
			EXPECT_EQ(take_queries(search).size(), 3U);
			EXPECT_EQ(confirm({instance(1), instance(2), instance(4)}).what, step::none);
			EXPECT_EQ(take_queries(search).size(), 1U);
			EXPECT_TRUE(denied_flows(search).empty());
			EXPECT_EQ(answered(4, flow_presence::held).what, step::deliver);
		}

		// Guards against a request that waits 200 ms for its retransmission: the holder was announced by another way
		// while the search kept the packet, and the packet was dropped.
		TEST_F(a_search_for_a_holder, delivers_its_packet_to_a_holder_that_is_announced)
		{
			begin();
			const auto found = finish_search(search, flow, instance(2));
			EXPECT_EQ(found.what, step::deliver);
			EXPECT_EQ(found.packet, bytes);
			EXPECT_FALSE(search.pending.contains(flow));
		}

		// Guards against a packet that is delivered twice.
		TEST_F(a_search_for_a_holder, does_not_deliver_a_packet_again_that_the_holder_got_as_a_trial)
		{
			begin();
			answered(2, flow_presence::unknown);
			EXPECT_EQ(take_probes(search).size(), 1U);
			EXPECT_EQ(finish_search(search, flow, instance(2)).what, step::none);
			EXPECT_FALSE(search.pending.contains(flow));
		}

		// Guards against a reset while the holder's entry may be missing because the store was out of reach.
		TEST_F(a_search_for_a_holder, gives_nothing_up_while_the_catalog_may_be_incomplete)
		{
			begin();
			answered(1, flow_presence::not_held, false);
			answered(2, flow_presence::not_held, false);
			EXPECT_TRUE(denied_flows(search).empty());
		}
	}
}
