#pragma once

#include "steering_world.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <random>

namespace nutmegturn::steering::testing
{
	inline constexpr ipv4_endpoint urgent_route{.ip = ipv4{0xc6120001}, .port = 443};
	inline constexpr ipv4_endpoint bulk_route{.ip = ipv4{0xc6120002}, .port = 443};

	inline constexpr std::uint8_t urgent_priority = 1;
	inline constexpr std::uint8_t bulk_priority = 5;

	/// Time after which callers give up.
	inline constexpr milliseconds caller_timeout{700};

	/// Returns a catalog with two routes to `desk`, whose upstream has three slots.
	/// \param urgent	Priority of `urgent_route`.
	/// \param timeout	Of both classes.
	/// \param bulk_kind	Of the requests of `bulk_route`.
	[[nodiscard]] inline catalog two_classes(std::uint8_t urgent = urgent_priority,
											 milliseconds timeout = caller_timeout,
											 request_kind bulk_kind = request_kind::idempotent)
	{
		catalog known;
		configuration config;
		config.version = 3;
		config.services.push_back({.name = "desk", .cold_time = 2s, .cold_requests_per_s = 0.0});
		for (const auto& [address, priority] : {std::pair{urgent_route, urgent}, std::pair{bulk_route, bulk_priority}})
		{
			config.routes.push_back({.address = address, .services = {{.service = "desk", .weight = 1}}});
			config.routes.back().traffic.priority = priority;
			config.routes.back().traffic.timeout = timeout;
			config.routes.back().traffic.kind = address == bulk_route ? bulk_kind : request_kind::non_idempotent;
		}
		put(known, "config", config);
		auto own = entry(1, "desk", "a");
		own.slots = 3;
		put(known, "u1", own);
		return known;
	}

	/// Returns the state of the agent of upstream 1.
	[[nodiscard]] inline agent_state agent_of_desk()
	{
		agent_state state;
		state.gate.instance = instance(1);
		state.gate.zone = "a";
		state.gate.service = "desk";
		return state;
	}

	/// Requests of one class.
	struct request_load
	{
		ipv4_endpoint route;
		double per_second = 0;
		milliseconds slot_time{};
	};

	/// Callers, one agent and its upstream in virtual time, in steps of a millisecond. Each flow has one request.
	struct priority_world
	{
		/// Request of a caller, on a flow that is open already or that it opens first.
		struct call
		{
			flow_id flow;
			milliseconds slot_time{};
			monotonic_time called_at;
			bool opens_flow = false;
			bool accepted = false;    ///< The upstream accepted the opening packet.
			bool arrived = false;     ///< The upstream has the request.
			bool ended = false;       ///< Answered, rejected or given up.
			milliseconds interval{0}; ///< From the last copy of the request to the next one.
			monotonic_time next_copy_at{};
			std::uint32_t copies = 0; ///< Opening packets that were sent.
			std::optional<monotonic_time> answered_at{};
			std::optional<monotonic_time> delivered_at{};
		};

		static constexpr std::size_t slots = 3;
		static constexpr std::size_t upstream_queue_limit = 4 * slots;
		static constexpr milliseconds handshake{10};
		static constexpr double open_flow_share = 0.7;

		catalog known;
		milliseconds timeout = caller_timeout;
		agent_state state = agent_of_desk();
		monotonic_time now = start + 10s;
		std::mt19937 random{1};
		std::vector<call> calls;
		std::vector<std::pair<monotonic_time, std::size_t>> due_requests; ///< First requests that follow a handshake.
		std::deque<std::size_t> upstream_queue;
		std::vector<std::pair<monotonic_time, std::size_t>> in_service; ///< With the time of the response.
		std::size_t late_openings = 0; ///< Opening packets delivered after their callers gave up.
		std::size_t repeated_requests = 0;
		std::size_t most_openings = 0; ///< Largest number that waited.
		std::size_t most_packets = 0;
		std::vector<monotonic_time> times_without_waiting; ///< In steps of a millisecond.

		explicit priority_world(catalog with) : known{std::move(with)} {}

		[[nodiscard]] double uniform()
		{
			return static_cast<double>(random()) / static_cast<double>(std::mt19937::max());
		}

		[[nodiscard]] static segment packet_of(const call& it, segment packet)
		{
			const bool from_caller = packet.source == caller_address;
			packet.source = from_caller ? it.flow.caller : it.flow.route;
			packet.destination = from_caller ? it.flow.route : it.flow.caller;
			return packet;
		}

		[[nodiscard]] call& call_of(const flow_id& id)
		{
			return calls[id.caller.port];
		}

		void add_call(const request_load& load)
		{
			const auto port = static_cast<std::uint16_t>(calls.size());
			calls.push_back({.flow = {.caller = {.ip = ipv4{0x64400000U + port}, .port = port}, .route = load.route},
							 .slot_time = load.slot_time,
							 .called_at = now,
							 .opens_flow = uniform() >= open_flow_share});
			auto& added = calls.back();
			if (added.opens_flow)
			{
				send_opening(added);
				return;
			}
			auto& flow = state.flows[added.flow];
			flow.stage = flow_stage::open;
			flow.last_used = now;
			send_request(added);
		}

		void send_opening(call& it)
		{
			const auto packet = packet_of(it, opening(it.copies++));
			const auto msg = about_flow(message_kind::open, it.flow);
			handle_opening_packet(msg, packet);
		}

