#include "steering_world.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>

namespace nutmegturn::steering::testing
{
	namespace
	{
		using action = steering_decision::action;

		constexpr std::uint32_t upstream_count = 8;
		constexpr std::uint32_t slots = 3;
		constexpr std::size_t full_requests = std::size_t{2} * slots; ///< From which opening packets wait.
		constexpr milliseconds cost{43};
		constexpr std::size_t served_per_second = std::size_t{slots} * 1'000 / std::size_t{cost.count()};
		constexpr double capacity = 1'000.0 * upstream_count * slots / cost.count(); ///< Requests per second.

		[[nodiscard]] catalog make_catalog(const traffic_class& traffic)
		{
			catalog known;
			auto config = configured(3, {{.service = "desk", .weight = 1}});
			config.routes.front().traffic = traffic;
			// A more urgent route, so that the service has priorities.
			config.routes.push_back({.address = {.ip = route_address.ip, .port = 444},
									 .services = {{.service = "desk", .weight = 1}},
									 .traffic = {.priority = 0}});
			put(known, "config", config);
			for (std::uint32_t i = 0; i < upstream_count; ++i)
			{
				auto it = entry(i, "desk", "a");
				it.slots = slots;
				put(known, "u" + std::to_string(i), it);
			}
			return known;
		}

