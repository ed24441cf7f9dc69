#include "steering_world.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>

namespace nutmegturn::steering::testing
{
	namespace
	{
		class steering_agent : public ::testing::Test
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
				state.gate.service = "desk";
				state.watched_since = now;
			}

			/// Sweeps once a second, as a running agent does.
			void run_for(milliseconds time)
			{
				for (const auto end = now + time; now < end; now += 1s)
				{
					sweep_flows(state, known, now);
				}
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

		class steering_agent_opening : public steering_agent
		{
		};

		// Guards against balancers that do not learn which upstream accepted a flow.
		TEST_F(steering_agent_opening, forwards_packet_and_reports_acceptance)
		{
			EXPECT_TRUE(packet(message_kind::open, opening()).to_upstream);
			const auto decision = upstream(reply(0, true));
			EXPECT_TRUE(decision.to_caller);
			ASSERT_EQ(decision.replies.size(), 1U);
			EXPECT_EQ(decision.replies[0].kind, message_kind::accepted);
			EXPECT_EQ(decision.replies[0].balancer, balancer);
		}

		// Guards against an answered opening packet that is taken for an open flow: another upstream may have answered
		// a copy of it earlier.
		TEST_F(steering_agent_opening, reports_flow_as_held_when_the_upstream_answers_its_data)
		{
			packet(message_kind::open, opening());
			upstream(reply(0, true));
			packet(message_kind::flow_packet, data());
			const auto decision = upstream(reply(50));
			ASSERT_EQ(decision.replies.size(), 1U);
			EXPECT_EQ(decision.replies[0].kind, message_kind::held);
		}

		// Guards against a caller that loses its attempt because the upstream has just ended: its balancer can place
		// the flow elsewhere.
		TEST_F(steering_agent_opening, returns_unanswered_packet_when_upstream_port_refuses)
		{
			auto msg = about_flow(message_kind::open);
			const std::vector bytes{std::byte{7}};
			msg.packet = bytes;
			EXPECT_TRUE(handle_balancer_packet(state, known, msg, opening(), balancer, now).to_upstream);
			const auto decision = handle_connection_refused(state, now);
			EXPECT_TRUE(decision.resets.empty());
			ASSERT_EQ(decision.replies.size(), 1U);
			EXPECT_EQ(decision.replies[0].kind, message_kind::declined);
			EXPECT_EQ(decision.replies[0].balancer, balancer);
			EXPECT_EQ(decision.replies[0].why, admission_status::upstream_unreachable);
			EXPECT_EQ(decision.replies[0].packet, bytes);
		}

		// Guards against an agent that declines all flows of its upstream because of another writer's entry with the
		// same address and an unknown service, also before the agent has read a configuration.
		TEST_F(steering_agent_opening, admits_flow_beside_entry_of_unknown_service)
		{
			known = {};
			known.own_service = "desk";
			put(known, "u1", entry(1, "desk", "a"));
			auto odd = entry(1, "old-desk", "b");
			odd.started_at_ms = 9'000;
			put(known, "u9", odd);
			ASSERT_TRUE(registered_later(known.upstreams.at("u9"), known.upstreams.at("u1")));
			EXPECT_TRUE(admits_new_flows(state.gate, known, now)) << "no configuration yet";
			put(known, "config", configured(3, {{.service = "desk", .weight = 1}}));
			EXPECT_EQ(current_admission_status(state.gate, known, now), admission_status::accepting);
			EXPECT_TRUE(packet(message_kind::open, opening()).to_upstream);
			put(known, "u9", removed_record{});
			EXPECT_EQ(current_admission_status(state.gate, known, now), admission_status::accepting);
		}

		// Guards against flows at an address whose former upstream's entry is still listed, while a configuration that
		// names the present one's service comes late.
		TEST_F(steering_agent_opening, declines_flow_of_former_service_whichever_configuration_is_known)
		{
			known = {};
			known.own_service = "parcel";
			state.gate.service = "parcel";
			put(known, "u1", entry(1, "desk", "a"));
			put(known, "u9", entry(1, "parcel", "a"));
			for (const std::uint64_t version : {0U, 3U})
			{
				if (version != 0)
				{
					put(known, "config", configured(version, {{.service = "desk", .weight = 1}}));
				}
				const auto decision = packet(message_kind::open, opening());
				EXPECT_FALSE(decision.to_upstream);
				EXPECT_EQ(decision.replies.at(0).why, admission_status::other_service);
			}
		}

		// Guards against flows that reach the wrong service after an address was reused.
		TEST_F(steering_agent_opening, declines_flow_of_another_service)
		{
			state.gate.service = "archive";
			const auto decision = packet(message_kind::open, opening());
			EXPECT_FALSE(decision.to_upstream);
			EXPECT_EQ(decision.replies.at(0).why, admission_status::other_service);
		}

		// Guards against flows placed by a balancer with an outdated configuration.
		TEST_F(steering_agent_opening, declines_flow_that_its_newer_configuration_routes_elsewhere)
		{
			put(known, "config", configured(9, {{.service = "archive", .weight = 1}}));
			EXPECT_EQ(packet(message_kind::open, opening()).replies.at(0).why, admission_status::other_service);
		}

		// Guards against new flows in an evacuated zone from a balancer that does not know of the evacuation yet.
		TEST_F(steering_agent_opening, declines_while_zone_is_evacuated)
		{
			put(known, "out/a", zone_evacuation{.zone = "a"});
			EXPECT_EQ(packet(message_kind::open, opening()).replies.at(0).why, admission_status::evacuated);
		}

		// Guards against a lost opening packet: the balancer has to try another upstream after a refusal.
		TEST_F(steering_agent_opening, returns_bounced_packet_to_balancer)
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

		class steering_agent_cold_start : public steering_agent
		{
		protected:
			std::uint16_t next_port = 1'000;

			std::size_t count_admitted(std::size_t offered)
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

			void set_cold_with_rate(double rate)
			{
				auto config = configured(4, {{.service = "desk", .weight = 1}});
				config.services[0].cold_requests_per_s = rate;
				put(known, "config", config);
				auto cold = entry(1, "desk", "a");
				cold.cold_remaining = 60s;
				// Enough that opening packets do not wait for a free slot: only the cold start limits admissions.
				cold.slots = 1'000;
				put(known, "u1", cold, now);
			}
		};

		// Guards against overload during cold start. The allowed bound is 1.5 times the rate plus 5.
		TEST_F(steering_agent_cold_start, limits_admissions_per_second)
		{
			set_cold_with_rate(10.0);
			EXPECT_LE(count_admitted(100), 20U);
			now += 500ms;
			EXPECT_EQ(count_admitted(100), 0U);
			now += 500ms;
			EXPECT_GE(count_admitted(100), 10U);
		}

		// Guards against full load on upstreams that became cold in an evacuation, if the settings name no zone (rule
		// FAILBACK).
		TEST_F(steering_agent_cold_start, follows_the_zone_of_the_entry_without_one_in_the_settings)
		{
			state.gate.zone.clear();
			put(known, "out/a", zone_evacuation{.zone = "a"}, now);
			EXPECT_EQ(current_admission_status(state.gate, known, now), admission_status::evacuated);
			put(known, "out/a", removed_record{}, now);
			EXPECT_TRUE(gate_is_cold(state.gate, known, now + 1s));
			EXPECT_FALSE(gate_is_cold(state.gate, known, now + 3s));
		}

		// Guards against declining flows for seconds after every start if no rate is published.
		TEST_F(steering_agent_cold_start, does_not_limit_without_published_rate)
		{
			set_cold_with_rate(0.0);
			EXPECT_EQ(count_admitted(100), 100U);
		}

		class steering_agent_flow : public steering_agent
		{
		};

		// Guards against load reports that count idle flows or answered requests.
		TEST_F(steering_agent_flow, counts_request_from_its_data_to_first_response_data)
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
				<< "a retransmission is no new request";
		}

