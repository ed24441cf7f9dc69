#include "nutmegturn/steering/holder_search.hpp"

#include "steering_world.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace nutmegturn::steering::testing
{
	namespace
	{
		using action = steering_decision::action;

		class steering_balancer : public ::testing::Test
		{
		protected:
			catalog known = small_catalog();
			balancer_state state{.zone = "a", .started = start, .flows = {}, .loads = {}};
			monotonic_time now = start;

			steering_decision packet(const segment& it, bool current = true)
			{
				return steer_packet(state, known, it, now, current);
			}

			steering_decision receive(message_kind kind, ipv4 agent, const segment* it = nullptr)
			{
				return handle_agent_message(state, known, about_flow(kind), it, agent, now);
			}

			void receive_state(ipv4 agent, admission_status reported)
			{
				auto it = about_flow(message_kind::load);
				it.load.admission = reported;
				EXPECT_EQ(handle_agent_message(state, known, it, nullptr, agent, now).what, action::drop);
			}
		};

		class steering_balancer_opening : public steering_balancer
		{
		};

		// Guards against flows that leave their zone although it has free slots.
		TEST_F(steering_balancer_opening, prefers_upstream_of_own_zone)
		{
			const auto decision = packet(opening());
			ASSERT_EQ(decision.what, action::forward);
			EXPECT_EQ(decision.kind, message_kind::open);
			ASSERT_EQ(decision.agents.size(), 1U);
			EXPECT_NE(decision.agents[0], instance(3));
			EXPECT_NE(decision.agents[0], instance(4));
		}

		// Guards against requests at an upstream that resets part of them, and against one that never gets flows again.
		TEST_F(steering_balancer_opening, avoids_upstream_that_fails_requests)
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

		// Guards against resets of all opening packets of a service: another writer left an entry beside that of each
		// upstream, and removed them later.
		TEST_F(steering_balancer_opening, uses_upstreams_beside_entries_of_unknown_services)
		{
			const std::vector<std::string> keys{"u1", "u2", "u3"};
			for (std::uint32_t i = 1; i <= keys.size(); ++i)
			{
				apply_record(known, record_group::upstreams,
							 {.key = "u-other-" + keys[i - 1],
							  .revision = {.era = 0, .number = 90 + i},
							  .created = {.era = 0, .number = 90 + i},
							  .value = entry(i, "old-desk", "a"),
							  .encoded = {}},
							 now);
			}
			ASSERT_EQ(packet(opening()).what, action::forward);
			for (const auto& key : keys)
			{
				put(known, "u-other-" + key, removed_record{});
			}
			state.flows.clear();
			EXPECT_EQ(packet(opening()).what, action::forward);
		}

		// Guards against a packet to another service (rule ROUTE) at an address that was given to it, whose entry was
		// read before the configuration that names it.
		TEST_F(steering_balancer_opening, leaves_out_address_of_later_upstream_of_service_named_later)
		{
			for (const std::uint32_t i : {1U, 2U, 3U})
			{
				apply_record(known, record_group::upstreams,
							 {.key = "u9" + std::to_string(i),
							  .revision = {.era = 0, .number = 90 + i},
							  .created = {.era = 0, .number = 90 + i},
							  .value = entry(i, "parcel", "a"),
							  .encoded = {}},
							 now);
			}
			auto config = configured(4, {{.service = "desk", .weight = 1}});
			config.services.push_back({.name = "parcel", .cold_time = 2s, .cold_requests_per_s = 0.0});
			put(known, "config", config);
			const auto decision = packet(opening());
			EXPECT_EQ(decision.what, action::reset);
			EXPECT_EQ(decision.why, reason::no_upstream);
		}

		// Guards against callers that wait for an upstream that stopped answering.
		TEST_F(steering_balancer_opening, sends_retransmission_to_another_upstream_without_answer)
		{
			const auto first = packet(opening()).agents.at(0);
			now += 200ms;
			EXPECT_NE(packet(opening(1)).agents.at(0), first);
		}

		// Guards against a second flow opened by a retransmission.
		TEST_F(steering_balancer_opening, sends_retransmission_to_upstream_that_accepted)
		{
			const auto first = packet(opening()).agents.at(0);
			receive(message_kind::accepted, first);
			now += 200ms;
			EXPECT_EQ(packet(opening(1)).agents.at(0), first);
		}

		// Guards against packets of an open flow that are sent to another upstream, which answered a late copy of the
		// opening packet. Its agent reset the flow when that upstream ended.
		TEST_F(steering_balancer_opening, keeps_holder_when_another_upstream_accepts_late)
		{
			const auto frozen = packet(opening()).agents.at(0);
			now += 200ms;
			const auto used = packet(opening(1)).agents.at(0);
			ASSERT_NE(used, frozen);
			receive(message_kind::accepted, used);
			receive(message_kind::accepted, frozen);
			EXPECT_EQ(packet(data()).agents, std::vector{used});
			receive(message_kind::held, used);
			receive(message_kind::accepted, frozen);
			EXPECT_EQ(packet(data()).agents, std::vector{used});
		}

		// Guards against a flow that stays with the first upstream that answered although its caller opened it at
		// another one.
		TEST_F(steering_balancer_opening, follows_the_upstream_that_proves_to_hold_the_flow)
		{
			const auto first = packet(opening()).agents.at(0);
			now += 200ms;
			const auto used = packet(opening(1)).agents.at(0);
			receive(message_kind::accepted, first);
			receive(message_kind::held, used);
			EXPECT_EQ(packet(data()).agents, std::vector{used});
		}

		// Guards against callers that wait for their time limit on a flow that was accepted by an upstream which has
		// ended: its agent's denial makes the next packet start a search, which ends with a reset if nobody holds it.
		TEST_F(steering_balancer_opening, searches_flow_that_the_recorded_holder_denies)
		{
			const auto first = packet(opening()).agents.at(0);
			receive(message_kind::accepted, first);
			ASSERT_EQ(packet(data()).what, action::forward);
			const auto other = first == instance(1) ? instance(2) : instance(1);
			receive(message_kind::not_held, other);
			EXPECT_EQ(packet(data()).what, action::forward) << "the denial of another agent changes nothing";
			receive(message_kind::not_held, first);
			EXPECT_EQ(packet(data()).what, action::search);
		}

		// Guards against a reset while another upstream would have accepted the flow.
		TEST_F(steering_balancer_opening, tries_all_upstreams_before_reset)
		{
			auto decision = packet(opening());
			const auto again = opening();
			std::vector<ipv4> tried;
			while (decision.what == action::forward)
			{
				ASSERT_LT(tried.size(), 3U);
				tried.push_back(decision.agents.at(0));
				decision = receive(message_kind::declined, tried.back(), &again);
			}
			EXPECT_EQ(tried.size(), 3U);
			EXPECT_EQ(decision.what, action::reset);
			EXPECT_EQ(decision.why, reason::all_declined);
		}

		// Guards against a reset of an open flow. All other upstreams declined a retransmission while the acceptance of
		// the slow first upstream was in transit.
		TEST_F(steering_balancer_opening, does_not_reset_while_a_tried_upstream_may_have_accepted)
		{
			const auto first = packet(opening()).agents.at(0);
			now += 200ms;
			const auto copy = opening(1);
			auto decision = packet(copy);
			while (decision.what == action::forward)
			{
				ASSERT_NE(decision.agents.at(0), first);
				decision = receive(message_kind::declined, decision.agents.at(0), &copy);
			}
			EXPECT_EQ(decision.what, action::drop);
			EXPECT_EQ(receive(message_kind::held, first).what, action::drop);
			EXPECT_EQ(packet(data()).agents, std::vector{first});
		}

		// Guards against a caller that waits for its timeout because a late decline was not counted.
		TEST_F(steering_balancer_opening, resets_when_the_last_outstanding_upstream_declines)
		{
			const auto first = packet(opening()).agents.at(0);
			now += 200ms;
			const auto copy = opening(1);
			auto decision = packet(copy);
			while (decision.what == action::forward)
			{
				decision = receive(message_kind::declined, decision.agents.at(0), &copy);
			}
			EXPECT_EQ(receive(message_kind::declined, first, &copy).what, action::reset);
		}

		// Guards against new flows at draining upstreams and in evacuated zones.
		TEST_F(steering_balancer_opening, avoids_draining_upstreams_and_evacuated_zones)
		{
			auto draining = entry(1, "desk", "a");
			draining.readiness = upstream_readiness::draining;
			put(known, "u1", draining);
			EXPECT_EQ(packet(opening()).agents.at(0), instance(2));
			put(known, "out/a", zone_evacuation{.zone = "a"});
			now += 200ms;
			EXPECT_EQ(packet(opening(1)).agents.at(0), instance(3));
		}

		// Guards against opening packets that are lost and repeated after 200 ms: after a power loss a balancer that
		// started first placed flows at upstreams whose agents had not started, because they showed no load.
		TEST_F(steering_balancer_opening, prefers_upstreams_whose_agents_were_heard)
		{
			EXPECT_EQ(unheard_agents(state, known).size(), 4U);
			receive_state(instance(3), admission_status::accepting);
			EXPECT_EQ(packet(opening()).agents, std::vector{instance(3)}) << "in another zone, but its agent is up";
			EXPECT_EQ(unheard_agents(state, known), (std::vector{instance(1), instance(2), instance(4)}));
			put(known, "u1", removed_record{});
			EXPECT_EQ(unheard_agents(state, known), (std::vector{instance(2), instance(4)}));
		}

		// Guards against a caller that waits for its timeout although no upstream is available.
		TEST_F(steering_balancer_opening, resets_at_once_without_upstream)
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

		// Guards against rejecting a route that a newer configuration contains.
		TEST_F(steering_balancer_opening, resets_unknown_route_only_with_current_configuration)
		{
			auto it = opening();
			it.destination.port = 444;
			EXPECT_EQ(packet(it, false).what, action::drop);
			EXPECT_EQ(packet(it, true).what, action::reset);
		}

		// Guards against placements by the work of another message's packet, which has other contents, and against work
		// that a restarted agent of an earlier release no longer reports.
		TEST_F(steering_balancer, takes_work_from_load_messages_only)
		{
			const auto knowledge = encode_knowledge({}, now);
			const auto report = encode_work_report({.outstanding = 400ms, .mean_cost = 50ms});
			std::vector<std::byte> payload(knowledge.size() + report.size());
			std::ranges::copy(report, std::ranges::copy(knowledge, payload.begin()).out);
			auto it = about_flow(message_kind::query_reply);
			it.packet = payload;
			EXPECT_EQ(handle_agent_message(state, known, it, nullptr, instance(1), now).what, action::drop);
			EXPECT_FALSE(state.loads.at(instance(1)).work);
			it.kind = message_kind::load;
			EXPECT_EQ(handle_agent_message(state, known, it, nullptr, instance(1), now).what, action::drop);
			ASSERT_TRUE(state.loads.at(instance(1)).work);
			EXPECT_EQ(state.loads.at(instance(1)).work->outstanding, 400ms);
			EXPECT_EQ(state.loads.at(instance(1)).work_reported_at, now);
			now += 50ms;
			receive(message_kind::accepted, instance(1));
			EXPECT_EQ(state.loads.at(instance(1)).work_reported_at, start);
			receive_state(instance(1), admission_status::accepting);
			EXPECT_FALSE(state.loads.at(instance(1)).work);
		}

		class steering_balancer_unknown_flow : public steering_balancer
		{
		};

		// Guards against resets of open flows whose service was removed from the route: 74 flows were reset in a run
		// without faults by balancers that started after the weights changed.
		TEST_F(steering_balancer_unknown_flow, queries_upstreams_of_all_services_after_start)
		{
			const auto decision = packet(data());
			EXPECT_EQ(decision.what, action::search);
			EXPECT_EQ(decision.agents.size(), 4U);
		}

		// Guards against searches across a whole large deployment for the lifetime of a process.
		TEST_F(steering_balancer_unknown_flow, later_queries_only_current_and_former_services_of_route)
		{
			now += former_upstream_retention;
			EXPECT_EQ(packet(data()).agents.size(), 3U);
			put(known, "config", configured(4, {{.service = "archive", .weight = 1}}), now);
			now += 1s;
			EXPECT_EQ(packet(data()).agents.size(), 4U);
		}

		// Guards against resets of open flows whose service the route had only in a version of the configuration that
		// this process skipped, and against searches across a whole large deployment ever after.
		TEST_F(steering_balancer_unknown_flow, queries_upstreams_of_all_services_after_skipped_versions)
		{
			now += former_upstream_retention;
			known.versions_skipped_at = now;
			now += 1s;
			const auto decision = packet(data());
			EXPECT_EQ(decision.agents.size(), 4U);
			EXPECT_EQ(decision.required.size(), 4U);
			now += former_upstream_retention;
			EXPECT_EQ(packet(data()).agents.size(), 3U);
		}

		// Guards against a search that never ends because a removed upstream cannot answer, and against a search that
		// misses such an upstream while it still serves.
		TEST_F(steering_balancer_unknown_flow, queries_upstream_without_entry_but_does_not_require_answer)
		{
			put(known, "u1", removed_record{});
			const auto decision = packet(data());
			EXPECT_EQ(decision.agents.size(), 4U);
			EXPECT_EQ(std::ranges::count(decision.agents, instance(1)), 1);
			EXPECT_EQ(std::ranges::count(decision.required, instance(1)), 0);
		}

		// Guards against searches that never end, since another writer's entry names an address without an agent, and
		// against a reset of an open flow of a service that was removed before this process started.
		TEST_F(steering_balancer_unknown_flow, requires_answer_for_unknown_service_only_if_agent_is_alive)
		{
			put(known, "u9", entry(9, "old-desk", "a"));
			const auto decision = packet(data());
			EXPECT_EQ(std::ranges::count(decision.agents, instance(9)), 1);
			EXPECT_EQ(std::ranges::count(decision.required, instance(9)), 0);
			EXPECT_EQ(std::ranges::count(unheard_agents(state, known), instance(9)), 0) << "not asked again and again";
			EXPECT_EQ(receive(message_kind::load, instance(9)).what, action::drop);
			EXPECT_EQ(std::ranges::count(packet(data()).required, instance(9)), 1);
		}

		// Guards against a reset of an open flow whose service the configuration has just removed.
		TEST_F(steering_balancer_unknown_flow, requires_answer_for_removed_service)
		{
			auto config = configured(4, {{.service = "desk", .weight = 1}});
			config.services.pop_back();
			put(known, "config", config);
			EXPECT_EQ(std::ranges::count(packet(data()).required, instance(4)), 1);
		}

		// Guards against a reset of a flow at a serving upstream whose entry expired during a store outage.
		TEST_F(steering_balancer_unknown_flow, requires_answer_of_upstream_without_entry_if_agent_is_alive)
		{
			put(known, "u1", removed_record{});
			EXPECT_EQ(receive(message_kind::load, instance(1)).what, action::drop);
			now += 1s;
			EXPECT_EQ(std::ranges::count(packet(data()).required, instance(1)), 1);
			now += 2s;
			EXPECT_EQ(std::ranges::count(packet(data()).required, instance(1)), 0);
		}

		// Guards against callers that wait for their timeout. The agent of each replaced upstream could not answer for
		// three seconds, and no search ended in that time.
		TEST_F(steering_balancer_unknown_flow, does_not_require_answer_of_drained_agent)
		{
			receive_state(instance(1), admission_status::stopping);
			EXPECT_EQ(std::ranges::count(packet(data()).required, instance(1)), 1) << "its upstream may hold the flow";
			receive_state(instance(1), admission_status::drained);
			EXPECT_EQ(std::ranges::count(packet(data()).required, instance(1)), 0);
		}

		// Guards against resets of flows that were opened after an agent had stopped and started again: the report of
		// the process that ended was still in force.
		TEST_F(steering_balancer_unknown_flow, requires_answer_of_listed_agent_some_time_after_it_drained)
		{
			receive_state(instance(1), admission_status::drained);
			now += 3s;
			EXPECT_EQ(std::ranges::count(packet(data()).required, instance(1)), 1);
			put(known, "u1", removed_record{});
			EXPECT_EQ(std::ranges::count(packet(data()).required, instance(1)), 0)
				<< "a flow of an upstream that has left can be declared lost";
		}

		// Guards against the same while the report is recent: the balancer subscribes to the next process at once.
		TEST_F(steering_balancer_unknown_flow, looks_for_the_next_process_of_a_stopped_agent)
		{
			for (const std::uint32_t number : {1U, 2U, 3U, 4U})
			{
				receive_state(instance(number), admission_status::accepting);
			}
			EXPECT_TRUE(unheard_agents(state, known).empty());
			receive_state(instance(1), admission_status::stopping);
			receive_state(instance(2), admission_status::drained);
			EXPECT_EQ(unheard_agents(state, known), (std::vector{instance(1), instance(2)}));
			receive_state(instance(1), admission_status::accepting);
			put(known, "u2", removed_record{});
			EXPECT_TRUE(unheard_agents(state, known).empty());
		}

		// Guards against the same delay if the upstream left the store before its agent stopped.
		TEST_F(steering_balancer_unknown_flow, does_not_require_answer_of_agent_that_stopped_after_its_upstream)
		{
			put(known, "u1", removed_record{});
			receive_state(instance(1), admission_status::stopping);
			EXPECT_EQ(std::ranges::count(packet(data()).required, instance(1)), 0);
		}

		// Guards against callers that wait for their timeout after a power loss at the holder, while packets are still
		// sent to its agent.
		TEST_F(steering_balancer_unknown_flow, searches_when_known_holder_is_gone)
		{
			receive(message_kind::held, instance(1));
			put(known, "u1", removed_record{});
			now += 1s;
			EXPECT_EQ(packet(data()).what, action::forward) << "its agent sent a message recently";
			now += 2s;
			EXPECT_EQ(packet(data()).what, action::search);
		}

		// Guards against resets of open flows while only the agent restarts.
		TEST_F(steering_balancer_unknown_flow, keeps_known_holder_while_store_lists_it)
		{
			receive(message_kind::held, instance(1));
			now += 3s;
			EXPECT_EQ(packet(data()).agents, std::vector{instance(1)});
		}

		// Guards against packets that are still sent to the upstream without the flow after two upstreams accepted the
		// opening packet.
		TEST_F(steering_balancer_unknown_flow, searches_with_packet_returned_by_wrong_holder)
		{
			receive(message_kind::held, instance(1));
			EXPECT_EQ(packet(data()).agents, std::vector{instance(1)});
			const auto it = data();
			const auto decision = receive(message_kind::not_held, instance(1), &it);
			EXPECT_EQ(decision.what, action::search);
			EXPECT_EQ(std::ranges::count(decision.agents, instance(1)), 0);
			EXPECT_EQ(decision.agents.size(), 3U);
		}

		// Guards against packet loss if the holder becomes known while another upstream has the packet.
		TEST_F(steering_balancer_unknown_flow, forwards_late_returned_packet_to_known_holder)
		{
			receive(message_kind::held, instance(2));
			const auto it = data();
			const auto decision = receive(message_kind::not_held, instance(1), &it);
			EXPECT_EQ(decision.what, action::forward);
			EXPECT_EQ(decision.agents, std::vector{instance(2)});
		}

		// Guards against searches by all balancers of a zone when the fabric rehashes flows.
		TEST_F(steering_balancer_unknown_flow, learns_holders_from_agents)
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

		class steering_holder_search : public ::testing::Test
		{
		protected:
			using step = search_step::action;
			using packet_list = std::vector<std::vector<std::byte>>;

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

			search_step answer(std::uint32_t number, flow_presence presence, bool complete = true)
			{
				return handle_query_answer(search, instance(number), {.flow = flow, .presence = presence}, now,
										   complete);
			}
		};

		// Guards against unbounded memory, and against packets that are dropped without being counted.
		TEST_F(steering_holder_search, rejects_new_flow_when_table_is_full)
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

		// Guards against congested links after a power loss: every packet was sent to all 53 upstreams, and the service
		// level stayed below 0.6 for six seconds.
		TEST_F(steering_holder_search, queries_each_agent_once_for_all_packets_of_a_flow)
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

		// Guards against callers that wait for a retransmission, up to 1.6 s, because an agent that started together
		// with the balancer missed the query.
		TEST_F(steering_holder_search, repeats_query_to_agents_without_answer)
		{
			begin();
			EXPECT_EQ(take_queries(search).size(), 3U);
			answer(1, flow_presence::not_held);
			EXPECT_FALSE(repeat_queries(search, now));
			now += search_timeout;
			EXPECT_TRUE(repeat_queries(search, now));
			const auto queries = take_queries(search);
			ASSERT_EQ(queries.size(), 1U);
			EXPECT_TRUE(queries.contains(instance(2)));
			EXPECT_FALSE(repeat_queries(search, now));
		}

		// Guards against congested slow links after all processes were killed, when the balancer sent the packet to
		// each upstream itself.
		TEST_F(steering_holder_search, sends_one_packet_for_all_probed_upstreams)
		{
			begin();
			answer(1, flow_presence::unknown);
			answer(2, flow_presence::unknown);
			answer(3, flow_presence::unknown);
			const auto probes = take_probes(search, {}, now);
			ASSERT_EQ(probes.size(), 1U);
			EXPECT_EQ(probes[0].agents, (std::vector{instance(1), instance(2), instance(3)}));
			EXPECT_EQ(std::ranges::count(probes[0].agents, probes[0].relay), 1);
			EXPECT_TRUE(take_probes(search, {}, now).empty());
		}

		// Guards against callers that wait for a retransmission because the flow's next packet discarded a pending
		// probe.
		TEST_F(steering_holder_search, probes_with_newest_packet)
		{
			begin();
			answer(2, flow_presence::unknown);
			bytes.push_back(std::byte{3});
			EXPECT_FALSE(begin());
			const auto probes = take_probes(search, {}, now);
			ASSERT_EQ(probes.size(), 1U);
			EXPECT_EQ(probes[0].packet, bytes);
		}

		// Guards against a probe storm after all processes were killed. Agents that cannot tell were queried again
		// before their upstreams answered the probe, and each time the packet was sent to all of them, which congested
		// links of 11 Mbit/s.
		TEST_F(steering_holder_search, does_not_repeat_query_to_probed_agents)
		{
			begin();
			EXPECT_EQ(take_queries(search).size(), 3U);
			answer(1, flow_presence::unknown);
			answer(2, flow_presence::unknown);
			now += search_timeout;
			EXPECT_FALSE(repeat_queries(search, now));
		}

		// Guards against callers that wait for their retransmission although the holder is known.
		TEST_F(steering_holder_search, delivers_packet_to_holder)
		{
			begin();
			const auto found = answer(2, flow_presence::held);
			EXPECT_EQ(found.what, step::deliver);
			EXPECT_EQ(found.packets, packet_list{bytes});
			EXPECT_EQ(answer(1, flow_presence::held).what, step::none);
		}

		// Guards against a reset of an open flow because one agent answered twice and the holder not at all.
		TEST_F(steering_holder_search, counts_each_agent_once_before_reset)
		{
			begin();
			EXPECT_EQ(answer(1, flow_presence::not_held).what, step::none);
			EXPECT_EQ(answer(1, flow_presence::not_held).what, step::none);
			EXPECT_EQ(answer(3, flow_presence::not_held).what, step::none);
			EXPECT_TRUE(denied_flows(search).empty());
			EXPECT_EQ(answer(2, flow_presence::not_held).what, step::none);
			const auto gone = confirm({instance(1), instance(2)});
			EXPECT_EQ(gone.what, step::reset);
			EXPECT_EQ(gone.acknowledgement, 77U);
		}

		// Guards against a reset of a flow at an upstream whose agent just restarted with an empty flow table.
		TEST_F(steering_holder_search, probes_where_agent_does_not_know)
		{
			begin();
			answer(1, flow_presence::not_held);
			EXPECT_EQ(answer(2, flow_presence::unknown).what, step::probe);
			const auto probes = take_probes(search, {}, now);
			ASSERT_EQ(probes.size(), 1U);
			EXPECT_EQ(probes[0].relay, instance(2));
			EXPECT_EQ(probes[0].packet, bytes);
			EXPECT_TRUE(search.pending.contains(flow));
			answer(2, flow_presence::not_held);
			EXPECT_EQ(confirm({instance(1), instance(2)}).what, step::reset);
		}

		// Guards against a reset of an open flow at an upstream that this balancer does not know yet. The fabric moved
		// the flow 50 ms after it was opened, while the balancer delayed reading changes from the store.
		TEST_F(steering_holder_search, queries_newly_known_upstreams_before_reset)
		{
			begin();
			answer(1, flow_presence::not_held);
			answer(2, flow_presence::not_held);
			now += 25ms;
			EXPECT_EQ(confirm_denied(search, flow, {instance(1), instance(2)}, now, false).what, step::none)
				<< "the catalog is not known to be up to date";
			EXPECT_EQ(take_queries(search).size(), 3U);
			EXPECT_EQ(confirm({instance(1), instance(2), instance(4)}).what, step::none);
			EXPECT_EQ(take_queries(search).size(), 1U);
			EXPECT_TRUE(denied_flows(search).empty());
			EXPECT_EQ(answer(4, flow_presence::held).what, step::deliver);
		}

		// Guards against searches that never end. After a power loss the upstreams registered one group after the
		// other; each group was queried in place of the previous one, which was then queried again every 25 ms for each
		// flow.
		TEST_F(steering_holder_search, queries_each_upstream_once_while_groups_are_added)
		{
			begin();
			answer(1, flow_presence::not_held);
			answer(2, flow_presence::not_held);
			EXPECT_EQ(take_queries(search).size(), 3U);
			const std::vector first_group{instance(1), instance(2), instance(4)};
			const std::vector both_groups{instance(1), instance(2), instance(4), instance(5)};
			EXPECT_EQ(confirm(first_group).what, step::none);
			EXPECT_EQ(take_queries(search).size(), 1U);
			answer(4, flow_presence::not_held);
			EXPECT_EQ(confirm(both_groups).what, step::none);
			const auto queries = take_queries(search);
			ASSERT_EQ(queries.size(), 1U);
			EXPECT_TRUE(queries.contains(instance(5)));
			answer(5, flow_presence::not_held);
			EXPECT_EQ(confirm(both_groups).what, step::reset);
			EXPECT_TRUE(take_queries(search).empty());
		}

		// Guards against a search without end while upstreams are replaced all the time.
		TEST_F(steering_holder_search, gives_up_after_largest_number_of_rounds)
		{
			begin();
			std::vector required{instance(1), instance(2)};
			answer(1, flow_presence::not_held);
			answer(2, flow_presence::not_held);
			for (std::uint32_t round = 1; round < max_search_rounds; ++round)
			{
				const auto number = 10 + round;
				required.push_back(instance(number));
				EXPECT_EQ(confirm(required).what, step::none);
				answer(number, flow_presence::not_held);
			}
			required.push_back(instance(99));
			(void)take_queries(search);
			EXPECT_EQ(confirm(required).what, step::none);
			EXPECT_TRUE(take_queries(search).empty());
			EXPECT_TRUE(denied_flows(search).empty()) << "no further check is due";
			now += 3s;
			const auto expired = expire_searches(search, now);
			ASSERT_EQ(expired.size(), 1U);
			EXPECT_EQ(expired[0].rounds, max_search_rounds);
		}

		// Guards against a request that waits 200 ms for its retransmission. The holder was announced by another
		// message during the search, and the packet that the search kept was dropped.
		TEST_F(steering_holder_search, delivers_packet_to_announced_holder)
		{
			begin();
			const auto found = finish_search(search, flow, instance(2));
			EXPECT_EQ(found.what, step::deliver);
			EXPECT_EQ(found.packets, packet_list{bytes});
			EXPECT_FALSE(search.pending.contains(flow));
		}

		// Guards against a request that waits 200 ms for its retransmission. A request with a body has two packets, and
		// the search kept only the second, so every such request after a restart of all processes was late.
		TEST_F(steering_holder_search, delivers_all_packets_of_a_request_in_order)
		{
			const std::vector head{std::byte{1}};
			const std::vector body{std::byte{2}};
			bytes = head;
			begin();
			bytes = body;
			begin();
			bytes = head;
			begin();
			const auto found = answer(2, flow_presence::held);
			EXPECT_EQ(found.what, step::deliver);
			EXPECT_EQ(found.packets, (packet_list{head, body})) << "a retransmission is not kept twice";
		}

		// Guards against the same delay when a probe with the newest packet found the holder.
		TEST_F(steering_holder_search, delivers_packets_that_were_not_probed)
		{
			const std::vector head{std::byte{1}};
			bytes = head;
			begin();
			bytes = {std::byte{2}};
			begin();
			answer(2, flow_presence::unknown);
			ASSERT_EQ(take_probes(search, {}, now).size(), 1U);
			const auto found = finish_search(search, flow, instance(2));
			EXPECT_EQ(found.what, step::deliver);
			EXPECT_EQ(found.packets, packet_list{head});
		}

		// Guards against unbounded memory while a caller sends into a search that does not end.
		TEST_F(steering_holder_search, keeps_bounded_number_of_packets)
		{
			for (std::uint8_t i = 0; i < 2 * max_search_packets; ++i)
			{
				bytes = {std::byte{i}};
				begin();
			}
			const auto found = answer(2, flow_presence::held);
			ASSERT_EQ(found.packets.size(), max_search_packets);
			EXPECT_EQ(found.packets.back(), bytes) << "the newest packet is kept";
		}

		// Guards against congested links between zones after all processes were killed: the first packet of every flow
		// was sent to the upstreams of all zones, although most flows are held in their caller's zone.
		TEST_F(steering_holder_search, probes_own_zone_first)
		{
			begin();
			answer(1, flow_presence::unknown);
			answer(2, flow_presence::unknown);
			answer(3, flow_presence::unknown);
			const std::vector near{instance(2)};
			const auto probes = take_probes(search, near, now);
			ASSERT_EQ(probes.size(), 1U);
			EXPECT_EQ(probes[0].agents, near);
			EXPECT_TRUE(take_far_probes(search, now).empty()) << "the answer of the zone is awaited";
			now += far_probe_delay;
			const auto far = take_far_probes(search, now);
			ASSERT_EQ(far.size(), 1U);
			EXPECT_EQ(far[0].agents, (std::vector{instance(1), instance(3)}));
			EXPECT_TRUE(search.far_probes.empty());
		}

		// Guards against probes of other zones for a flow that was found, and against a request whose packets reach its
		// holder only in part because other zones were probed with a newer packet.
		TEST_F(steering_holder_search, probes_other_zones_only_while_search_lasts)
		{
			const std::vector head{std::byte{1}};
			bytes = head;
			begin();
			answer(1, flow_presence::unknown);
			answer(2, flow_presence::unknown);
			EXPECT_EQ(take_probes(search, std::vector{instance(2)}, now).size(), 1U);
			bytes = {std::byte{2}};
			begin();
			now += far_probe_delay;
			const auto far = take_far_probes(search, now);
			ASSERT_EQ(far.size(), 1U);
			EXPECT_EQ(far[0].packet, head);
			EXPECT_EQ(finish_search(search, flow, instance(2)).packets, packet_list{bytes});

			begin();
			answer(1, flow_presence::unknown);
			answer(2, flow_presence::unknown);
			EXPECT_EQ(take_probes(search, std::vector{instance(2)}, now).size(), 1U);
			EXPECT_EQ(finish_search(search, flow, instance(2)).what, step::none);
			now += far_probe_delay;
			EXPECT_TRUE(take_far_probes(search, now).empty());
		}

		// Guards against a packet that is delivered twice.
		TEST_F(steering_holder_search, does_not_deliver_packet_again_after_probe)
		{
			begin();
			answer(2, flow_presence::unknown);
			EXPECT_EQ(take_probes(search, {}, now).size(), 1U);
			EXPECT_EQ(finish_search(search, flow, instance(2)).what, step::none);
			EXPECT_FALSE(search.pending.contains(flow));
		}

		// Guards against a reset while the holder's entry may be missing because the store was unreachable.
		TEST_F(steering_holder_search, denies_nothing_while_catalog_may_be_incomplete)
		{
			begin();
			answer(1, flow_presence::not_held, false);
			answer(2, flow_presence::not_held, false);
			EXPECT_TRUE(denied_flows(search).empty());
		}
	}
}
