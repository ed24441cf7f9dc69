#include "nutmegturn/impl/agent_reports.hpp"

#include "nutmegturn/impl/agent_requests.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <utility>

namespace nutmegturn::steering
{
	namespace
	{
		using namespace detail;

		/// Longest time between load reports to a balancer.
		constexpr milliseconds max_report_interval{1'000};

		/// Shortest time between two reports with the same admission status to a balancer of the agent's zone.
		constexpr milliseconds min_report_interval{100};

		/// The same for balancers of other zones.
		constexpr milliseconds min_far_report_interval{500};

		/// Weight of one request in the moving average of failures, which spans about the last ten requests.
		constexpr double outcome_weight = 0.1;

		/// Half-life of the failure ratio while there are no requests.
		constexpr std::chrono::duration<double> failure_half_life{2.0};

		/// How long the return of an opening packet shows that its priority waits.
		constexpr milliseconds full_report_duration{500};

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

		/// Zone of the balancer that sent the flow's last packet: the caller's zone, except during outages.
		[[nodiscard]] std::uint32_t zone_of_flow(const agent_state& state, const agent_flow& flow)
		{
			return zone_of_balancer(state, flow.last_balancer);
		}
	}

	namespace detail
	{
		bool is_closed(const agent_flow& flow) noexcept
		{
			return flow.caller_closed && flow.upstream_closed;
		}

		std::uint32_t zone_of_balancer(const agent_state& state, ipv4 balancer)
		{
			const auto found = state.balancers.find(balancer);
			return found == state.balancers.end() ? 0 : found->second.zone;
		}

		void update_failure_ratio(agent_state& state, bool failed, monotonic_time now)
		{
			const auto share = current_failure_ratio(state, now);
			state.failure_ratio = share + outcome_weight * ((failed ? 1.0 : 0.0) - share);
			state.failure_ratio_at = now;
		}
	}

	std::uint32_t number_of_zone(zone_numbers& zones, std::string_view name)
	{
		if (const auto found = zones.numbers.find(name); found != zones.numbers.end())
		{
			return found->second;
		}
		if (name.empty() || zones.numbers.size() >= max_numbered_zones)
		{
			return 0;
		}
		const auto number = static_cast<std::uint32_t>(zones.numbers.size() + 1);
		return zones.numbers.emplace(name, number).first->second;
	}

	held_flows_notice handle_subscription(agent_state& state, const message& msg, ipv4 balancer, monotonic_time now)
	{
		const auto zone = number_of_zone(state.zones, msg.zone);
		state.balancers[balancer] = {.last_heard = now, .zone = zone};
		held_flows_notice notice;
		if (!msg.just_started)
		{
			return notice;
		}
		notice.balancers.push_back(balancer);
		for (const auto& [id, flow] : state.flows)
		{
			if (flow.stage == flow_stage::open && zone_of_flow(state, flow) == zone)
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
		const auto own_zone = number_of_zone(state.zones, state.gate.zone);
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
}