		// Guards against packets that are still sent to an upstream without the flow. Two upstreams accepted the
		// opening packet, the caller used the other one, and the balancer was not notified.
		TEST_F(steering_agent_flow, reports_not_held_when_upstream_bounces_packet)
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

		// Guards against the loss of an open flow's entry. The upstream bounces a late retransmission of the opening
		// packet, as the flow is open already; a later search would find no holder and reset the flow.
		TEST_F(steering_agent_flow, keeps_flow_when_late_opening_retransmission_is_bounced)
		{
			open_flow();
			packet(message_kind::open, opening(2));
			auto back = opening(2);
			back.bounced = true;
			EXPECT_TRUE(upstream(back).replies.empty());
			EXPECT_EQ(answer_query(state, std::array{flow}).at(0).presence, flow_presence::held);
		}

		// Guards against callers that wait for a response from an upstream that has ended.
		TEST_F(steering_agent_flow, resets_flow_when_upstream_port_refuses)
		{
			open_flow();
			const auto resets = handle_connection_refused(state, now).resets;
			ASSERT_EQ(resets.size(), 1U);
			EXPECT_EQ(resets[0].flow, flow);
			EXPECT_EQ(resets[0].sequence, 77U);
			EXPECT_EQ(make_load_report(state, known, now).admission, admission_status::upstream_unreachable);
		}