		[[nodiscard]] segment opening_of(std::uint32_t caller, std::uint32_t copy)
		{
			auto packet = opening(copy);
			packet.source = {.ip = ipv4{0x64400000U + caller / 50'000}, .port = std::uint16_t(1'024 + caller % 50'000)};
			return packet;
		}

		steering_decision report(balancer_state& state, const catalog& known, ipv4 agent, const work_report& work,
								 std::uint16_t requests, monotonic_time now)
		{
			const auto knowledge = encode_knowledge({}, now);
			const auto encoded = encode_work_report(work);
			std::vector<std::byte> payload(knowledge.size() + encoded.size());
			std::ranges::copy(encoded, std::ranges::copy(knowledge, payload.begin()).out);
			auto msg = about_flow(message_kind::load);
			msg.load.requests_in_progress = requests;
			msg.packet = payload;
			return handle_agent_message(state, known, msg, nullptr, agent, now);
		}

		steering_decision return_full(balancer_state& state, const catalog& known, ipv4 agent, const segment& packet,
									  monotonic_time now)
		{
			auto msg = about_flow(message_kind::declined, flow_of_caller(packet));
			msg.load.requests_in_progress = 2 * slots;
			return handle_agent_message(state, known, msg, &packet, agent, now);
		}

		struct waiting_packet
		{
			segment packet;
			std::size_t balancer = 0;
			monotonic_time since;
		};

		/// Agent and upstream as the balancers see them: packets wait while there are requests for twice the slots, the
		/// newest is delivered first, and after 400 ms they are returned.
		struct simulated_upstream
		{
			milliseconds service_time = cost;
			bool silent = false;
			std::optional<work_report> false_report;
			std::deque<monotonic_time> ends; ///< Of the requests in progress, in order.
			std::vector<waiting_packet> waiting;
			monotonic_time returned_at{};
			std::deque<monotonic_time> openings; ///< Packets that arrived in the last 100 ms.
			std::size_t most_openings = 0;       ///< In 100 ms.
		};

		struct caller
		{
			monotonic_time opened_at;
			std::uint32_t attempts_left = 2;
			std::uint32_t next_copy = 1;
			std::size_t balancer = 0;
			bool done = false;
		};

		/// What happened since the counts were reset.
		struct counts
		{
			std::size_t first = 0;
			std::size_t second = 0;
			std::size_t resets = 0;
			std::size_t waits = 0; ///< Sum of the waiting packets of each step.
			std::size_t served = 0;
			std::size_t after_caller_gave_up = 0;
			std::size_t overloaded = 0;
		};

		/// Callers, balancers and upstreams in virtual time, in steps of a millisecond.
		struct placement_world
		{
			catalog known;
			std::vector<balancer_state> balancers;
			std::vector<simulated_upstream> upstreams = std::vector<simulated_upstream>(upstream_count);
			std::vector<caller> callers;
			std::size_t oldest_caller = 0;
			milliseconds caller_timeout{1'400};
			milliseconds report_delay{2};
			std::deque<std::pair<monotonic_time, std::function<void()>>> in_transit;
			monotonic_time now = start;
			double due = 0;
			counts seen;

			placement_world(std::size_t balancer_count, const traffic_class& traffic) : known{make_catalog(traffic)}
			{
				balancers.resize(balancer_count);
				std::ranges::for_each(balancers, [](auto& it) { it.zone = "a"; });
			}

			void call(std::uint32_t attempts_left)
			{
				const auto id = static_cast<std::uint32_t>(callers.size());
				callers.push_back(
					{.opened_at = now, .attempts_left = attempts_left, .balancer = id % balancers.size()});
				send(id, 0);
			}

			void send(std::uint32_t id, std::uint32_t copy)
			{
				const auto packet = opening_of(id, copy);
				const auto decision = steer_packet(balancers[callers[id].balancer], known, packet, now, true);
				seen.first += copy == 0 && decision.what == action::forward;
				apply(decision, packet, id);
			}

			void apply(const steering_decision& decision, const segment& packet, std::uint32_t id)
			{
				if (decision.what == action::reset)
				{
					++seen.resets;
					seen.overloaded += decision.why == reason::overloaded;
					callers[id].done = true;
					if (callers[id].attempts_left > 0)
					{
						call(callers[id].attempts_left - 1);
					}
				}
				if (decision.what == action::forward)
				{
					deliver(index_of(decision.agents.at(0)), packet, id);
				}
			}

			[[nodiscard]] static std::size_t index_of(ipv4 agent)
			{
				return static_cast<std::uint32_t>(agent) - static_cast<std::uint32_t>(instance(0));
			}

			void deliver(std::size_t index, const segment& packet, std::uint32_t id)
			{
				auto& it = upstreams[index];
				it.openings.push_back(now);
				std::erase_if(it.openings, [this](auto at) { return now - at >= 100ms; });
				it.most_openings = std::max(it.most_openings, it.openings.size());
				const auto same = std::ranges::find_if(it.waiting, [&](const auto& w)
													   { return flow_of_caller(w.packet) == flow_of_caller(packet); });
				if (it.silent)
				{
					return;
				}
				if (same != it.waiting.end())
				{
					same->packet = packet;
				}
				else if (it.ends.size() >= full_requests)
				{
					it.waiting.push_back({.packet = packet, .balancer = callers[id].balancer, .since = now});
				}
				else
				{
					serve(index, packet, id);
				}
			}

			void serve(std::size_t index, const segment& packet, std::uint32_t id)
			{
				auto& it = upstreams[index];
				const auto free_at = it.ends.size() < slots ? now : it.ends[it.ends.size() - slots];
				it.ends.push_back(std::max(free_at, now) + it.service_time);
				if (!callers[id].done)
				{
					++seen.served;
					callers[id].done = true;
				}
				auto msg = about_flow(message_kind::accepted, flow_of_caller(packet));
				msg.load.requests_in_progress = static_cast<std::uint16_t>(it.ends.size());
				(void)handle_agent_message(balancers[callers[id].balancer], known, msg, nullptr,
										   instance(static_cast<std::uint32_t>(index)), now);
			}

			[[nodiscard]] static std::uint32_t caller_of(const segment& packet)
			{
				return (static_cast<std::uint32_t>(packet.source.ip) - 0x64400000U) * 50'000 + packet.source.port -
					   1'024;
			}

			void run_upstream(std::size_t index)
			{
				auto& it = upstreams[index];
				std::erase_if(it.ends, [this](auto end) { return end <= now; });
				while (!it.waiting.empty() && it.ends.size() < full_requests)
				{
					const auto next = it.waiting.back();
					it.waiting.pop_back();
					serve(index, next.packet, caller_of(next.packet));
				}
				seen.waits += it.waiting.size();
				while (!it.waiting.empty() && now - it.waiting.front().since >= max_opening_wait)
				{
					const auto overdue = it.waiting.front();
					it.waiting.erase(it.waiting.begin());
					it.returned_at = now;
					const auto id = caller_of(overdue.packet);
					const auto decision = return_full(balancers[overdue.balancer], known,
													  instance(static_cast<std::uint32_t>(index)), overdue.packet, now);
					const bool placed = decision.what == action::forward;
					seen.second += placed;
					seen.after_caller_gave_up += placed && now - callers[id].opened_at >= caller_timeout;
					apply(decision, overdue.packet, id);
				}
			}

			void report_loads()
			{
				for (std::uint32_t i = 0; i < upstream_count; ++i)
				{
					const auto& it = upstreams[i];
					const auto requests = static_cast<std::uint16_t>(it.ends.size() + it.waiting.size());
					const bool waits =
						!it.waiting.empty() || (it.returned_at != monotonic_time{} && now - it.returned_at <= 500ms);
					work_report work{.outstanding = it.service_time * requests, .mean_cost = it.service_time};
					work.waiting_priority = waits ? std::optional{lowest_priority} : std::nullopt;
					work.opening_wait = waits ? it.service_time * requests / slots : 0ms;
					in_transit.emplace_back(now + report_delay,
											[this, i, requests, sent = it.false_report.value_or(work)]
											{
												for (auto& state : balancers)
												{
													(void)report(state, known, instance(i), sent, requests, now);
												}
											});
					if (it.silent)
					{
						in_transit.pop_back();
					}
				}
			}

			void retransmit()
			{
				for (auto id = oldest_caller; id < callers.size(); ++id)
				{
					auto& it = callers[id];
					const auto age = now - it.opened_at;
					if (!it.done && it.next_copy <= 2 && age >= age_of_copy(it.next_copy) && age < caller_timeout)
					{
						send(static_cast<std::uint32_t>(id), callers[id].next_copy++);
					}
					oldest_caller += id == oldest_caller && (callers[id].done || age >= 1'400ms);
				}
			}

			/// Runs for `length` with callers at a multiple of the capacity.
			/// \returns	What happened in that time.
			counts run(milliseconds length, double load)
			{
				seen = {};
				for (const auto end = now + length; now < end; now += 1ms)
				{
					for (; !in_transit.empty() && in_transit.front().first <= now; in_transit.pop_front())
					{
						in_transit.front().second();
					}
					for (due += load * capacity / 1'000; due >= 1; due -= 1)
					{
						call(2);
					}
					retransmit();
					for (std::size_t i = 0; i < upstream_count; ++i)
					{
						run_upstream(i);
					}
					if ((now - start) % 100ms == 0ms)
					{
						report_loads();
					}
				}
				return seen;
			}
		};

		// Guards against second placements and repeated calls that keep up an overload after its cause has ended. Load:
		// 5 s at 1.3 times the capacity, then 0.7 as before, with callers that try twice more after a reset.
		TEST(placement_overload, ends_within_two_seconds_of_a_burst)
		{
			placement_world world{4, {.timeout = 1'400ms}};
			world.run(2s, 0.7);
			const auto before = world.run(1s, 0.7);
			const auto burst = world.run(5s, 1.3);
			world.run(2s, 0.7);
			const auto after = world.run(1s, 0.7);
			constexpr std::uint32_t reserves = 4 * 6; // Of each balancer, in each second that the burst touches.
			const auto budget = second_placement_share * double(burst.first) + reserves * second_placement_reserve;
			EXPECT_GT(burst.waits, 0U) << "the load is a burst";
			EXPECT_LE(double(burst.second), budget);
			EXPECT_NEAR(double(after.first), double(before.first), 0.02 * double(before.first));
			EXPECT_EQ(after.resets, before.resets);
			EXPECT_EQ(after.second, before.second);
			EXPECT_LE(after.waits, before.waits + after.first) << "the mean wait differs by less than 1 ms";
		}

		// Guards against slots spent on callers that have gone: a packet was delivered 2.7 s after it was sent. Load: 2
		// s at twice the capacity, with callers that give up after 500 ms.
		TEST(placement_overload, places_no_packet_after_its_caller_gave_up)
		{
			placement_world world{4, {.timeout = 500ms}};
			world.caller_timeout = 500ms;
			const auto seen = world.run(2s, 2.0);
			EXPECT_GT(seen.waits, 0U);
			EXPECT_EQ(seen.after_caller_gave_up, 0U);
		}

		// Guards against 20 balancers that all turn to an upstream that has just recovered. Load: 1.1 times the
		// capacity of all, while one takes ten times as long for 3 s, with reports that are 500 ms old.
		TEST(placement_overload, does_not_flood_a_recovering_upstream)
		{
			placement_world world{20, {.timeout = 1'400ms}};
			world.report_delay = 500ms;
			world.upstreams[0].service_time = 10 * cost;
			world.run(3s, 1.1);
			world.upstreams[0].service_time = cost;
			world.upstreams[0].most_openings = 0;
			(void)world.run(3s, 1.1);
			EXPECT_LE(world.upstreams[0].most_openings, served_per_second);
		}

		// Guards against urgent callers that are rejected since the budget is spent although an upstream has room.
		// Load: 200 openings in 1 s, which 7 of 8 upstreams return.
		TEST(placement_overload, never_resets_an_urgent_caller_while_an_upstream_reports_room)
		{
			constexpr std::uint8_t urgent = 1;
			const auto known = make_catalog({.priority = urgent});
			balancer_state state{.zone = "a", .started = start, .flows = {}, .loads = {}};
			auto now = start;
			for (std::uint32_t caller = 0; caller < 200; ++caller, now += 5ms)
			{
				for (std::uint32_t i = 0; i < upstream_count; ++i)
				{
					const bool room = i == caller % upstream_count;
					(void)report(state, known, instance(i),
								 {.waiting_priority = room ? std::uint8_t{5} : urgent, .opening_wait = 600ms},
								 2 * slots, now);
				}
				const auto packet = opening_of(caller, 0);
				auto decision = steer_packet(state, known, packet, now, true);
				while (decision.what == action::forward && decision.agents.at(0) != instance(caller % upstream_count))
				{
					decision = return_full(state, known, decision.agents.at(0), packet, now);
				}
				ASSERT_EQ(decision.what, action::forward) << to_string(decision.why) << " " << caller;
			}
		}

		// Guards against one agent that decides for the whole service. Load: half the capacity, while one agent is
		// silent, reports that all wait for a minute, or reports room while its upstream is slow.
		TEST(placement_overload, confines_a_silent_or_false_agent_to_its_upstream)
		{
			const work_report full{.outstanding = 9'999h, .waiting_priority = 0, .opening_wait = 9'999h};
			const work_report room{.mean_cost = 1ms};
			for (const auto& report : {std::optional<work_report>{}, std::optional{full}, std::optional{room}})
			{
				placement_world world{4, {.timeout = 1'400ms}};
				world.upstreams[0].silent = !report;
				world.upstreams[0].false_report = report;
				world.upstreams[0].service_time = report ? 10 * cost : cost;
				const auto seen = world.run(4s, 0.5);
				EXPECT_EQ(seen.overloaded, 0U);
				EXPECT_EQ(seen.resets, 0U);
				EXPECT_GE(double(seen.served), 0.98 * double(seen.first));
			}
		}

		class placement_of_one_flow : public ::testing::Test
		{
		protected:
			catalog known = make_catalog({.timeout = 600ms, .priority = 3});
			balancer_state state{.zone = "a", .started = start, .flows = {}, .loads = {}};
			monotonic_time now = start;

			void report_all(const work_report& work)
			{
				for (std::uint32_t i = 0; i < upstream_count; ++i)
				{
					(void)report(state, known, instance(i), work, 2 * slots, now);
				}
			}

			steering_decision send(std::uint32_t copy)
			{
				return steer_packet(state, known, opening_of(0, copy), now, true);
			}

			steering_decision take_back(ipv4 agent, std::uint32_t copy)
			{
				return return_full(state, known, agent, opening_of(0, copy), now);
			}
		};

		constexpr work_report short_wait{.waiting_priority = 3, .opening_wait = 300ms};
		constexpr work_report long_wait{.waiting_priority = 3, .opening_wait = 601ms};

		// Guards against a packet that waits at two upstreams, of which both spend a slot on it.
		TEST_F(placement_of_one_flow, keeps_retransmission_where_the_first_packet_waits)
		{
			const auto first = send(0).agents.at(0);
			now += 100ms;
			report_all(short_wait);
			now += 100ms;
			EXPECT_EQ(send(1).agents, std::vector{first});
			now += 400ms;
			EXPECT_NE(send(2).agents, std::vector{first}) << "not heard since";
		}

		// Guards against retransmissions that follow the first packet to an agent that is silent, reports that only
		// less urgent packets wait, takes no flows, or reported its work too long ago.
		TEST_F(placement_of_one_flow, moves_retransmission_if_the_first_packet_may_not_wait)
		{
			for (int variant = 0; variant < 4; ++variant)
			{
				state = {.zone = "a", .started = start, .flows = {}, .loads = {}};
				report_all(short_wait);
				now += variant == 3 ? work_report_lifetime - 100ms : 0ms;
				const auto first = send(0).agents.at(0);
				now += 150ms;
				auto msg = about_flow(message_kind::held, flow_of_caller(opening_of(1, 0)));
				msg.load.admission = variant == 2 ? admission_status::draining : admission_status::accepting;
				if (variant > 0)
				{
					(void)handle_agent_message(state, known, msg, nullptr, first, now);
				}
				if (variant == 1)
				{
					(void)report(state, known, first, {.waiting_priority = 4}, 2 * slots, now);
				}
				now += 50ms;
				EXPECT_NE(send(1).agents, std::vector{first}) << variant;
			}
		}

		// Guards against a flow that is opened twice: its first packet is returned while the retransmission is on its
		// way to the same agent.
		TEST_F(placement_of_one_flow, awaits_the_answer_to_a_later_copy)
		{
			const auto first = send(0).agents.at(0);
			now += 199ms;
			report_all(short_wait);
			now += 1ms;
			ASSERT_EQ(send(1).agents, std::vector{first});
			now += 2ms;
			EXPECT_EQ(take_back(first, 0).what, action::drop);
			EXPECT_EQ(take_back(first, 1).what, action::forward);
		}

		// Guards against slots spent on callers that have gone, and against callers that are taken for gone while they
		// wait for their next retransmission.
		TEST_F(placement_of_one_flow, is_given_up_when_the_next_retransmission_is_overdue)
		{
			for (const auto& [copies, gone_after] : {std::pair{0U, 300ms}, {1U, 600ms}, {2U, 1'400ms}})
			{
				known.routes.at(route_address).traffic.timeout = copies == 1 ? 600ms : 0ms;
				for (const auto waited : {gone_after - 1ms, milliseconds{gone_after}})
				{
					state.flows.clear();
					const auto opened = now;
					auto holder = send(0).agents.at(0);
					for (std::uint32_t copy = 1; copy <= copies; ++copy)
					{
						now = opened + age_of_copy(copy);
						holder = send(copy).agents.at(0);
						std::erase(state.flows.begin()->second.unanswered, holder);
					}
					state.flows.begin()->second.unanswered.clear();
					now = opened + waited;
					const auto decision = take_back(holder, copies);
					EXPECT_EQ(decision.what, waited == gone_after ? action::drop : action::forward) << copies;
					EXPECT_EQ(decision.why, waited == gone_after ? reason::caller_gone : reason::none);
				}
			}
		}

		// Guards against callers that wait for a timeout that is certain, and against rejections that are not.
		TEST_F(placement_of_one_flow, is_rejected_at_once_only_if_all_upstreams_report_too_long_a_wait)
		{
			report_all(long_wait);
			const auto rejection = send(0);
			EXPECT_EQ(rejection.what, action::reset);
			EXPECT_EQ(rejection.why, reason::overloaded);
			EXPECT_EQ(rejection.reported_wait, 601ms);
			EXPECT_EQ(send(1).what, action::forward) << "another balancer may have placed the first copy";
			state.flows.clear();
			for (const auto& other : {work_report{}, work_report{.waiting_priority = 4, .opening_wait = 9s},
									  work_report{.waiting_priority = 3, .opening_wait = 600ms}})
			{
				report_all(long_wait);
				(void)report(state, known, instance(5), other, 2 * slots, now);
				EXPECT_EQ(send(0).what, action::forward);
				state.flows.clear();
			}
			report_all(long_wait);
			now += work_report_lifetime + 1ms;
			EXPECT_EQ(send(0).what, action::forward) << "the reports are too old";
		}

		// Guards against a reset of an open flow: an upstream that has not answered may have opened it when the budget
		// is spent.
		TEST_F(placement_of_one_flow, is_not_reset_while_an_upstream_may_have_opened_it)
		{
			report_all(short_wait);
			const auto silent = send(0).agents.at(0);
			now += 200ms;
			const auto second = send(1).agents.at(0);
			ASSERT_NE(second, silent);
			for (int i = 0; i < 10; ++i)
			{
				record_second_placement(state.budget, 3, now);
			}
			EXPECT_EQ(take_back(second, 1).what, action::drop);
			EXPECT_EQ(take_back(silent, 0).why, reason::retry_budget_spent);
		}

		// Guards against many flows at an upstream that has room for few.
		TEST_F(placement_of_one_flow, goes_beyond_the_budget_only_where_there_is_room)
		{
			constexpr work_report room{.waiting_priority = 4, .opening_wait = 600ms};
			for (const bool full : {false, true})
			{
				state.flows.clear();
				report_all(short_wait);
				const auto holder = send(0).agents.at(0);
				for (int i = 0; i < 10; ++i)
				{
					record_second_placement(state.budget, 3, now);
				}
				const auto other = holder == instance(5) ? instance(6) : instance(5);
				(void)report(state, known, other, room, 2 * slots, now);
				state.loads.at(other).flows_since_report = full ? slots : slots - 1;
				const auto decision = take_back(holder, 0);
				EXPECT_EQ(decision.what, full ? action::reset : action::forward);
				EXPECT_EQ(decision.why, full ? reason::retry_budget_spent : reason::none);
			}
		}

		// Guards against a reset although an upstream that returned the packet has room by now, and against a packet
		// that goes back and forth because of a report from before its return.
		TEST_F(placement_of_one_flow, returns_to_an_upstream_that_has_reported_room_since)
		{
			constexpr work_report room{.waiting_priority = 4, .opening_wait = 600ms};
			for (const bool since : {false, true})
			{
				state = {.zone = "a", .started = start, .flows = {}, .loads = {}};
				report_all(short_wait);
				const auto first = send(0).agents.at(0);
				now += 10ms;
				(void)report(state, known, first, since ? short_wait : room, 2 * slots, now);
				const auto second = take_back(first, 0).agents.at(0);
				now += 10ms;
				(void)report(state, known, second, room, 2 * slots, now);
				if (since)
				{
					(void)report(state, known, first, room, 2 * slots, now);
				}
				for (int i = 0; i < 10; ++i)
				{
					record_second_placement(state.budget, 3, now);
				}
				EXPECT_EQ(take_back(second, 0).agents, since ? std::vector{first} : std::vector<ipv4>{});
			}
		}

		// Guards against rejections by agents of an earlier release, whose upstreams a balancer knows too little of.
		TEST_F(placement_of_one_flow, is_placed_without_a_limit_if_agents_report_no_work)
		{
			for (int i = 0; i < 10; ++i)
			{
				record_second_placement(state.budget, 3, now);
			}
			EXPECT_EQ(take_back(send(0).agents.at(0), 0).what, action::forward);
		}

		// Guards against a budget that grows with the second placements themselves, that one priority takes from
		// another, or that remembers an overload.
		TEST(placement_budget, allows_a_tenth_of_the_openings_of_the_last_second_and_five)
		{
			placement_budget budget;
			for (int i = 0; i < 40; ++i)
			{
				record_first_placement(budget, 2, start + i * 10ms);
			}
			int allowed = 0;
			for (; allows_second_placement(budget, 2, start + 400ms); ++allowed)
			{
				record_second_placement(budget, 2, start + 400ms);
			}
			EXPECT_EQ(allowed, 9);
			EXPECT_TRUE(allows_second_placement(budget, 3, start + 400ms));
			EXPECT_FALSE(allows_second_placement(budget, 2, start + 1'399ms));
			EXPECT_TRUE(allows_second_placement(budget, 2, start + 1'400ms));
		}
	}
}
