#pragma once

#include "nutmegturn/steering/upstream_choice.hpp"

#include "steering_world.hpp"

#include <queue>

#include <algorithm>
#include <functional>
#include <numeric>
#include <random>

namespace nutmegturn::steering::testing
{
	/// How a simulated balancer chooses upstreams.
	enum class placement_rule : std::uint8_t
	{
		by_cost,    ///< `choose_upstream` with work reports.
		by_count,   ///< `choose_upstream` without work reports.
		known_costs ///< Earliest completion, with the true costs and the present state of all upstreams.
	};

	/// Load of a simulated service. Each flow has one request.
	struct placement_load
	{
		std::uint32_t upstreams = 38;
		std::uint32_t slots = 3;
		std::size_t balancers = 4;
		double utilisation = 0.8;
		/// Time between two reports of an agent. By default, agents report changes of the load as in production.
		std::optional<milliseconds> report_interval;
		milliseconds network_delay{1};
		milliseconds length{15'000};
		cost_ms mean_cost{40.0};

		/// Returns the cost of a request at full speed, and sets its route.
		std::function<cost_ms(std::mt19937_64&, ipv4_endpoint& route)> draw_cost;

		/// Returns the speed of an upstream, 1 being full speed. It is constant within each period of 10 ms.
		std::function<double(std::uint32_t upstream, monotonic_time)> speed = [](auto, auto) { return 1.0; };

		/// Changes a report before balancers read it.
		std::function<void(std::uint32_t upstream, work_report&)> falsify = [](auto, auto&) {};

		double open_flow_share = 0; ///< Share of the requests that arrive on open flows, at any upstream.

		std::vector<std::uint32_t> cold; ///< Upstreams that are in cold start for the whole simulation.
	};

	/// Response times of a simulation.
	struct placement_result
	{
		std::vector<double> response_ms;             ///< Sorted.
		std::vector<std::vector<std::size_t>> flows; ///< Flows placed at each upstream, by second.

		/// Returns an upstream's flows from second `first` to before `last`, as a multiple of the mean of all
		/// upstreams.
		[[nodiscard]] double relative_flows(std::uint32_t upstream, std::size_t first, std::size_t last) const
		{
			const auto sum = [first, last](const auto& seconds)
			{
				return std::accumulate(seconds.begin() + static_cast<std::ptrdiff_t>(first),
									   seconds.begin() + static_cast<std::ptrdiff_t>(last), 0.0);
			};
			double all = 0;
			for (const auto& it : flows)
			{
				all += sum(it);
			}
			return sum(flows[upstream]) * static_cast<double>(flows.size()) / all;
		}

		[[nodiscard]] double mean() const
		{
			return std::accumulate(response_ms.begin(), response_ms.end(), 0.0) /
				   static_cast<double>(response_ms.size());
		}

		[[nodiscard]] double percentile_99() const
		{
			return response_ms[response_ms.size() * 99 / 100];
		}
	};