		// Guards against resets of flows that are open at another upstream. An agent woke up and forwarded opening
		// packets whose copies had been opened elsewhere, and reset those flows when its own upstream ended.
		TEST_F(steering_agent_flow, denies_flow_that_never_opened_there_when_upstream_port_refuses)
		{
			packet(message_kind::open, opening());
			upstream(reply(0, true));
			packet(message_kind::flow_packet, data());
			const auto decision = handle_connection_refused(state, now);
			EXPECT_TRUE(decision.resets.empty());
			ASSERT_EQ(decision.replies.size(), 1U);
			EXPECT_EQ(decision.replies[0].kind, message_kind::not_held);
			EXPECT_EQ(decision.replies[0].balancer, balancer);
			EXPECT_EQ(answer_query(state, std::array{flow}).at(0).presence, flow_presence::not_held)
				<< "a flow that is open nowhere can be declared lost";
		}

		// Guards against a search for every flow of the zone after each restart of a balancer.
		TEST_F(steering_agent_flow, announces_flow_once_to_zone_and_again_to_new_balancer)
		{
			message subscription;
			subscription.zone = "a";
			EXPECT_TRUE(handle_subscription(state, subscription, balancer, now).flows.empty());
			open_flow();
			const auto notices = collect_newly_held_flows(state);
			ASSERT_EQ(notices.size(), 1U);
			EXPECT_EQ(notices[0].flows, std::vector{flow});
			EXPECT_EQ(notices[0].balancers, std::vector{balancer});
			EXPECT_TRUE(collect_newly_held_flows(state).empty());
			subscription.just_started = true;
			EXPECT_EQ(handle_subscription(state, subscription, ipv4{0x0a010902}, now).flows, std::vector{flow});
		}

		// Guards against traffic between zones that grows with the product of agents and balancers: each request of an
		// upstream with two slots was reported to every balancer.
		TEST_F(steering_agent_flow, reports_changed_load_to_other_zones_less_often)
		{
			constexpr std::uint32_t slots = 2;
			constexpr ipv4 far_balancer{0x0a020901};
			message subscription;
			subscription.zone = state.gate.zone;
			static_cast<void>(handle_subscription(state, subscription, balancer, now));
			subscription.zone = "other zone";
			static_cast<void>(handle_subscription(state, subscription, far_balancer, now));
			load_report report;
			EXPECT_EQ(load_report_recipients(state, report, slots, now).size(), 2U) << "the first report";
			std::size_t near_reports = 0;
			std::size_t far_reports = 0;
			for (int i = 0; i < 20; ++i)
			{
				now += 100ms;
				report.requests_in_progress = static_cast<std::uint16_t>(i % 2 + 1);
				const auto recipients = load_report_recipients(state, report, slots, now);
				near_reports += static_cast<std::size_t>(std::ranges::count(recipients, balancer));
				far_reports += static_cast<std::size_t>(std::ranges::count(recipients, far_balancer));
			}
			EXPECT_EQ(near_reports, 20U);
			EXPECT_EQ(far_reports, 4U);
			report.admission = admission_status::draining;
			EXPECT_EQ(load_report_recipients(state, report, slots, now + 1ms).size(), 2U) << "a changed admission";
		}

