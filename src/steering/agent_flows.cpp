#include "nutmegturn/steering/agent_flows.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iterator>
#include <limits>
#include <utility>

namespace nutmegturn::steering
{
	namespace
	{
		/// Longest time between load reports to a balancer.
		constexpr milliseconds max_report_interval{1'000};

		/// Shortest time between two reports with the same admission status to a balancer of the agent's zone.
		constexpr milliseconds min_report_interval{100};

		/// The same for balancers of other zones.
		constexpr milliseconds min_far_report_interval{500};

		/// Lifetime of a balancer's subscription to load reports.
		constexpr std::chrono::seconds subscription_lifetime{4};

		/// Idle timeout of flows if none is published.
		constexpr std::chrono::seconds default_idle_timeout{60};

		/// How long a flow that both sides closed is kept for late packets.
		constexpr std::chrono::seconds closed_retention{1};

		/// Weight of one request in the moving average of failures, which spans about the last ten requests.
		constexpr double outcome_weight = 0.1;

		/// Half-life of the failure ratio while there are no requests.
		constexpr std::chrono::duration<double> failure_half_life{2.0};

		/// Records `report` as sent if it is due after the last one to the same balancers.
		/// \param interval	Shortest time between two reports with the same admission status.
		/// \returns			Whether it is due.
		[[nodiscard]] bool take_report_if_due(sent_report& last, const load_report& report, std::uint32_t slots,
											  milliseconds interval, monotonic_time now)
		{
			const auto passed = now - last.sent_at;
			const int change = std::abs(int{report.requests_in_progress} - int{last.report.requests_in_progress});
			const bool changed = change * 2 >= static_cast<int>(slots) ||
								 report.cold_admissions_left != last.report.cold_admissions_left;
			const bool due = report.admission != last.report.admission || passed >= max_report_interval ||
							 (changed && passed >= interval);
			if (due)
			{
				last = {.report = report, .sent_at = now};
			}
			return due;
		}

		[[nodiscard]] bool is_closed(const agent_flow& flow) noexcept
		{
			return flow.caller_closed && flow.upstream_closed;
		}

		/// Delivered requests that are unanswered for longer than this, and for longer than `stale_costs` mean costs,
		/// do not count. With 500 ms, an upstream with two slots that left a part of its requests without a response
		/// held up the others until their callers gave up.
		constexpr milliseconds stale_request_age{150};
		constexpr double stale_costs = 10;

		/// Delivered requests, as a multiple of the upstream's slots, from which less urgent ones wait: one is at hand
		/// for each slot that becomes free, and an urgent request waits for about one slot time.
		constexpr std::size_t delivered_requests_ratio = 2;

		/// How long the return of an opening packet shows that its priority waits.
		constexpr milliseconds full_report_duration{500};

		/// Longest time between two iterations of a process's loop that is not a pause. Timers run every 100 ms.
		constexpr std::chrono::seconds longest_iteration_gap{1};

		/// Longest suspension of the machine that is not a pause.
		constexpr milliseconds longest_suspension{100};

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

		void erase_flow(agent_state& state, const flow_id& id, monotonic_time now)
		{
			const auto found = state.flows.find(id);
			if (found != state.flows.end())
			{
				discard_request(state.work, id, state.slots, now);
				set_request_in_progress(state, id, found->second, false);
				take_packets(state.requests, id);
				state.flows.erase(found);
			}
		}

		/// Time after its opening within which a flow counts as about to send its first request: a round trip to the
		/// caller and some delay.
		constexpr milliseconds first_request_window{30};

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

		/// Returns the number of flows that were opened shortly before and have not sent a request.
		[[nodiscard]] std::size_t requests_due(const agent_state& state, monotonic_time now)
		{
			return static_cast<std::size_t>(std::ranges::count_if(state.recent_openings, [now](monotonic_time at)
																  { return now - at <= first_request_window; }));
		}

		/// Returns whether sequence number `a` is after `b`, modulo 2^32.
		[[nodiscard]] bool is_sequence_after(std::uint32_t a, std::uint32_t b) noexcept
		{
			return static_cast<std::int32_t>(a - b) > 0;
		}

		/// What a packet of a caller carries.
		struct caller_data
		{
			bool is_new = false;         ///< Data that no packet has carried before.
			bool starts_request = false; ///< The data begins a request.
		};

		/// Records new data of the caller. The request is in progress until the upstream sends data.
		caller_data record_caller_data(agent_state& state, const flow_id& id, agent_flow& flow, const segment& packet)
		{
			const bool was_in_progress = flow.request_in_progress;
			flow.acknowledgement = packet.acknowledgement;
			flow.caller_closed = flow.caller_closed || packet.fin;
			const std::uint32_t end = packet.sequence + packet.payload_size;
			const bool is_new =
				packet.payload_size > 0 && (!flow.sequence_known || is_sequence_after(end, flow.highest_sequence));
			if (is_new)
			{
				flow.highest_sequence = end;
				flow.sequence_known = true;
				flow.request_started = flow.request_in_progress ? flow.request_started : flow.last_used;
				record_first_request(state, flow);
				set_request_in_progress(state, id, flow, true);
			}
			return {.is_new = is_new, .starts_request = flow.request_in_progress && !was_in_progress};
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

		/// Removes the answered request from the upstream's work and learns its cost.
		/// \returns	The request's slot time, if it is known.
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

		/// Updates the failure ratio, since an upstream can fail part of its requests while its health check succeeds.
		void update_failure_ratio(agent_state& state, bool failed, monotonic_time now)
		{
			const auto share = current_failure_ratio(state, now);
			state.failure_ratio = share + outcome_weight * ((failed ? 1.0 : 0.0) - share);
			state.failure_ratio_at = now;
		}

		void add_waiting_balancer(agent_flow& flow, ipv4 balancer)
		{
			if (std::ranges::find(flow.waiting_balancers, balancer) == flow.waiting_balancers.end())
			{
				flow.waiting_balancers.push_back(balancer);
			}
		}

		void reply_to_waiting_balancers(agent_decision& decision, agent_flow& flow, const flow_id& id,
										message_kind kind, admission_status why, bool with_packet)
		{
			for (const auto balancer : flow.waiting_balancers)
			{
				decision.replies.push_back(
					{.balancer = balancer, .kind = kind, .flow = id, .why = why, .with_packet = with_packet});
			}
			flow.waiting_balancers.clear();
		}

		/// Returns the zone key of a balancer; 0 if unknown.
		[[nodiscard]] std::uint32_t zone_of_balancer(const agent_state& state, ipv4 balancer)
		{
			const auto found = state.balancers.find(balancer);
			return found == state.balancers.end() ? 0 : found->second.zone;
		}

		/// Zone of the balancer that sent the flow's last packet: the caller's zone, except during outages.
		[[nodiscard]] std::uint32_t zone_of_flow(const agent_state& state, const agent_flow& flow)
		{
			return zone_of_balancer(state, flow.last_balancer);
		}

		/// Returns the priority of a route, which is the same for all routes of a service without priorities.
		[[nodiscard]] std::uint8_t priority_of_route(const agent_state& state, const catalog& known,
													 const ipv4_endpoint& route)
		{
			return has_priorities(known, state.gate.service) ? traffic_class_of(known, route).priority
															 : lowest_priority;
		}

		/// Records the expected slot time of a request that the upstream starts soon.
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

		/// Decides whether a packet of a flow is forwarded or waits.
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

		/// Returns the work of the upstream before waiting opening packets, or nothing if its slots are unknown.
		[[nodiscard]] std::optional<work_ahead> find_work_ahead(const agent_state& state, const catalog& known,
																monotonic_time now)
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

		[[nodiscard]] agent_flow* find_or_add_flow(agent_state& state, const flow_id& id, monotonic_time now)
		{
			const auto found = state.flows.find(id);
			if (found == state.flows.end() && state.flows.size() >= max_agent_flows)
			{
				return nullptr;
			}
			const bool is_new = found == state.flows.end();
			auto& flow = is_new ? state.flows[id] : found->second;
			flow.added_at = is_new ? now : flow.added_at;
			flow.last_used = now;
			return &flow;
		}

		[[nodiscard]] agent_decision handle_opening(agent_state& state, const catalog& known, const message& msg,
													const segment& packet, ipv4 balancer, monotonic_time now)
		{
			agent_decision decision;
			const auto id = flow_of_caller(packet);
			const bool retransmission = state.flows.contains(id);
			const auto status =
				retransmission ? admission_status::accepting
							   : admit_opening(state.gate, known, msg.service, msg.version, packet.destination, now);
			const auto ahead = find_work_ahead(state, known, now);
			if (status == admission_status::accepting && !retransmission && ahead &&
				is_saturated_for(*ahead, priority_of_route(state, known, packet.destination)))
			{
				decision.waits = true;
				return decision;
			}
			// A copy of a packet that waits is handled in its place.
			remove_opening(state.queue, id);
			auto* flow = status == admission_status::accepting ? find_or_add_flow(state, id, now) : nullptr;
			if (flow == nullptr)
			{
				decision.replies.push_back(
					{.balancer = balancer,
					 .kind = message_kind::declined,
					 .flow = id,
					 .why = status == admission_status::accepting ? admission_status::full : status,
					 .with_packet = true});
				return decision;
			}
			add_waiting_balancer(*flow, balancer);
			flow->last_balancer = balancer;
			if (!flow->opened_here)
			{
				record_opening(state, *flow, now);
				record_expected_slot_time(state, known, id, balancer, now);
				flow->slot_time_recorded = true;
			}
			flow->opened_here = true;
			if (flow->stage == flow_stage::unconfirmed)
			{
				flow->opening_packet.assign(msg.packet.begin(), msg.packet.end());
			}
			record_delivery(state.gate, now);
			decision.to_upstream = true;
			return decision;
		}

		/// Returns whether an upstream that returns a packet of this flow has lost it, as it does when it restarts.
		[[nodiscard]] bool is_lost_by_upstream(const agent_flow& flow) noexcept
		{
			return flow.stage == flow_stage::open && !flow.caller_closed && !flow.upstream_closed;
		}

		/// Tells the balancers of a flow that never opened at an upstream that it is not open there: the upstream has
		/// ended. An opening packet is returned to one of them.
		void deny_unopened_flow(connection_refused_decision& decision, agent_flow& flow, const flow_id& id)
		{
			if (flow.last_balancer != ipv4{})
			{
				add_waiting_balancer(flow, flow.last_balancer);
			}
			const bool opening = !flow.opening_packet.empty();
			for (const auto balancer : flow.waiting_balancers)
			{
				// Only one of them may place the flow anew.
				const bool returns_packet = opening && balancer == flow.last_balancer;
				decision.replies.push_back(
					{.balancer = balancer,
					 .kind = returns_packet ? message_kind::declined : message_kind::not_held,
					 .flow = id,
					 .why = returns_packet ? admission_status::upstream_unreachable : admission_status::accepting,
					 .with_packet = false,
					 .packet = returns_packet ? flow.opening_packet : std::vector<std::byte>{}});
			}
		}

		[[nodiscard]] agent_decision handle_bounced_packet(agent_state& state, const segment& packet,
														   monotonic_time now)
		{
			agent_decision decision;
			const auto id = flow_of_caller(packet);
			mark_reachable(state.gate, now);
			const auto found = state.flows.find(id);
			if (found == state.flows.end())
			{
				return decision;
			}
			if (packet.syn && found->second.stage != flow_stage::unconfirmed)
			{
				// The upstream holds the flow and bounced a late retransmission of its opening packet.
				return decision;
			}
			if (packet.syn)
			{
				if (state.requests_in_progress == 0)
				{
					// An upstream without any request is not full; it is down, or has just restarted.
					record_ended_run(state.gate, now, now);
				}
				reply_to_waiting_balancers(decision, found->second, id, message_kind::declined, admission_status::full,
										   true);
			}
			else
			{
				const bool from_probe = found->second.from_probe;
				if (is_lost_by_upstream(found->second))
				{
					record_ended_run(state.gate, found->second.added_at, now);
				}
				add_waiting_balancer(found->second, found->second.last_balancer);
				reply_to_waiting_balancers(decision, found->second, id, message_kind::not_held,
										   admission_status::accepting, !from_probe);
			}
			erase_flow(state, id, now);
			return decision;
		}
	}

	agent_decision handle_balancer_packet(agent_state& state, const catalog& known, const message& msg,
										  const segment& packet, ipv4 balancer, monotonic_time now)
	{
		if (msg.kind == message_kind::open)
		{
			return handle_opening(state, known, msg, packet, balancer, now);
		}
		agent_decision decision;
		const auto id = flow_of_caller(packet);
		decision.to_upstream = true;
		if (packet.rst)
		{
			remove_opening(state.queue, id);
		}
		auto* flow = find_or_add_flow(state, id, now);
		if (flow == nullptr)
		{
			return decision;
		}
		const bool seen_from_start = flow->opened_here || flow->sequence_known;
		const auto data = record_caller_data(state, id, *flow, packet);
		flow->request_seen_from_start = data.starts_request ? seen_from_start : flow->request_seen_from_start;
		flow->opening_packet.clear();
		flow->last_balancer = balancer;
		flow->from_probe = msg.kind == message_kind::probe && flow->stage == flow_stage::unconfirmed;
		if (flow->stage != flow_stage::open)
		{
			add_waiting_balancer(*flow, balancer);
		}
		else if (msg.kind == message_kind::probe)
		{
			decision.replies.push_back({.balancer = balancer,
										.kind = message_kind::held,
										.flow = id,
										.why = admission_status::accepting,
										.with_packet = false});
		}
		if (packet.rst)
		{
			erase_flow(state, id, now);
			return decision;
		}
		queue_or_forward(state, known, msg, packet, *flow, data, decision, now);
		return decision;
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
				.service = msg.service,
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

	bool record_iteration(loop_times& times, monotonic_time now, std::chrono::nanoseconds suspended) noexcept
	{
		const bool first = times.last_iteration == monotonic_time{};
		const bool paused =
			now - times.last_iteration >= longest_iteration_gap || suspended - times.suspended >= longest_suspension;
		times = {.last_iteration = now, .suspended = suspended};
		return paused && !first;
	}

	std::vector<flow_answer> answer_query(const agent_state& state, std::span<const flow_id> flows)
	{
		std::vector<flow_answer> answers;
		for (const auto& id : flows)
		{
			const auto found = state.flows.find(id);
			const bool open = found != state.flows.end() && found->second.stage == flow_stage::open;
			const bool absent = found == state.flows.end() && state.knows_all_flows;
			const auto presence = open     ? flow_presence::held
								  : absent ? flow_presence::not_held
										   : flow_presence::unknown;
			answers.push_back({.flow = id, .presence = presence});
		}
		return answers;
	}

	watch_scope choose_watch_scope(const agent_state& state, const catalog& known,
								   const std::optional<store_revision>& first_listing, monotonic_time now)
	{
		const auto* own = own_upstream(state.gate, known);
		const bool listed = own != nullptr && own->listed;
		const bool registered_since_start = listed && first_listing && own->registered > *first_listing;
		const bool settled = state.upstream_is_older || now - state.gate.started >= identification_time;
		const bool ended = listed && state.gate.ended_run_at >= own->changed_at &&
						   now - state.gate.ended_run_seen_at < identification_time;
		if (!ended && (registered_since_start || (listed && settled)))
		{
			return {.key = own->key, .coalescing_delay = agent_coalescing_delay};
		}
		const bool urgent = !settled && !state.knows_all_flows;
		return {.key = {}, .coalescing_delay = urgent ? identification_coalescing_delay : agent_coalescing_delay};
	}

	agent_decision handle_upstream_packet(agent_state& state, const segment& packet, monotonic_time now)
	{
		if (packet.bounced)
		{
			return handle_bounced_packet(state, packet, now);
		}
		agent_decision decision;
		decision.to_caller = true;
		mark_reachable(state.gate, now);
		const auto id = flow_of_upstream(packet);
		auto* flow = find_or_add_flow(state, id, now);
		if (flow == nullptr)
		{
			state.knows_all_flows = false;
			state.watched_since = now;
			return decision;
		}
		if (flow->request_delivered && (packet.rst || packet.payload_size > 0))
		{
			update_failure_ratio(state, packet.rst, now);
		}
		if (packet.rst)
		{
			erase_flow(state, id, now);
			return decision;
		}
		flow->from_probe = false;
		flow->opening_packet.clear();
		state.upstream_is_older = state.upstream_is_older || !flow->opened_here;
		flow->stage = packet.syn ? std::max(flow->stage, flow_stage::half_open) : flow_stage::open;
		if (packet.payload_size > 0 && flow->request_delivered)
		{
			decision.response_time = now - flow->delivered_at;
			decision.slot_time = record_answer(state, id, now);
		}
		// A request that waits cannot have been answered; the packet belongs to an earlier response.
		if ((packet.payload_size > 0 || packet.fin) && flow->request_delivered)
		{
			set_request_in_progress(state, id, *flow, false);
			discard_request(state.work, id, state.slots, now);
		}
		flow->upstream_closed = flow->upstream_closed || packet.fin;
		const auto kind = flow->stage == flow_stage::open ? message_kind::held : message_kind::accepted;
		reply_to_waiting_balancers(decision, *flow, id, kind, admission_status::accepting, false);
		return decision;
	}

	connection_refused_decision handle_connection_refused(agent_state& state, monotonic_time now)
	{
		connection_refused_decision decision;
		for (auto& [id, flow] : state.flows)
		{
			if (flow.stage == flow_stage::open)
			{
				decision.resets.push_back({.flow = id, .sequence = flow.acknowledgement});
			}
			else
			{
				deny_unopened_flow(decision, flow, id);
			}
		}
		state.flows.clear();
		state.requests_in_progress = 0;
		state.work = {};
		state.unanswered.clear();
		state.requests.waiting.clear();
		decision.returned = std::exchange(state.queue.waiting, {});
		state.recent_openings.clear();
		state.knows_all_flows = true;
		mark_refused(state.gate, now);
		return decision;
	}

	held_flows_notice handle_subscription(agent_state& state, const message& msg, ipv4 balancer, monotonic_time now)
	{
		state.balancers[balancer] = {.last_heard = now, .zone = msg.zone};
		held_flows_notice notice;
		if (!msg.just_started)
		{
			return notice;
		}
		notice.balancers.push_back(balancer);
		for (const auto& [id, flow] : state.flows)
		{
			if (flow.stage == flow_stage::open && zone_of_flow(state, flow) == msg.zone)
			{
				notice.flows.push_back(id);
			}
		}
		return notice;
	}

	std::vector<held_flows_notice> collect_newly_held_flows(agent_state& state)
	{
		std::map<std::uint32_t, held_flows_notice> by_zone;
		for (auto& [id, flow] : state.flows)
		{
			if (flow.stage == flow_stage::open && !flow.announced && !is_closed(flow))
			{
				flow.announced = true;
				by_zone[zone_of_flow(state, flow)].flows.push_back(id);
			}
		}
		std::vector<held_flows_notice> notices;
		for (auto& [zone, notice] : by_zone)
		{
			for (const auto& [balancer, it] : state.balancers)
			{
				if (it.zone == zone)
				{
					notice.balancers.push_back(balancer);
				}
			}
			notices.push_back(std::move(notice));
		}
		return notices;
	}

	ipv4 other_balancer(const agent_state& state, ipv4 receiver)
	{
		ipv4 latest{};
		monotonic_time heard{};
		for (const auto& [balancer, it] : state.balancers)
		{
			if (balancer != receiver && it.last_heard >= heard)
			{
				latest = balancer;
				heard = it.last_heard;
			}
		}
		return latest;
	}

	double current_failure_ratio(const agent_state& state, monotonic_time now)
	{
		const std::chrono::duration<double> age = now - state.failure_ratio_at;
		return state.failure_ratio * std::exp2(-age / failure_half_life);
	}

	load_report make_load_report(const agent_state& state, const catalog& known, monotonic_time now)
	{
		constexpr std::size_t max_count = std::numeric_limits<std::uint16_t>::max();
		load_report report;
		report.admission = current_admission_status(state.gate, known, now);
		const auto requests = state.requests_in_progress + state.queue.waiting.size();
		report.requests_in_progress = static_cast<std::uint16_t>(std::min(requests, max_count));
		const auto open_flows = static_cast<std::size_t>(
			std::ranges::count_if(state.flows, [](const auto& it) { return !is_closed(it.second); }));
		report.open_flows = static_cast<std::uint16_t>(std::min(open_flows, max_count));
		if (report.admission == admission_status::stopping && state.knows_all_flows && open_flows == 0)
		{
			report.admission = admission_status::drained;
		}
		constexpr double percent = 100;
		report.failure_percent = static_cast<std::uint8_t>(std::lround(percent * current_failure_ratio(state, now)));
		report.cold_admissions_left =
			report.admission == admission_status::cold ? cold_admissions_left(state.gate, known, now) : 0;
		return report;
	}

	work_report make_work_report(const agent_state& state, const catalog& known, monotonic_time now)
	{
		work_report report;
		const auto expected = expected_cost(state.costs);
		const auto waiting = state.queue.waiting.size() + priorities_of_requests(state.requests).size();
		report.outstanding = std::chrono::round<milliseconds>(
			std::min(remaining_work(state.work, state.costs, now) + expected.mean * static_cast<double>(waiting),
					 max_outstanding));
		if (is_reportable(state.costs))
		{
			// A reported mean of 0 stands for an unknown one.
			report.mean_cost = std::max(std::chrono::round<milliseconds>(expected.mean), milliseconds{1});
			report.cost_deviation = std::chrono::round<milliseconds>(expected.deviation);
		}
		const auto ahead = find_work_ahead(state, known, now);
		if (!ahead || !has_priorities(known, state.gate.service))
		{
			return report;
		}
		const auto take_if_smaller = [&report](std::uint8_t priority)
		{ report.waiting_priority = std::min(report.waiting_priority.value_or(priority), priority); };
		for (const auto& it : state.queue.waiting)
		{
			take_if_smaller(it.priority);
		}
		for (const auto& [priority, returned_at] : state.returned_as_full)
		{
			if (now - returned_at <= full_report_duration)
			{
				take_if_smaller(priority);
			}
		}
		if (report.waiting_priority)
		{
			report.opening_wait = expected_wait(state.queue, *ahead, *report.waiting_priority, 0);
		}
		return report;
	}

	std::vector<ipv4> load_report_recipients(agent_state& state, const load_report& report, std::uint32_t slots,
											 monotonic_time now)
	{
		const bool near_due = take_report_if_due(state.near_report, report, slots, min_report_interval, now);
		const bool far_due = take_report_if_due(state.far_report, report, slots, min_far_report_interval, now);
		const auto own_zone = key_of_zone(state.gate.zone);
		std::vector<ipv4> recipients;
		for (const auto& [balancer, known] : state.balancers)
		{
			if (known.zone == own_zone ? near_due : far_due)
			{
				recipients.push_back(balancer);
			}
		}
		return recipients;
	}

	void sweep_flows(agent_state& state, const catalog& known, monotonic_time now)
	{
		const bool paused = state.last_sweep != monotonic_time{} && now - state.last_sweep > longest_sweep_gap;
		state.last_sweep = now;
		if (paused)
		{
			state.watched_since = now;
			return;
		}
		const auto idle_timeout =
			known.idle_timeout.count() > 0 ? known.idle_timeout : milliseconds{default_idle_timeout};
		const auto retention = idle_timeout + idle_margin;
		state.knows_all_flows = state.knows_all_flows || now - state.watched_since > retention;
		for (auto it = state.flows.begin(); it != state.flows.end();)
		{
			const auto idle_time = now - it->second.last_used;
			if (idle_time > retention || (is_closed(it->second) && idle_time > closed_retention))
			{
				set_request_in_progress(state, it->first, it->second, false);
				take_packets(state.requests, it->first);
				discard_request(state.work, it->first, state.slots, now);
				it = state.flows.erase(it);
			}
			else
			{
				++it;
			}
		}
		discard_overdue_requests(state.work, state.slots, now);
		std::erase_if(state.balancers,
					  [now](const auto& it) { return now - it.second.last_heard > subscription_lifetime; });
	}
}
