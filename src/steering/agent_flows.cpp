#include "nutmegturn/steering/agent_flows.hpp"

#include "nutmegturn/impl/agent_reports.hpp"
#include "nutmegturn/impl/agent_requests.hpp"

#include <algorithm>
#include <utility>

namespace nutmegturn::steering
{
	namespace
	{
		using namespace detail;

		/// Lifetime of a balancer's subscription to load reports.
		constexpr std::chrono::seconds subscription_lifetime{4};

		/// Idle timeout of flows if none is published.
		constexpr std::chrono::seconds default_idle_timeout{60};

		/// How long a flow that both sides closed is kept for late packets.
		constexpr std::chrono::seconds closed_retention{1};

		/// Longest time between two iterations of a process's loop that is not a pause. Timers run every 100 ms.
		constexpr std::chrono::seconds longest_iteration_gap{1};

		/// Longest suspension of the machine that is not a pause.
		constexpr milliseconds longest_suspension{100};

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

		/// Returns whether sequence number `a` is after `b`, modulo 2^32.
		[[nodiscard]] bool is_sequence_after(std::uint32_t a, std::uint32_t b) noexcept
		{
			return static_cast<std::int32_t>(a - b) > 0;
		}

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

		/// Returns whether an opening packet is a copy of one that was admitted here or that the upstream answered. A
		/// probe of the flow shows neither. While the flow opens, a configuration may send the copies to another
		/// service; a packet for another service that arrives later belongs to another flow of the caller's port.
		[[nodiscard]] bool is_copy_of_admitted(const agent_state& state, const message& msg, const flow_id& id)
		{
			const auto found = state.flows.find(id);
			if (found == state.flows.end())
			{
				return false;
			}
			const auto& flow = found->second;
			const bool admitted = flow.opened_here || flow.stage != flow_stage::unconfirmed;
			return admitted && (msg.service == state.gate.service || flow.stage != flow_stage::open);
		}

		[[nodiscard]] agent_decision handle_opening(agent_state& state, const catalog& known, const message& msg,
													const segment& packet, ipv4 balancer, monotonic_time now)
		{
			agent_decision decision;
			const auto id = flow_of_caller(packet);
			const bool retransmission = is_copy_of_admitted(state, msg, id);
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
		if (packet.syn)
		{
			// Only `open` names the service to which the flow may go.
			return decision;
		}
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