	/// Balancers, agents and upstreams of one service in virtual time.
	class placement_simulation
	{
	public:
		placement_simulation(const placement_load& load, placement_rule rule, std::uint64_t seed)
			: load_{load}, rule_{rule}, random_{seed}, loads_(load.balancers), agents_(load.upstreams),
			  slot_free_(load.upstreams, std::vector<monotonic_time>(load.slots, start))
		{
			put(known_, "config", configured(3, {{.service = "desk", .weight = 1}}));
			for (std::uint32_t i = 0; i < load.upstreams; ++i)
			{
				auto made = entry(i, "desk", "a");
				made.slots = load.slots;
				const bool cold = std::ranges::find(load.cold, i) != load.cold.end();
				made.cold_remaining = cold ? milliseconds{std::chrono::hours{1}} : milliseconds{0};
				put(known_, "u" + std::to_string(1'000 + i), made);
				agents_[i].gate.instance = instance(i);
				agents_[i].gate.zone = "a";
				agents_[i].balancers[ipv4{1}] = {.last_heard = start, .zone = number_of_zone(agents_[i].zones, "a")};
				agents_[i].gate.service = "desk";
			}
			const auto seconds = std::chrono::ceil<std::chrono::seconds>(load.length).count();
			result_.flows.assign(load.upstreams, std::vector<std::size_t>(static_cast<std::size_t>(seconds)));
		}

		[[nodiscard]] placement_result run()
		{
			std::uniform_real_distribution<double> phase{0.0, 1.0};
			for (std::uint32_t i = 0; i < load_.upstreams; ++i)
			{
				schedule_report(i, start + round(report_interval() * phase(random_)));
			}
			schedule_arrival(start);
			while (!events_.empty())
			{
				const auto next = events_.top();
				events_.pop();
				now_ = next.at;
				next.action();
			}
			std::ranges::sort(result_.response_ms);
			return std::move(result_);
		}

	private:
		struct event
		{
			monotonic_time at;
			std::uint64_t number = 0; ///< Keeps events of the same time in order.
			std::function<void()> action;

			[[nodiscard]] bool operator>(const event& other) const
			{
				return std::tie(at, number) > std::tie(other.at, other.number);
			}
		};

		template <typename Duration>
		[[nodiscard]] static monotonic_clock::duration round(Duration time)
		{
			return std::chrono::round<monotonic_clock::duration>(time);
		}

		[[nodiscard]] milliseconds report_interval() const
		{
			constexpr milliseconds check_interval{20};
			return load_.report_interval.value_or(check_interval);
		}

		void schedule(monotonic_time at, std::function<void()> action)
		{
			events_.push({at, ++event_count_, std::move(action)});
		}

		void schedule_arrival(monotonic_time at)
		{
			const double per_ms = load_.utilisation * load_.upstreams * load_.slots / load_.mean_cost.count();
			const auto next = at + round(cost_ms{std::exponential_distribution<double>{per_ms}(random_)});
			if (next < start + load_.length)
			{
				schedule(next,
						 [this]
						 {
							 place();
							 schedule_arrival(now_);
						 });
			}
		}

		/// Sends an agent's report to all balancers, and schedules the next one.
		void schedule_report(std::uint32_t upstream, monotonic_time at)
		{
			schedule(at,
					 [this, upstream]
					 {
						 auto& agent = agents_[upstream];
						 const auto report = count_requests(upstream);
						 if (load_.report_interval || !load_report_recipients(agent, report, load_.slots, now_).empty())
						 {
							 auto work = make_work_report(agent, known_, now_);
							 load_.falsify(upstream, work);
							 schedule(now_ + load_.network_delay,
									  [=, this]
									  {
										  for (auto& loads : loads_)
										  {
											  apply_message(loads, upstream, report, work);
										  }
									  });
						 }
						 if (now_ < start + load_.length)
						 {
							 schedule_report(upstream, now_ + report_interval());
						 }
					 });
		}

		[[nodiscard]] load_report count_requests(std::uint32_t upstream) const
		{
			load_report report;
			report.admission = admission_status::accepting;
			report.requests_in_progress = static_cast<std::uint16_t>(agents_[upstream].work.requests.size());
			return report;
		}

		/// Applies a message of the agent to a balancer's view. Replies carry no work report.
		void apply_message(load_table& loads, std::uint32_t upstream, const load_report& report,
						   const std::optional<work_report>& work)
		{
			auto& it = loads[instance(upstream)];
			it.report = report;
			it.reported_at = now_;
			it.flows_since_report = 0;
			if (work && rule_ == placement_rule::by_cost)
			{
				it.work = work;
				it.work_reported_at = now_;
			}
		}

		void place()
		{
			flow_id id{.caller = {.ip = ipv4{++flow_count_}, .port = 1}, .route = route_address};
			const auto cost = load_.draw_cost(random_, id.route);
			auto& loads = loads_[random_() % loads_.size()];
			if (std::uniform_real_distribution<double>{0.0, 1.0}(random_) < load_.open_flow_share)
			{
				deliver(static_cast<std::uint32_t>(random_() % load_.upstreams), id, cost, now_);
				return;
			}
			const auto upstream = rule_ == placement_rule::known_costs ? fastest(cost) : choose(loads, id);
			record_placement(loads[instance(upstream)], now_);
			const auto second = std::chrono::floor<std::chrono::seconds>(now_ - start).count();
			++result_.flows[upstream][static_cast<std::size_t>(second)];
			schedule(now_ + load_.network_delay,
					 [=, this, &loads, placed_at = now_]
					 {
						 deliver(upstream, id, cost, placed_at);
						 schedule(now_ + load_.network_delay, [=, this, &loads, report = count_requests(upstream)]
								  { apply_message(loads, upstream, report, std::nullopt); });
					 });
		}

		[[nodiscard]] std::uint32_t choose(const load_table& loads, const flow_id& id) const
		{
			const auto* chosen =
				choose_upstream(known_, "desk", loads, "a", {}, hash_flow(id), 0, placement_policy::request_cost, now_);
			return static_cast<std::uint32_t>(chosen->entry.address.ip) - static_cast<std::uint32_t>(instance(0));
		}

		[[nodiscard]] std::uint32_t fastest(cost_ms cost) const
		{
			std::uint32_t best = 0;
			auto earliest = monotonic_time::max();
			for (std::uint32_t i = 0; i < load_.upstreams; ++i)
			{
				const auto free = std::max(now_, *std::ranges::min_element(slot_free_[i]));
				const auto end = finish_time(i, free, cost);
				best = end < earliest ? i : best;
				earliest = std::min(end, earliest);
			}
			return best;
		}

		[[nodiscard]] monotonic_time finish_time(std::uint32_t upstream, monotonic_time at, cost_ms cost) const
		{
			constexpr cost_ms period{10.0};
			for (;;)
			{
				const double speed = load_.speed(upstream, at);
				if (cost <= period * speed)
				{
					return at + round(cost / speed);
				}
				cost -= period * speed;
				at += round(period);
			}
		}

		void deliver(std::uint32_t upstream, const flow_id& id, cost_ms cost, monotonic_time placed_at)
		{
			record_request_packet(agents_[upstream].work, id, true, load_.slots, now_);
			auto& slot = *std::ranges::min_element(slot_free_[upstream]);
			slot = finish_time(upstream, std::max(now_, slot), cost);
			schedule(slot, [this, upstream, id, placed_at] { answer(upstream, id, placed_at); });
		}

		void answer(std::uint32_t upstream, const flow_id& id, monotonic_time placed_at)
		{
			auto& agent = agents_[upstream];
			if (const auto answered = record_response(agent.work, id, load_.slots, now_))
			{
				record_cost(agent.costs, answered->route, answered->size, answered->cost, now_);
			}
			if (placed_at - start >= warm_up)
			{
				result_.response_ms.push_back(cost_ms{now_ - placed_at}.count());
			}
		}

		/// Requests that are placed earlier are not part of the result.
		static constexpr milliseconds warm_up{3'000};

		const placement_load& load_;
		placement_rule rule_;
		std::mt19937_64 random_;
		catalog known_;
		std::vector<load_table> loads_;
		std::vector<agent_state> agents_;
		std::vector<std::vector<monotonic_time>> slot_free_;
		std::priority_queue<event, std::vector<event>, std::greater<>> events_;
		std::uint64_t event_count_ = 0;
		std::uint32_t flow_count_ = 0;
		monotonic_time now_ = start;
		placement_result result_;
	};
}
