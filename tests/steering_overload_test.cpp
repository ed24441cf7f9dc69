#include "steering_world.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>

namespace nutmegturn::steering::testing
{
	namespace
	{
		/// Load on one upstream after an outage: callers that waited for its end open their flows together with the
		/// callers of just then. Each flow has one request.
		struct overload_pattern
		{
			std::size_t backlog = 0;     ///< Callers whose first opening packet was lost in the outage.
			milliseconds spacing{};      ///< Time between two callers that arrive after the outage.
			milliseconds service_time{}; ///< Time for which a request takes a slot.
			milliseconds handshake{};    ///< Time from the delivery of an opening packet to the arrival of the request.
			milliseconds target{};       ///< Latency target of a request.
			milliseconds length{};       ///< Time for which callers arrive.
		};

		/// A second of callers, lost with the power, meets five slots at 60% of their capacity.
		constexpr overload_pattern after_power_loss{.backlog = 60,
													.spacing = 16ms,
													.service_time = 48ms,
													.handshake = 10ms,
													.target = 150ms,
													.length = 1'500ms};

		/// Returns an opening packet that begins to wait at `now`.
		waiting_opening waiting(const flow_id& id, std::uint32_t copy, monotonic_time now)
		{
			return {.flow = id,
					.balancer = ipv4{1},
					.service = {},
					.version = 3,
					.packet = {},
					.opened_at = now - age_of_copy(copy),
					.queued_at = now};
		}

		/// Takes the next waiting opening packet.
		using queue_order = std::function<std::optional<waiting_opening>(opening_queue&)>;

		std::optional<waiting_opening> take_oldest_opening(opening_queue& queue)
		{
			if (queue.waiting.empty())
			{
				return std::nullopt;
			}
			std::optional<waiting_opening> oldest{std::move(queue.waiting.front())};
			queue.waiting.erase(queue.waiting.begin());
			return oldest;
		}

		/// Agent with one upstream in virtual time, in steps of a millisecond.
		struct overloaded_upstream
		{
			overload_pattern pattern;
			queue_order take_next;
			catalog known = small_catalog();
			agent_state state;
			monotonic_time now = start + 10s;
			std::map<std::uint16_t, monotonic_time> called_at;               ///< By the caller's port.
			std::deque<std::pair<monotonic_time, std::uint16_t>> handshakes; ///< Requests that will arrive.
			std::deque<std::uint16_t> upstream_queue;
			std::vector<std::pair<monotonic_time, std::uint16_t>> in_service; ///< With the time of the response.
			std::size_t in_time = 0;  ///< Callers after the outage that were answered within their target.
			std::size_t answered = 0; ///< All callers that were answered.

			overloaded_upstream(const overload_pattern& load, queue_order order)
				: pattern{load}, take_next{std::move(order)}
			{
				state.gate.instance = instance(1);
				state.gate.zone = "a";
				state.gate.service = "desk";
			}

			[[nodiscard]] static segment from_port(segment packet, std::uint16_t port)
			{
				(packet.source == caller_address ? packet.source : packet.destination).port = port;
				return packet;
			}

			void deliver_opening(std::uint16_t port, std::uint32_t copy)
			{
				const auto packet = from_port(opening(copy), port);
				const auto decision =
					handle_balancer_packet(state, known, about_flow(message_kind::open), packet, ipv4{1}, now);
				if (decision.waits)
				{
					add_opening(state.queue, waiting(flow_of_caller(packet), copy, now));
				}
				if (decision.to_upstream)
				{
					(void)handle_upstream_packet(state, from_port(reply(0, true), port), now);
					handshakes.emplace_back(now + pattern.handshake, port);
				}
			}

			void receive_requests()
			{
				for (; !handshakes.empty() && handshakes.front().first <= now; handshakes.pop_front())
				{
					const auto port = handshakes.front().second;
					(void)handle_balancer_packet(state, known, about_flow(message_kind::flow_packet),
												 from_port(data(), port), ipv4{1}, now);
					upstream_queue.push_back(port);
				}
			}

			void serve()
			{
				std::erase_if(in_service,
							  [this](const auto& it)
							  {
								  if (it.first > now)
								  {
									  return false;
								  }
								  (void)handle_upstream_packet(state, from_port(reply(50), it.second), now);
								  ++answered;
								  const auto called = called_at.find(it.second);
								  in_time += called != called_at.end() && now - called->second <= pattern.target;
								  return true;
							  });
				for (; in_service.size() < 5 && !upstream_queue.empty(); upstream_queue.pop_front())
				{
					in_service.emplace_back(now + pattern.service_time, upstream_queue.front());
				}
			}

			void forward_waiting()
			{
				while (!state.queue.waiting.empty() && !is_saturated(state, known, now))
				{
					deliver_opening(take_next(state.queue)->flow.caller.port, 0);
				}
			}

			/// Returns the share of callers after the outage that are answered in time.
			double run()
			{
				std::uint16_t port = 1;
				for (std::size_t i = 0; i < pattern.backlog; ++i)
				{
					deliver_opening(port++, 1);
				}
				const auto end = now + pattern.length;
				for (auto next_caller = now; now < end + 1s; now += 1ms)
				{
					if (now >= next_caller && now < end)
					{
						called_at[port] = now;
						deliver_opening(port++, 0);
						next_caller += pattern.spacing;
					}
					receive_requests();
					serve();
					forward_waiting();
				}
				return static_cast<double>(in_time) / static_cast<double>(called_at.size());
			}
		};

		class steering_overload : public ::testing::Test
		{
		protected:
			opening_queue queue;
			monotonic_time now = start;

			std::optional<waiting_opening> add(std::uint32_t caller, std::uint32_t copy = 0)
			{
				const flow_id id{.caller = {.ip = ipv4{caller}, .port = 1}, .route = route_address};
				return add_opening(queue, waiting(id, copy, now));
			}

			std::optional<ipv4> take()
			{
				const auto taken = take_newest_opening(queue);
				return taken ? std::optional{taken->flow.caller.ip} : std::nullopt;
			}
		};

		// Guards against a recovery in which nobody is answered in time: after a power loss the callers of a second
		// wait in front of the callers of just then. The target is the share of a calm day, 0.9 or more.
		TEST_F(steering_overload, answers_new_callers_in_time_while_backlog_is_served)
		{
			overloaded_upstream newest_first{after_power_loss, take_newest_opening};
			EXPECT_GE(newest_first.run(), 0.9);
			overloaded_upstream oldest_first{after_power_loss, take_oldest_opening};
			EXPECT_LT(oldest_first.run(), 0.75) << "the pattern is an overload in order of arrival";
			EXPECT_GE(newest_first.answered, oldest_first.answered) << "no caller is served at the cost of another";
		}

		// Guards against opening packets that wait although a slot is free, on a calm day.
		TEST_F(steering_overload, lets_nobody_wait_below_capacity)
		{
			auto calm = after_power_loss;
			calm.backlog = 0;
			overloaded_upstream upstream{calm, take_newest_opening};
			EXPECT_EQ(upstream.run(), 1.0);
		}

		// Guards against an upstream without a published number of slots that gets no flows.
		TEST_F(steering_overload, does_not_limit_upstream_with_unknown_slots)
		{
			overloaded_upstream upstream{after_power_loss, take_newest_opening};
			upstream.known.upstreams.clear();
			upstream.known.by_service.clear();
			upstream.known.by_address.clear();
			EXPECT_FALSE(is_saturated(upstream.state, upstream.known, now));
		}

		// Guards against callers that wait for a free slot of an upstream that is known to take no new flows.
		TEST_F(steering_overload, knows_when_waiting_is_in_vain)
		{
			overloaded_upstream upstream{after_power_loss, take_newest_opening};
			auto& gate = upstream.state.gate;
			EXPECT_TRUE(admits_new_flows(gate, upstream.known, now));
			put(upstream.known, "evacuate/a", zone_evacuation{.zone = "a"});
			EXPECT_FALSE(admits_new_flows(gate, upstream.known, now));
			put(upstream.known, "evacuate/a", removed_record{});
			EXPECT_TRUE(admits_new_flows(gate, upstream.known, now));
			mark_refused(gate, now);
			EXPECT_FALSE(admits_new_flows(gate, upstream.known, now));
			mark_reachable(gate, now);
			gate.stopping = true;
			EXPECT_FALSE(admits_new_flows(gate, upstream.known, now));
		}

		// Guards against callers that are late already and take the slots of new ones.
		TEST_F(steering_overload, orders_packets_by_first_copy)
		{
			add(1);
			now += 100ms;
			add(2, 1);
			add(3, 2);
			add(4);
			EXPECT_EQ(take(), ipv4{4});
			EXPECT_EQ(take(), ipv4{1}) << "opened 100 ms ago";
			EXPECT_EQ(take(), ipv4{2}) << "opened 200 ms ago";
			EXPECT_EQ(take(), ipv4{3}) << "opened 600 ms ago";
			EXPECT_EQ(take(), std::nullopt);
		}

		// Guards against a flow that is opened twice by the copies of its opening packet.
		TEST_F(steering_overload, keeps_one_copy_of_each_packet)
		{
			add(1);
			now += 200ms;
			add(1, 1);
			EXPECT_EQ(take(), ipv4{1});
			EXPECT_EQ(take(), std::nullopt);
		}

		// Guards against unbounded memory, and against callers that wait for their own timeout of 1.4 s although other
		// upstreams could serve them.
		TEST_F(steering_overload, returns_packets_that_cannot_be_served)
		{
			for (std::uint32_t i = 0; i < max_waiting_openings; ++i)
			{
				EXPECT_EQ(add(i), std::nullopt);
				now += 1ms;
			}
			const auto evicted = add(max_waiting_openings);
			ASSERT_TRUE(evicted);
			EXPECT_EQ(evicted->flow.caller.ip, ipv4{0}) << "the oldest leaves";
			EXPECT_TRUE(take_overdue_openings(queue, start + max_opening_wait).empty());
			const auto overdue = take_overdue_openings(queue, start + max_opening_wait + 2ms);
			ASSERT_EQ(overdue.size(), 2U);
			EXPECT_EQ(overdue[0].flow.caller.ip, ipv4{1});
			EXPECT_EQ(queue.waiting.size(), max_waiting_openings - 2);
		}
	}
}