		// Guards against probes at upstreams that cannot hold the flow, and against a restarted agent that denies flows
		// which it has not seen.
		TEST_F(steering_agent_flow, answers_query_with_held_not_held_or_unknown)
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

		// Guards against new flows at an upstream that resets part of its requests while its health check succeeds.
		TEST_F(steering_agent_flow, reports_failure_ratio_of_upstream)
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
			EXPECT_LE(make_load_report(state, known, now).failure_percent, 2U) << "the upstream has to be retried";
		}

		// Guards against a balancer that starts while the store is down and has no process to read from.
		TEST_F(steering_agent_flow, names_another_balancer)
		{
			EXPECT_EQ(other_balancer(state, balancer), ipv4{});
			EXPECT_TRUE(handle_subscription(state, message{}, balancer, now).flows.empty());
			EXPECT_EQ(other_balancer(state, balancer), ipv4{});
			EXPECT_TRUE(handle_subscription(state, message{}, ipv4{0x0a010902}, now).flows.empty());
			EXPECT_EQ(other_balancer(state, balancer), ipv4{0x0a010902});
		}

		class steering_agent_flow_knowledge : public steering_agent
		{
		protected:
			flow_presence presence()
			{
				return answer_query(state, std::array{flow}).at(0).presence;
			}
		};

		// Guards against resets of open flows after a clock was set back: an agent that started seconds after its
		// upstream took the upstream for the younger one, and denied the flows that its predecessor had forwarded.
		TEST_F(steering_agent_flow_knowledge, is_not_inferred_from_the_start_time_of_the_upstream)
		{
			auto own = entry(1, "desk", "a");
			own.started_at_ms = std::numeric_limits<std::int64_t>::max() / 2;
			put(known, "u1", own);
			run_for(5s);
			EXPECT_EQ(presence(), flow_presence::unknown) << "only the upstream can deny the flow";
			EXPECT_TRUE(packet(message_kind::probe, data()).to_upstream);
			auto back = data();
			back.bounced = true;
			const auto replies = upstream(back).replies;
			ASSERT_EQ(replies.size(), 1U);
			EXPECT_EQ(replies[0].kind, message_kind::not_held) << "a flow that nobody holds is denied at once";
		}

		// Guards against searches that never end because no agent can deny a flow: a silent upstream does not bounce
		// the probe, but the flow has been idle for longer than the timeout.
		TEST_F(steering_agent_flow_knowledge, is_complete_after_the_idle_timeout)
		{
			known.idle_timeout = 15s;
			run_for(known.idle_timeout);
			EXPECT_EQ(presence(), flow_presence::unknown);
			run_for(idle_margin + 2s);
			EXPECT_EQ(presence(), flow_presence::not_held);
		}

		// Guards against denied flows whose packets arrived while the process was frozen and have not been read yet.
		TEST_F(steering_agent_flow_knowledge, keeps_idle_flow_until_the_sweep_after_a_pause)
		{
			known.idle_timeout = 15s;
			state.knows_all_flows = true;
			open_flow();
			run_for(14s);
			now += 5s;
			sweep_flows(state, known, now);
			EXPECT_EQ(presence(), flow_presence::held);
			now += 1s;
			sweep_flows(state, known, now);
			EXPECT_EQ(presence(), flow_presence::not_held) << "no packet of the flow had arrived";
		}

		// Guards against denied flows whose packets were lost while the process was frozen.
		TEST_F(steering_agent_flow_knowledge, starts_anew_after_a_pause_of_the_process)
		{
			known.idle_timeout = 15s;
			run_for(5s);
			now += 20s;
			run_for(10s);
			EXPECT_EQ(presence(), flow_presence::unknown);
			run_for(10s);
			EXPECT_EQ(presence(), flow_presence::not_held);
		}

		// Guards against probes at all upstreams after an upstream ended and its agent could not deny the flow.
		TEST_F(steering_agent_flow, knows_all_flows_after_upstream_port_refused)
		{
			open_flow();
			EXPECT_EQ(handle_connection_refused(state, now).resets.size(), 1U);
			EXPECT_EQ(answer_query(state, std::array{flow}).at(0).presence, flow_presence::not_held);
		}

		// Guards against probe packets that are sent back over the link although the balancer has kept them.
		TEST_F(steering_agent_flow, replies_to_probe_without_packet)
		{
			EXPECT_TRUE(packet(message_kind::probe, data()).to_upstream);
			auto bounced = data();
			bounced.bounced = true;
			const auto decision = upstream(bounced);
			ASSERT_EQ(decision.replies.size(), 1U);
			EXPECT_EQ(decision.replies[0].kind, message_kind::not_held);
			EXPECT_FALSE(decision.replies[0].with_packet);
		}

		// Guards against resets of open flows. A packet was probed at an ended upstream while another upstream held the
		// flow, and the agent of the ended one reset it.
		TEST_F(steering_agent_flow, denies_probed_flow_when_upstream_port_refuses)
		{
			EXPECT_TRUE(packet(message_kind::probe, data()).to_upstream);
			const auto decision = handle_connection_refused(state, now);
			EXPECT_TRUE(decision.resets.empty());
			ASSERT_EQ(decision.replies.size(), 1U);
			EXPECT_EQ(decision.replies[0].kind, message_kind::not_held);
			EXPECT_EQ(decision.replies[0].balancer, balancer);
			EXPECT_FALSE(decision.replies[0].with_packet);
		}

		class steering_agent_restart : public steering_agent
		{
		protected:
			/// Revision of the listing that the process read when it started.
			static constexpr store_revision first_listing{.era = 0, .number = 100};

			void SetUp() override
			{
				steering_agent::SetUp();
				state.gate.started = now;
			}

			/// Registers a run of the upstream after the process started.
			void register_run(const std::string& key)
			{
				auto made = entry(1, "desk", "a");
				const store_revision revision{.era = 0, .number = first_listing.number + 1};
				apply_record(
					known, record_group::upstreams,
					{.key = key, .revision = revision, .created = revision, .value = std::move(made), .encoded = {}},
					now);
			}

			watch_scope part()
			{
				return choose_watch_scope(state, known, first_listing, now);
			}
		};

		// Guards against callers that wait for seconds after a power loss. The agent watched the entry of the previous
		// upstream and detected the new one only when that entry expired.
		TEST_F(steering_agent_restart, watches_all_entries_until_restarted_upstream_registers)
		{
			EXPECT_EQ(part().key, "");
			EXPECT_EQ(part().coalescing_delay, identification_coalescing_delay);
			register_run("u9");
			EXPECT_EQ(part().key, "u9");
			EXPECT_EQ(part().coalescing_delay, agent_coalescing_delay);
		}

		// Guards against an agent that takes the entry of its previous upstream, whose clock was ahead, for that of the
		// new one, and misses that the new one is in cold start.
		TEST_F(steering_agent_restart, does_not_compare_start_times)
		{
			auto before = entry(1, "desk", "a");
			before.started_at_ms = std::numeric_limits<std::int64_t>::max() / 2;
			put(known, "u1", before);
			EXPECT_EQ(part().key, "");
		}

		// Guards against store calls for changes of all upstreams by agents that restarted without their upstream.
		TEST_F(steering_agent_restart, watches_its_entry_once_upstream_proves_older)
		{
			packet(message_kind::probe, data());
			upstream(reply(50));
			EXPECT_EQ(part().key, "u1");
		}

		// Guards against a new upstream that is taken for an older one because it answers a flow opened by this agent.
		TEST_F(steering_agent_restart, does_not_infer_older_upstream_from_flow_opened_here)
		{
			packet(message_kind::open, opening());
			upstream(reply(0, true));
			EXPECT_EQ(part().key, "");
		}

		// Guards against an agent that watches all upstreams forever because its own did not restart.
		TEST_F(steering_agent_restart, watches_remaining_entry_after_identification_time)
		{
			now += identification_time;
			EXPECT_EQ(part().key, "u1");
			put(known, "u1", removed_record{});
			EXPECT_EQ(part().key, "");
			EXPECT_EQ(part().coalescing_delay, agent_coalescing_delay);
		}

		class steering_agent_upstream_restart : public steering_agent_restart
		{
		protected:
			void SetUp() override
			{
				steering_agent_restart::SetUp();
				now += identification_time;
				open_flow();
				ASSERT_EQ(part().key, "u1");
				now += 1s;
			}

			/// Registers the new run of the upstream under another key.
			void register_new_run()
			{
				register_run("u9");
			}

			/// Expects that the agent watches all entries until it knows the one of the new run.
			void expect_search_for_new_run()
			{
				EXPECT_EQ(part().key, "");
				now += 500ms;
				register_new_run();
				EXPECT_EQ(part().key, "u9");
			}
		};

		// Guards against flows at a draining upstream that restarted while its agent ran: the agent watched the entry
		// of the former run only.
		TEST_F(steering_agent_upstream_restart, watches_all_entries_after_port_refused)
		{
			EXPECT_FALSE(handle_connection_refused(state, now).resets.empty());
			expect_search_for_new_run();
		}

		// Guards against a restart that goes unnoticed because no packet arrived while the upstream was down.
		TEST_F(steering_agent_upstream_restart, watches_all_entries_after_upstream_lost_open_flow)
		{
			auto back = data();
			back.bounced = true;
			upstream(back);
			expect_search_for_new_run();
		}

		// Guards against the same where the upstream closed its flows before it ended, so that none was lost.
		TEST_F(steering_agent_upstream_restart, watches_all_entries_after_idle_upstream_returned_opening_packet)
		{
			auto next = opening();
			next.source.port = 50'000;
			packet(message_kind::open, next);
			next.bounced = true;
			upstream(next);
			expect_search_for_new_run();
		}

		// Guards against an agent that watches all entries forever because its upstream lost a flow without a restart.
		TEST_F(steering_agent_upstream_restart, watches_its_entry_again_without_new_registration)
		{
			auto back = data();
			back.bounced = true;
			upstream(back);
			now += identification_time;
			EXPECT_EQ(part().key, "u1");
		}

		class steering_agent_shutdown : public steering_agent
		{
		protected:
			admission_status reported()
			{
				return make_load_report(state, known, now).admission;
			}
		};

		// Guards against searches that wait for the answer of a stopped agent whose upstream held no flow.
		TEST_F(steering_agent_shutdown, reports_drained_when_upstream_holds_no_flow)
		{
			state.knows_all_flows = true;
			open_flow();
			state.gate.stopping = true;
			EXPECT_EQ(reported(), admission_status::stopping);
			static_cast<void>(handle_connection_refused(state, now));
			EXPECT_EQ(reported(), admission_status::drained);
		}

		// Guards against resets of flows at an upstream whose agent stops before it has seen them.
		TEST_F(steering_agent_shutdown, does_not_report_drained_while_flows_may_be_unknown)
		{
			state.gate.stopping = true;
			EXPECT_EQ(reported(), admission_status::stopping);
		}
	}
}
