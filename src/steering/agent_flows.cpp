#include "nutmegturn/steering/agent_flows.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <map>

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

		void set_request_in_progress(agent_state& state, agent_flow& flow, bool request_in_progress) noexcept
		{
			if (flow.request_in_progress != request_in_progress)
			{
				flow.request_in_progress = request_in_progress;
				state.requests_in_progress += request_in_progress ? 1 : std::size_t(-1);
			}
		}

		void erase_flow(agent_state& state, const flow_id& id, monotonic_time now)
		{
			const auto found = state.flows.find(id);
			if (found != state.flows.end())
			{
				discard_request(state.work, id, state.slots, now);
				set_request_in_progress(state, found->second, false);
				state.flows.erase(found);
			}
		}

		/// Time after its opening within which a flow counts as about to send its first request: a round trip to the
		/// caller and some delay.
		constexpr milliseconds first_request_window{30};

		/// Requests in progress, as a multiple of the upstream's slots, from which opening packets wait at the agent:
		/// while it is not reached, an upstream has a request at hand for each slot that becomes free.
		constexpr std::size_t queued_requests_ratio = 2;

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

		/// Records new data of the caller. The request is in progress until the upstream sends data.
		/// \returns	Whether the packet carries new data.
		bool record_caller_data(agent_state& state, agent_flow& flow, const segment& packet)
		{
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
				set_request_in_progress(state, flow, true);
			}
			return is_new;
		}

		/// Returns the number of the upstream's slots, or 0 if it is unknown.
		[[nodiscard]] std::uint32_t known_slots(const upstream_gate& gate, const catalog& known)
		{
			const auto* own = own_upstream(gate, known);
			return own == nullptr ? 0 : std::max(own->entry.slots, 1U);
		}

		/// Removes the answered request from the upstream's work and learns its cost.
		void record_answer(agent_state& state, const flow_id& id, monotonic_time now)
		{
			if (const auto answered = record_response(state.work, id, state.slots, now))
			{
				record_cost(state.costs, answered->route, answered->size, answered->cost, now);
			}
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

		/// Zone of the balancer that sent the flow's last packet: the caller's zone, except during outages.
		[[nodiscard]] std::uint32_t zone_of_flow(const agent_state& state, const agent_flow& flow)
		{
			const auto found = state.balancers.find(flow.last_balancer);
			return found == state.balancers.end() ? 0 : found->second.zone;
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
			if (status == admission_status::accepting && !retransmission && is_saturated(state, known, now))
			{
				decision.waits = true;
				return decision;
			}
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
		auto* flow = find_or_add_flow(state, id, now);
		if (flow == nullptr)
		{
			return decision;
		}
		const bool first_packet_seen = flow->opened_here || flow->sequence_known;
		if (record_caller_data(state, *flow, packet))
		{
			state.slots = known_slots(state.gate, known);
			record_request_packet(state.work, id, first_packet_seen, state.slots, now);
		}
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
		}
		return decision;
	}

	bool is_saturated(const agent_state& state, const catalog& known, monotonic_time now)
	{
		const auto* own = own_upstream(state.gate, known);
		if (own == nullptr)
		{
			return false;
		}
		return state.requests_in_progress + requests_due(state, now) >=
			   queued_requests_ratio * std::max(own->entry.slots, 1U);
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
		if (flow->request_in_progress && (packet.rst || packet.payload_size > 0))
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
		if (packet.payload_size > 0 && flow->request_in_progress)
		{
			decision.response_time = now - flow->request_started;
			record_answer(state, id, now);
		}
		if (packet.payload_size > 0 || packet.fin)
		{
			set_request_in_progress(state, *flow, false);
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

	work_report make_work_report(const agent_state& state, [[maybe_unused]] const catalog& known, monotonic_time now)
	{
		work_report report;
		const auto expected = expected_cost(state.costs);
		const auto waiting = expected.mean * static_cast<double>(state.queue.waiting.size());
		report.outstanding = std::chrono::round<milliseconds>(
			std::min(remaining_work(state.work, state.costs, now) + waiting, max_outstanding));
		if (is_reportable(state.costs))
		{
			// A reported mean of 0 stands for an unknown one.
			report.mean_cost = std::max(std::chrono::round<milliseconds>(expected.mean), milliseconds{1});
			report.cost_deviation = std::chrono::round<milliseconds>(expected.deviation);
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
				set_request_in_progress(state, it->second, false);
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
