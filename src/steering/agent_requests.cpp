#include "nutmegturn/impl/agent_requests.hpp"

#include "nutmegturn/impl/agent_reports.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace nutmegturn::steering
{
	namespace
	{
		using namespace detail;

		/// Delivered requests that are unanswered for longer than this, and for longer than `stale_costs` mean costs,
		/// do not count. Those that get no response must not hold up the others until their callers give up.
		constexpr milliseconds stale_request_age{150};
		constexpr double stale_costs = 10;

		/// Delivered requests, as a multiple of the upstream's slots, from which less urgent ones wait: one is at hand
		/// for each slot that becomes free, and an urgent request waits for about one slot time.
		constexpr std::size_t delivered_requests_ratio = 2;

		/// Time after its opening within which a flow counts as about to send its first request: a round trip to the
		/// caller and some delay.
		constexpr milliseconds first_request_window{30};

		/// Returns the mean slot time of the upstream's requests, or the one that is assumed without a history.
		[[nodiscard]] milliseconds mean_cost(const agent_state& state)
		{
			return std::chrono::round<milliseconds>(expected_cost(state.costs).mean);
		}

		/// Returns the time before which delivered requests do not count.
		[[nodiscard]] monotonic_time oldest_counted_delivery(const agent_state& state, monotonic_time now)
		{
			return now - std::max(stale_request_age,
								  std::chrono::round<milliseconds>(stale_costs * expected_cost(state.costs).mean));
		}

		/// Returns the number of flows that were opened shortly before and have not sent a request.
		[[nodiscard]] std::size_t requests_due(const agent_state& state, monotonic_time now)
		{
			return static_cast<std::size_t>(std::ranges::count_if(state.recent_openings, [now](monotonic_time at)
																  { return now - at <= first_request_window; }));
		}

		/// Returns the number of the upstream's slots, at least 1, or 0 if the upstream has no entry.
		[[nodiscard]] std::uint32_t known_slots(const upstream_gate& gate, const catalog& known)
		{
			const auto* own = own_upstream(gate, known);
			return own == nullptr ? 0 : std::max(own->entry.slots, 1U);
		}

		/// Adds a data packet that goes to the upstream to the upstream's work.
		void record_work(agent_state& state, const catalog& known, const flow_id& id, const agent_flow& flow,
						 monotonic_time now)
		{
			state.slots = known_slots(state.gate, known);
			record_request_packet(state.work, id, flow.request_seen_from_start, state.slots, now);
		}

		/// Records that a request goes to the upstream.
		void record_request_delivery(agent_state& state, const catalog& known, const flow_id& id, agent_flow& flow,
									 monotonic_time now)
		{
			const auto counted = std::ranges::lower_bound(state.unanswered, oldest_counted_delivery(state, now), {},
														  &unanswered_request::at);
			state.unanswered.erase(state.unanswered.begin(), counted);
			flow.request_delivered = true;
			flow.delivered_at = now;
			state.unanswered.push_back({.flow = id, .priority = priority_of_route(state, known, id.route), .at = now});
			record_work(state, known, id, flow, now);
		}

		/// Records a delivery and its slot time, unless the admission of the flow has recorded that already.
		void record_delivery_and_slot_time(agent_state& state, const catalog& known, const flow_id& id,
										   agent_flow& flow, monotonic_time now)
		{
			record_request_delivery(state, known, id, flow, now);
			if (!flow.slot_time_recorded)
			{
				record_expected_slot_time(state, known, id, flow.last_balancer, now);
			}
			flow.slot_time_recorded = false;
		}

		/// Takes the packets of a flow that are to be forwarded.
		void deliver_flow(agent_state& state, const catalog& known, const flow_id& id,
						  std::vector<queued_packet>& delivered, monotonic_time now)
		{
			auto packets = take_packets(state.requests, id);
			if (const auto found = state.flows.find(id); found != state.flows.end())
			{
				record_delivery_and_slot_time(state, known, id, found->second, now);
				if (packets.size() > 1 && packets[1].payload_size > 0)
				{
					record_work(state, known, id, found->second, now);
				}
			}
			std::ranges::move(packets, std::back_inserter(delivered));
		}

		/// Returns whether a request that arrives waits.
		[[nodiscard]] bool must_wait(const agent_state& state, const catalog& known, const flow_id& id,
									 const agent_flow& flow, monotonic_time now)
		{
			const auto service = state.gate.service;
			const auto* own = own_upstream(state.gate, known);
			// A packet of a flow that this upstream may not hold is not delayed: its balancer looks for the holder.
			if (own == nullptr || own->entry.slots == 0 || state.gate.stopping ||
				flow.stage == flow_stage::unconfirmed || !has_priorities(known, service) ||
				traffic_class_of(known, id.route).priority <= most_urgent_priority(known, service))
			{
				return false;
			}
			// While urgent requests alone take all room, a class that is starved does not wait for it.
			if (is_below_lowest_share(state.usage, traffic_class_of(known, id.route).priority, now))
			{
				return false;
			}
			return count_delivered_requests(state, now) >= delivered_requests_ratio * std::max(own->entry.slots, 1U);
		}

		/// Returns whether callers of a route repeat a request that gets no response.
		[[nodiscard]] bool is_repeatable(const catalog& known, const ipv4_endpoint& route)
		{
			return traffic_class_of(known, route).kind != request_kind::non_idempotent;
		}

		/// Returns how long a request can wait so that its caller still gets the response: it takes a slot time, after
		/// at most one in the upstream's queue. \returns	0 if the route has no timeout.
		[[nodiscard]] milliseconds longest_wait(const agent_state& state, const catalog& known,
												const ipv4_endpoint& route)
		{
			const auto timeout = traffic_class_of(known, route).timeout;
			return timeout.count() > 0 ? std::max(timeout - 2 * mean_cost(state), milliseconds{1}) : milliseconds{0};
		}

		/// Forgets packets that leave the queue without being forwarded, so that copies of them count as new data.
		void revert_dropped_packets(agent_state& state, std::span<const queued_packet> packets)
		{
			for (const auto& packet : packets)
			{
				const auto found = state.flows.find(packet.flow);
				if (found == state.flows.end())
				{
					continue;
				}
				auto& flow = found->second;
				if (packet.starts_request)
				{
					flow.highest_sequence = packet.sequence;
					flow.last_dropped = {
						.sequence = packet.sequence, .copies = packet.copies, .arrived_at = packet.queued_at};
					set_request_in_progress(state, packet.flow, flow, false);
				}
				flow.caller_closed = flow.caller_closed && !packet.fin;
			}
		}
	}

	namespace detail
	{
		void set_request_in_progress(agent_state& state, const flow_id& id, agent_flow& flow, bool request_in_progress)
		{
			if (flow.request_in_progress == request_in_progress)
			{
				return;
			}
			flow.request_in_progress = request_in_progress;
			state.requests_in_progress += request_in_progress ? 1 : std::size_t(-1);
			if (flow.request_delivered)
			{
				flow.request_delivered = false;
				const auto found = std::ranges::find(state.unanswered, id, &unanswered_request::flow);
				if (found != state.unanswered.end())
				{
					state.unanswered.erase(found);
				}
			}
		}

		void record_opening(agent_state& state, agent_flow& flow, monotonic_time now)
		{
			while (!state.recent_openings.empty() && now - state.recent_openings.front() > first_request_window)
			{
				state.recent_openings.pop_front();
			}
			state.recent_openings.push_back(now);
			flow.first_request_due = true;
		}

		void record_first_request(agent_state& state, agent_flow& flow)
		{
			if (flow.first_request_due && !state.recent_openings.empty())
			{
				state.recent_openings.pop_front();
			}
			flow.first_request_due = false;
		}

		std::optional<monotonic_clock::duration> record_answer(agent_state& state, const flow_id& id,
															   monotonic_time now)
		{
			const auto answered = record_response(state.work, id, state.slots, now);
			if (!answered)
			{
				return std::nullopt;
			}
			record_cost(state.costs, answered->route, answered->size, answered->cost, now);
			return answered->cost;
		}

		std::uint8_t priority_of_route(const agent_state& state, const catalog& known, const ipv4_endpoint& route)
		{
			return has_priorities(known, state.gate.service) ? traffic_class_of(known, route).priority
															 : lowest_priority;
		}

		void record_expected_slot_time(agent_state& state, const catalog& known, const flow_id& id, ipv4 balancer,
									   monotonic_time now)
		{
			if (has_priorities(known, state.gate.service))
			{
				const admission_candidate candidate{.priority = priority_of_route(state, known, id.route),
													.zone = zone_of_balancer(state, balancer),
													.caller = id.caller.ip,
													.since = now};
				record_admission(state.usage, candidate, mean_cost(state), now);
			}
		}

		void queue_or_forward(agent_state& state, const catalog& known, const message& msg, const segment& packet,
							  agent_flow& flow, const caller_data& data, agent_decision& decision, monotonic_time now)
		{
			const auto id = flow_of_caller(packet);
			const bool waits_behind = has_waiting_packets(state.requests, id);
			if (!waits_behind && data.starts_request && !must_wait(state, known, id, flow, now))
			{
				record_delivery_and_slot_time(state, known, id, flow, now);
				return;
			}
			if (!waits_behind && !data.starts_request && data.is_new)
			{
				record_work(state, known, id, flow, now);
			}
			if ((!waits_behind && !data.starts_request) || (packet.payload_size == 0 && !packet.fin))
			{
				return;
			}
			const bool is_copy_of_dropped = flow.last_dropped && flow.last_dropped->sequence == packet.sequence;
			const auto result =
				add_packet(state.requests, {.flow = id,
											.sequence = packet.sequence,
											.payload_size = packet.payload_size,
											.fin = packet.fin,
											.starts_request = data.starts_request,
											.repeatable = is_repeatable(known, id.route),
											.priority = priority_of_route(state, known, id.route),
											.zone = zone_of_balancer(state, flow.last_balancer),
											.queued_at = is_copy_of_dropped ? flow.last_dropped->arrived_at : now,
											.copies = is_copy_of_dropped ? flow.last_dropped->copies + 1 : 0,
											.timeout = longest_wait(state, known, id.route),
											.bytes = {msg.packet.begin(), msg.packet.end()}});
			decision.to_upstream = result == queue_result::full;
			if (decision.to_upstream)
			{
				deliver_flow(state, known, id, decision.preceding, now);
			}
		}

		std::optional<work_ahead> find_work_ahead(const agent_state& state, const catalog& known, monotonic_time now)
		{
			const auto* own = own_upstream(state.gate, known);
			if (own == nullptr)
			{
				return std::nullopt;
			}
			work_ahead ahead{.slots = std::max(own->entry.slots, 1U),
							 .mean_cost = mean_cost(state),
							 .requests = state.requests_in_progress + requests_due(state, now),
							 .delivered = {},
							 .waiting_requests = priorities_of_requests(state.requests)};
			const auto counted = std::ranges::lower_bound(state.unanswered, oldest_counted_delivery(state, now), {},
														  &unanswered_request::at);
			std::transform(counted, state.unanswered.end(), std::back_inserter(ahead.delivered),
						   [](const auto& it) { return it.priority; });
			if (has_priorities(known, state.gate.service))
			{
				// Without requests that have been unanswered for so long that they no longer count.
				ahead.requests = ahead.delivered.size() + ahead.waiting_requests.size() + requests_due(state, now);
			}
			return ahead;
		}
	}

	bool is_saturated(const agent_state& state, const catalog& known, monotonic_time now)
	{
		const auto ahead = find_work_ahead(state, known, now);
		return ahead && is_saturated_for(*ahead, lowest_priority);
	}

	std::size_t count_delivered_requests(const agent_state& state, monotonic_time now)
	{
		const auto first = std::ranges::lower_bound(state.unanswered, oldest_counted_delivery(state, now), {},
													&unanswered_request::at);
		return static_cast<std::size_t>(state.unanswered.end() - first);
	}

	waiting_opening make_waiting_opening(const agent_state& state, const catalog& known, const message& msg,
										 const segment& packet, ipv4 balancer, monotonic_time now)
	{
		return {.flow = flow_of_caller(packet),
				.balancer = balancer,
				.service = std::string{msg.service},
				.version = msg.version,
				.packet = {msg.packet.begin(), msg.packet.end()},
				.opened_at = now - age_of_copy(packet.acknowledgement),
				.queued_at = now,
				.copy = packet.acknowledgement,
				.timeout = traffic_class_of(known, packet.destination).timeout,
				.priority = priority_of_route(state, known, packet.destination),
				.zone = zone_of_balancer(state, balancer)};
	}

	std::optional<waiting_opening> take_admissible_opening(agent_state& state, const catalog& known, monotonic_time now)
	{
		if (state.queue.waiting.empty())
		{
			return std::nullopt;
		}
		const auto ahead = find_work_ahead(state, known, now);
		if (!ahead || !has_priorities(known, state.gate.service))
		{
			return ahead && is_saturated_for(*ahead, lowest_priority) ? std::nullopt : take_newest_opening(state.queue);
		}
		return take_next_opening(state.queue, state.usage, *ahead, now);
	}

	opening_queue_decision take_expired_openings(agent_state& state, const catalog& known, monotonic_time now)
	{
		opening_queue_decision decision;
		if (has_priorities(known, state.gate.service))
		{
			decision.abandoned = take_abandoned_openings(state.queue, now);
		}
		if (!admits_new_flows(state.gate, known, now))
		{
			decision.returned = std::exchange(state.queue.waiting, {});
			return decision;
		}
		decision.returned = take_overdue_openings(state.queue, now);
		const auto ahead = find_work_ahead(state, known, now);
		if (ahead && has_priorities(known, state.gate.service))
		{
			std::ranges::move(take_unservable_openings(state.queue, *ahead, now),
							  std::back_inserter(decision.returned));
		}
		return decision;
	}

	void record_returned_as_full(agent_state& state, const waiting_opening& opening, monotonic_time now)
	{
		state.returned_as_full[opening.priority] = now;
	}

	request_queue_decision take_due_requests(agent_state& state, const catalog& known, monotonic_time now)
	{
		request_queue_decision due;
		if (state.requests.waiting.empty())
		{
			return due;
		}
		const auto* own = own_upstream(state.gate, known);
		const auto slots = own == nullptr ? 0 : own->entry.slots;
		const bool orders = slots > 0 && has_priorities(known, state.gate.service);
		while (!state.requests.waiting.empty())
		{
			if (const auto abandoned = find_abandoned_flow(state.requests, now); abandoned && orders)
			{
				auto dropped = take_packets(state.requests, *abandoned);
				revert_dropped_packets(state, dropped);
				std::ranges::move(dropped, std::back_inserter(due.dropped));
				continue;
			}
			auto next = find_overdue_flow(state.requests, now);
			if (!next && (!orders || count_delivered_requests(state, now) < delivered_requests_ratio * slots))
			{
				next = choose_waiting_flow(state.requests, state.usage, slots, now);
			}
			if (!next)
			{
				break;
			}
			deliver_flow(state, known, *next, due.delivered, now);
		}
		return due;
	}

	stop_decision handle_stop(agent_state& state, const catalog& known, monotonic_time now)
	{
		state.gate.stopping = true;
		stop_decision decision;
		decision.returned = std::exchange(state.queue.waiting, {});
		for (auto& packet : std::exchange(state.requests.waiting, {}))
		{
			const auto found = state.flows.find(packet.flow);
			if (packet.starts_request && found != state.flows.end())
			{
				record_request_delivery(state, known, packet.flow, found->second, now);
			}
			decision.delivered.push_back(std::move(packet));
		}
		return decision;
	}

	dropped_packets handle_pause(agent_state& state)
	{
		const dropped_packets dropped{.openings = state.queue.waiting.size(),
									  .flow_packets = state.requests.waiting.size()};
		state.queue.waiting.clear();
		const auto waiting = std::exchange(state.requests.waiting, {});
		revert_dropped_packets(state, std::vector<queued_packet>{waiting.begin(), waiting.end()});
		return dropped;
	}
}