		void handle_opening_packet(const message& msg, const segment& packet)
		{
			const auto decision = handle_balancer_packet(state, known, msg, packet, ipv4{1}, now);
			if (decision.waits)
			{
				if (const auto evicted =
						add_opening(state.queue, make_waiting_opening(state, known, msg, packet, ipv4{1}, now)))
				{
					call_of(evicted->flow).ended = true;
				}
			}
			if (decision.to_upstream)
			{
				auto& it = call_of(flow_of_caller(packet));
				late_openings += it.ended;
				(void)handle_upstream_packet(state, packet_of(it, reply(0, true)), now);
				if (!it.accepted)
				{
					it.accepted = true;
					due_requests.emplace_back(now + handshake, it.flow.caller.port);
				}
			}
		}

		/// Sends a request, or a copy of it: after 200 ms, then after twice the last interval.
		void send_request(call& it)
		{
			it.interval = it.interval == 0ms ? 200ms : 2 * it.interval;
			it.next_copy_at = now + it.interval;
			const auto decision = handle_balancer_packet(state, known, about_flow(message_kind::flow_packet, it.flow),
														 packet_of(it, data()), ipv4{1}, now);
			receive_at_upstream(decision.preceding);
			if (decision.to_upstream)
			{
				receive_at_upstream(it);
			}
		}

		void receive_at_upstream(const std::vector<queued_packet>& packets)
		{
			for (const auto& packet : packets)
			{
				receive_at_upstream(call_of(packet.flow));
			}
		}

		void receive_at_upstream(call& it)
		{
			if (it.arrived)
			{
				++repeated_requests;
				return;
			}
			it.arrived = true;
			it.delivered_at = now;
			if (upstream_queue.size() >= upstream_queue_limit)
			{
				auto rejection = reply(0);
				rejection.rst = true;
				it.ended = true;
				(void)handle_upstream_packet(state, packet_of(it, rejection), now);
				return;
			}
			upstream_queue.push_back(it.flow.caller.port);
		}

		void run_upstream()
		{
			std::erase_if(in_service,
						  [this](const auto& it)
						  {
							  if (it.first > now)
							  {
								  return false;
							  }
							  auto& answered = calls[it.second];
							  (void)handle_upstream_packet(state, packet_of(answered, reply(50)), now);
							  answered.answered_at = answered.ended ? std::nullopt : std::optional{now};
							  answered.ended = true;
							  return true;
						  });
			for (; in_service.size() < slots && !upstream_queue.empty(); upstream_queue.pop_front())
			{
				in_service.emplace_back(now + calls[upstream_queue.front()].slot_time, upstream_queue.front());
			}
		}

		void run_agent()
		{
			receive_at_upstream(take_due_requests(state, known, now).delivered);
			const auto expired = take_expired_openings(state, known, now);
			for (const auto* list : {&expired.returned, &expired.abandoned})
			{
				for (const auto& it : *list)
				{
					call_of(it.flow).ended = true;
				}
			}
			for (const auto& it : expired.returned)
			{
				record_returned_as_full(state, it, now);
			}
			while (const auto next = take_admissible_opening(state, known, now))
			{
				const auto& it = call_of(next->flow);
				handle_opening_packet(about_flow(message_kind::open, it.flow), packet_of(it, opening(next->copy)));
			}
			most_openings = std::max(most_openings, state.queue.waiting.size());
			most_packets = std::max(most_packets, state.requests.waiting.size());
			if (state.queue.waiting.empty() && state.requests.waiting.empty())
			{
				times_without_waiting.push_back(now);
			}
		}

		void run_callers()
		{
			std::erase_if(due_requests,
						  [this](const auto& it)
						  {
							  const bool due = it.first <= now;
							  if (due && !calls[it.second].ended)
							  {
								  send_request(calls[it.second]);
							  }
							  return due;
						  });
			for (std::size_t i = 0; i < calls.size(); ++i)
			{
				auto& it = calls[i];
				if (it.ended || now - it.called_at > timeout)
				{
					it.ended = true;
					continue;
				}
				const bool opening_due =
					it.opens_flow && !it.accepted && it.copies < 3 && now - it.called_at >= age_of_copy(it.copies);
				if (opening_due)
				{
					send_opening(it);
				}
				if (it.interval != 0ms && !it.arrived && now >= it.next_copy_at)
				{
					send_request(it);
				}
			}
		}

		/// Runs for some time with requests that arrive independently of each other.
		void run(milliseconds length, std::span<const request_load> loads)
		{
			for (const auto end = now + length; now < end; now += 1ms)
			{
				for (const auto& load : loads)
				{
					if (uniform() < load.per_second / 1000.0)
					{
						add_call(load);
					}
				}
				run_callers();
				run_upstream();
				run_agent();
			}
		}

		/// Returns the requests of a route that were made in a period, and how many were answered within `target`.
		[[nodiscard]] std::pair<std::size_t, std::size_t>
		count_answered(const ipv4_endpoint& route, monotonic_time from, monotonic_time to, milliseconds target) const
		{
			std::pair<std::size_t, std::size_t> counts;
			for (const auto& it : calls)
			{
				if (it.flow.route == route && it.called_at >= from && it.called_at < to)
				{
					++counts.first;
					counts.second += it.answered_at && *it.answered_at - it.called_at <= target;
				}
			}
			return counts;
		}

		/// Returns the mean time that the answered requests of a period spent outside of slots.
		[[nodiscard]] milliseconds mean_wait(monotonic_time from, monotonic_time to) const
		{
			milliseconds sum{0};
			std::int64_t n = 0;
			for (const auto& it : calls)
			{
				if (it.called_at >= from && it.called_at < to && it.answered_at)
				{
					sum += std::chrono::round<milliseconds>(*it.answered_at - it.called_at) - it.slot_time;
					++n;
				}
			}
			return sum / std::max<std::int64_t>(n, 1);
		}
	};
}
