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
		/// Longest silence between load reports to a balancer.
		constexpr milliseconds report_interval{1'000};

		/// Shortest time between two reports without a change of the intake.
		constexpr milliseconds report_spacing{100};

		/// A balancer that has sent nothing for this long gets no reports.
		constexpr std::chrono::seconds balancer_retention{4};

		/// A flow without packets for this long is forgotten even if no idle timeout is published.
		constexpr std::chrono::seconds longest_idle{60};

		/// An upstream that started no longer than this before its agent started together with it: no earlier process
		/// of the agent can have carried flows for it.
		constexpr milliseconds common_start{1'000};

		/// A flow that both sides have closed is kept this long for late packets.
		constexpr std::chrono::seconds closed_retention{1};

		/// Weight of one request in the share of failed ones; about the last ten count.
		constexpr double outcome_weight = 0.1;

		/// Time in which the share of failed requests halves while there are none.
		constexpr std::chrono::duration<double> failing_half_life{2.0};

		[[nodiscard]] bool is_closed(const agent_flow& flow) noexcept
		{
			return flow.caller_finished && flow.upstream_finished;
		}

		void set_at_work(agent_state& state, agent_flow& flow, bool at_work) noexcept
		{
			if (flow.at_work != at_work)
			{
				flow.at_work = at_work;
				state.at_work += at_work ? 1 : std::size_t(-1);
			}
		}

		void forget_flow(agent_state& state, const flow_id& id)
		{
			const auto found = state.flows.find(id);
			if (found != state.flows.end())
			{
				set_at_work(state, found->second, false);
				state.flows.erase(found);
			}
		}

		/// Returns whether sequence `a` comes after `b`, across the wrap of 32 bits.
		[[nodiscard]] bool is_after(std::uint32_t a, std::uint32_t b) noexcept
		{
			return static_cast<std::int32_t>(a - b) > 0;
		}

		/// Notes new data of the caller: a request is in progress until the upstream sends data.
		void note_caller_data(agent_state& state, agent_flow& flow, const segment& it)
		{
			flow.acknowledgement = it.acknowledgement;
			flow.caller_finished = flow.caller_finished || it.finishes;
			const std::uint32_t end = it.sequence + it.payload_size;
			if (it.payload_size > 0 && (!flow.tracked || is_after(end, flow.highest_sequence)))
			{
				flow.highest_sequence = end;
				flow.tracked = true;
				flow.work_begun = flow.at_work ? flow.work_begun : flow.used;
				set_at_work(state, flow, true);
			}
		}

		/// Notes how a request ended. An upstream can fail part of them while its health check succeeds.
		void note_outcome(agent_state& state, bool failed, monotonic_time now)
		{
			const auto share = failing_share(state, now);
			state.failing = share + outcome_weight * ((failed ? 1.0 : 0.0) - share);
			state.failing_at = now;
		}

		void add_asker(agent_flow& flow, ipv4 balancer)
		{
			if (std::ranges::find(flow.askers, balancer) == flow.askers.end())
			{
				flow.askers.push_back(balancer);
			}
		}

		void answer_askers(agent_decision& decision, agent_flow& flow, const flow_id& id, message_kind kind, intake why,
						   bool with_packet)
		{
			for (const auto balancer : flow.askers)
			{
				decision.replies.push_back(
					{.balancer = balancer, .kind = kind, .flow = id, .why = why, .with_packet = with_packet});
			}
			flow.askers.clear();
		}

		/// Zone of the balancer that sent the flow's last packet, which is the caller's zone but for outages.
		[[nodiscard]] std::uint32_t zone_of_flow(const agent_state& state, const agent_flow& flow)
		{
			const auto found = state.balancers.find(flow.balancer);
			return found == state.balancers.end() ? 0 : found->second.zone;
		}

		[[nodiscard]] agent_flow* remember(agent_state& state, const flow_id& id, monotonic_time now)
		{
			const auto found = state.flows.find(id);
			if (found == state.flows.end() && state.flows.size() >= max_agent_flows)
			{
				return nullptr;
			}
			auto& flow = found == state.flows.end() ? state.flows[id] : found->second;
			flow.used = now;
			return &flow;
		}

		[[nodiscard]] agent_decision take_opening(agent_state& state, const catalog& known, const message& it,
												  const segment& packet, ipv4 balancer, monotonic_time now)
		{
			agent_decision decision;
			const auto id = flow_of_caller(packet);
			const bool copy = state.flows.contains(id);
			const auto verdict =
				copy ? intake::open : admit_opening(state.gate, known, it.service, it.version, packet.destination, now);
			auto* flow = verdict == intake::open ? remember(state, id, now) : nullptr;
			if (flow == nullptr)
			{
				decision.replies.push_back({.balancer = balancer,
											.kind = message_kind::declined,
											.flow = id,
											.why = verdict == intake::open ? intake::full : verdict,
											.with_packet = true});
				return decision;
			}
			add_asker(*flow, balancer);
			flow->balancer = balancer;
			flow->opened_here = true;
			note_delivered(state.gate, now);
			decision.deliver = true;
			return decision;
		}

		[[nodiscard]] agent_decision take_return(agent_state& state, const segment& packet, monotonic_time now)
		{
			agent_decision decision;
			const auto id = flow_of_caller(packet);
			note_answered(state.gate, now);
			const auto found = state.flows.find(id);
			if (found == state.flows.end())
			{
				return decision;
			}
			if (packet.opens && found->second.stage != flow_stage::asked)
			{
				// A late copy of the opening packet of a flow that the upstream holds.
				return decision;
			}
			if (packet.opens)
			{
				answer_askers(decision, found->second, id, message_kind::declined, intake::full, true);
			}
			else
			{
				const bool kept_by_search = found->second.searched;
				add_asker(found->second, found->second.balancer);
				answer_askers(decision, found->second, id, message_kind::not_held, intake::open, !kept_by_search);
			}
			forget_flow(state, id);
			return decision;
		}
	}

	agent_decision take_balancer_packet(agent_state& state, const catalog& known, const message& it,
										const segment& packet, ipv4 balancer, monotonic_time now)
	{
		if (it.kind == message_kind::open)
		{
			return take_opening(state, known, it, packet, balancer, now);
		}
		agent_decision decision;
		const auto id = flow_of_caller(packet);
		decision.deliver = true;
		auto* flow = remember(state, id, now);
		if (flow == nullptr)
		{
			return decision;
		}
		note_caller_data(state, *flow, packet);
		flow->balancer = balancer;
		flow->searched = it.kind == message_kind::search && flow->stage == flow_stage::asked;
		if (flow->stage != flow_stage::open)
		{
			add_asker(*flow, balancer);
		}
		else if (it.kind == message_kind::search)
		{
			decision.replies.push_back({.balancer = balancer,
										.kind = message_kind::held,
										.flow = id,
										.why = intake::open,
										.with_packet = false});
		}
		if (packet.resets)
		{
			forget_flow(state, id);
		}
		return decision;
	}

	std::vector<flow_answer> answer_query(const agent_state& state, std::span<const flow_id> flows)
	{
		std::vector<flow_answer> answers;
		for (const auto& id : flows)
		{
			const auto found = state.flows.find(id);
			const bool open = found != state.flows.end() && found->second.stage == flow_stage::open;
			const bool absent = found == state.flows.end() && state.knows_all_flows;
			const auto verdict = open ? possession::held : absent ? possession::not_held : possession::unsure;
			answers.push_back({.flow = id, .verdict = verdict});
		}
		return answers;
	}

	void note_upstream_start(agent_state& state, const catalog& known, std::int64_t started_at_ms)
	{
		const auto* own = own_upstream(state.gate, known);
		if (own != nullptr && own->entry.started_at_ms + common_start.count() >= started_at_ms)
		{
			state.knows_all_flows = true;
		}
	}

	followed_part choose_followed_part(const agent_state& state, const catalog& known, std::int64_t started_at_ms,
									   monotonic_time now)
	{
		const auto* own = own_upstream(state.gate, known);
		const bool listed = own != nullptr && own->listed;
		const bool together = listed && own->entry.started_at_ms + common_start.count() >= started_at_ms;
		const bool settled = state.upstream_is_older || now - state.gate.started >= identification_time;
		if (together || (listed && settled))
		{
			return {.key = own->key, .change_pause = checking_pause};
		}
		return {.key = {}, .change_pause = settled ? checking_pause : identifying_pause};
	}

	agent_decision take_upstream_packet(agent_state& state, const segment& packet, monotonic_time now)
	{
		if (packet.returned)
		{
			return take_return(state, packet, now);
		}
		agent_decision decision;
		decision.to_caller = true;
		note_answered(state.gate, now);
		const auto id = flow_of_upstream(packet);
		auto* flow = remember(state, id, now);
		if (flow == nullptr)
		{
			state.knows_all_flows = false;
			return decision;
		}
		if (flow->at_work && (packet.resets || packet.payload_size > 0))
		{
			note_outcome(state, packet.resets, now);
		}
		if (packet.resets)
		{
			forget_flow(state, id);
			return decision;
		}
		flow->searched = false;
		state.upstream_is_older = state.upstream_is_older || !flow->opened_here;
		flow->stage = packet.opens ? std::max(flow->stage, flow_stage::half_open) : flow_stage::open;
		if (packet.payload_size > 0 && flow->at_work)
		{
			decision.answered_after = now - flow->work_begun;
		}
		if (packet.payload_size > 0 || packet.finishes)
		{
			set_at_work(state, *flow, false);
		}
		flow->upstream_finished = flow->upstream_finished || packet.finishes;
		answer_askers(decision, *flow, id, message_kind::held, intake::open, false);
		return decision;
	}

	refusal_decision take_refusal(agent_state& state, monotonic_time now)
	{
		refusal_decision decision;
		for (const auto& [id, flow] : state.flows)
		{
			if (!flow.searched)
			{
				decision.resets.push_back({.flow = id, .sequence = flow.acknowledgement});
				continue;
			}
			for (const auto balancer : flow.askers)
			{
				decision.replies.push_back({.balancer = balancer,
											.kind = message_kind::not_held,
											.flow = id,
											.why = intake::open,
											.with_packet = false});
			}
		}
		state.flows.clear();
		state.at_work = 0;
		state.knows_all_flows = true;
		note_refused(state.gate, now);
		return decision;
	}

	holdings_notice take_greeting(agent_state& state, const message& it, ipv4 balancer, monotonic_time now)
	{
		state.balancers[balancer] = {.heard = now, .zone = it.zone};
		holdings_notice notice;
		if (!it.fresh)
		{
			return notice;
		}
		notice.balancers.push_back(balancer);
		for (const auto& [id, flow] : state.flows)
		{
			if (flow.stage == flow_stage::open && zone_of_flow(state, flow) == it.zone)
			{
				notice.flows.push_back(id);
			}
		}
		return notice;
	}

	std::vector<holdings_notice> collect_new_holdings(agent_state& state)
	{
		std::map<std::uint32_t, holdings_notice> by_zone;
		for (auto& [id, flow] : state.flows)
		{
			if (flow.stage == flow_stage::open && !flow.announced && !is_closed(flow))
			{
				flow.announced = true;
				by_zone[zone_of_flow(state, flow)].flows.push_back(id);
			}
		}
		std::vector<holdings_notice> notices;
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
			if (balancer != receiver && it.heard >= heard)
			{
				latest = balancer;
				heard = it.heard;
			}
		}
		return latest;
	}

	double failing_share(const agent_state& state, monotonic_time now)
	{
		const std::chrono::duration<double> age = now - state.failing_at;
		return state.failing * std::exp2(-age / failing_half_life);
	}

	load_report make_load_report(const agent_state& state, const catalog& known, monotonic_time now)
	{
		constexpr std::size_t most = std::numeric_limits<std::uint16_t>::max();
		load_report report;
		report.state = current_intake(state.gate, known, now);
		report.at_work = static_cast<std::uint16_t>(std::min(state.at_work, most));
		const auto open_flows = static_cast<std::size_t>(
			std::ranges::count_if(state.flows, [](const auto& it) { return !is_closed(it.second); }));
		report.open_flows = static_cast<std::uint16_t>(std::min(open_flows, most));
		if (report.state == intake::stopping && state.knows_all_flows && open_flows == 0)
		{
			report.state = intake::ended;
		}
		constexpr double percent = 100;
		report.failing = static_cast<std::uint8_t>(std::lround(percent * failing_share(state, now)));
		report.cold_left = report.state == intake::cold ? cold_admissions_left(state.gate, known, now) : 0;
		return report;
	}

	bool load_report_due(agent_state& state, const load_report& report, std::uint32_t slots, monotonic_time now)
	{
		const auto passed = now - state.last_sent_at;
		const int change = std::abs(int{report.at_work} - int{state.last_sent.at_work});
		const bool changed = change * 2 >= static_cast<int>(slots) || report.cold_left != state.last_sent.cold_left;
		const bool due =
			report.state != state.last_sent.state || passed >= report_interval || (changed && passed >= report_spacing);
		if (due)
		{
			state.last_sent = report;
			state.last_sent_at = now;
		}
		return due;
	}

	void forget_idle(agent_state& state, const catalog& known, monotonic_time now)
	{
		const auto idle = known.idle_timeout.count() > 0 ? known.idle_timeout : milliseconds{longest_idle};
		for (auto it = state.flows.begin(); it != state.flows.end();)
		{
			const auto silence = now - it->second.used;
			if (silence > idle || (is_closed(it->second) && silence > closed_retention))
			{
				set_at_work(state, it->second, false);
				it = state.flows.erase(it);
			}
			else
			{
				++it;
			}
		}
		std::erase_if(state.balancers, [now](const auto& it) { return now - it.second.heard > balancer_retention; });
	}
}
