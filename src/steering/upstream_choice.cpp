#include "nutmegturn/steering/upstream_choice.hpp"

#include "nutmegturn/steering/request_cost_average.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>
#include <vector>

namespace nutmegturn::steering
{
	namespace
	{
		/// Weight of an open flow relative to a request in progress.
		constexpr double open_flow_weight = 0.03;

		/// Factor on the load of a cold upstream, which processes requests more slowly.
		constexpr double cold_factor = 1.6;

		/// Cost of an upstream that fails all requests, scaled by its failure ratio. It then gets flows only while the
		/// other upstreams have several times more requests than slots.
		constexpr double failure_cost = 5.0;

		/// Cost of an upstream whose agent has not sent anything to this process yet: it may still be starting, or its
		/// instance may be gone. Such an upstream is tried when the others have requests for 1.5 times their slots.
		constexpr double unheard_agent_cost = 1.5;

		/// Cost of an upstream in another zone.
		constexpr double other_zone_cost = spill_load;

		/// Reports that are older than this carry no information about the speed of the upstream or the wait there.
		constexpr milliseconds max_work_report_age{1'500};

		/// Largest slowness, and largest ratio in either direction between the mean cost that an upstream reports and
		/// the median of the service: a false report must not change how the other upstreams compare.
		constexpr double max_cost_ratio = 8.0;

		/// Least work of a request in progress, in units of the service's mean cost: a report of less is taken for
		/// false, so that the upstream does not get flows without limit.
		constexpr double min_request_cost = 1.0 / 3.0;

		/// Largest work or wait of a report that is taken into account.
		constexpr milliseconds max_reported_work{60'000};

		/// Share of the reported mean deviation that is taken as the uncertainty of the mean: about two standard errors
		/// of a mean over 100 requests.
		constexpr double mean_uncertainty = 0.25;

		/// Completion times, including one mean cost for the request itself, that exceed the lowest one by less than
		/// this share compete with it.
		constexpr double equal_cost_share = 0.1;

		/// Share of the busy slots' time since a report by which the work is taken to have decreased. Agents report
		/// when their load has changed by half of the slots, so without a report new requests have replaced most of the
		/// work. With 0 or 1 instead, simulated mean response times change by at most 4%.
		constexpr double net_served_share = 0.3;

		/// \name Sampling in services with many upstreams
		/// @{
		constexpr std::size_t max_compared_upstreams = 64;
		constexpr std::size_t sampled_per_zone_kind = 16;
		constexpr std::size_t max_draws = 4 * sampled_per_zone_kind;
		constexpr int max_sampling_rounds = 8;
		/// @}

		/// Upstream that accepts new flows, with the balancer's view of its load.
		struct candidate
		{
			const known_upstream* upstream = nullptr;
			const upstream_load* load = nullptr; ///< Null if nothing is known.
			double cost = 0;
			bool last_resort = false; ///< To be chosen only if no other can accept the flow.
		};

		/// Balancer and flow for which an upstream is chosen.
		struct placement_query
		{
			const catalog& known;
			const load_table& loads;
			std::string_view zone;
			std::span<const ipv4> excluded;
			std::uint64_t hash;
			std::uint8_t priority;
			monotonic_time now;
		};

		[[nodiscard]] bool is_unanswered(const upstream_load& load, monotonic_time now) noexcept
		{
			if (load.unanswered_since == monotonic_time{})
			{
				return false;
			}
			const auto waited = now - load.unanswered_since;
			return waited > agent_answer_timeout && waited < unanswered_backoff;
		}

		[[nodiscard]] double slots_of(const known_upstream& upstream) noexcept
		{
			return std::max(upstream.entry.slots, 1U);
		}

		/// Returns whether the load has a work report with a mean cost.
		[[nodiscard]] bool has_cost(const upstream_load& load) noexcept
		{
			return load.work && load.work->mean_cost.count() > 0;
		}

		[[nodiscard]] bool has_recent_work(const upstream_load& load, monotonic_time now) noexcept
		{
			return load.work && now - load.work_reported_at <= max_work_report_age;
		}

		[[nodiscard]] double to_bounded_ms(milliseconds reported) noexcept
		{
			return static_cast<double>(std::clamp(reported, milliseconds{0}, max_reported_work).count());
		}

		/// Returns the median of the reported mean costs, each weighted by the upstream's slots.
		/// \param costs	Pairs of mean cost and slots, not empty; will be sorted.
		[[nodiscard]] double weighted_median(std::vector<std::pair<double, double>>& costs)
		{
			std::ranges::sort(costs);
			double slots = 0;
			for (const auto& it : costs)
			{
				slots += it.second;
			}
			double below = 0;
			for (const auto& [cost, weight] : costs)
			{
				below += weight;
				if (below * 2 >= slots)
				{
					return cost;
				}
			}
			return costs.back().first;
		}

		/// Returns the mean cost of the service's requests in milliseconds: the mean of recent reports, weighted by
		/// slots. A report that is far from the median is limited, since it may be false.
		/// \returns	0 if no recent report has a cost.
		[[nodiscard]] double service_mean_cost(std::span<const candidate> candidates, monotonic_time now)
		{
			std::vector<std::pair<double, double>> costs;
			costs.reserve(candidates.size());
			for (const auto& it : candidates)
			{
				if (it.load != nullptr && has_cost(*it.load) && has_recent_work(*it.load, now))
				{
					costs.emplace_back(to_bounded_ms(it.load->work->mean_cost), slots_of(*it.upstream));
				}
			}
			if (costs.empty())
			{
				return 0;
			}
			const double median = weighted_median(costs);
			double sum = 0;
			double slots = 0;
			for (const auto& [cost, weight] : costs)
			{
				sum += std::clamp(cost, median / max_cost_ratio, median * max_cost_ratio) * weight;
				slots += weight;
			}
			return sum / slots;
		}

		/// Returns the time since the work report arrived, in milliseconds; at most `max_work_report_age`.
		[[nodiscard]] double age_of_work(const upstream_load& load, monotonic_time now) noexcept
		{
			return std::clamp(cost_ms{now - load.work_reported_at}, cost_ms{0}, cost_ms{max_work_report_age}).count();
		}

		/// Returns the flows that this balancer placed after the work report.
		[[nodiscard]] flows_since_work placed_since_work(const upstream_load& load) noexcept
		{
			return load.since_work.report_at == load.work_reported_at
					   ? load.since_work
					   : flows_since_work{.report_at = load.work_reported_at, .updated_at = load.work_reported_at};
		}

		/// Returns how many of the flows placed since the work report probably have an unanswered request. Agents send
		/// no report while their load hardly changes, so most of these flows may have been served since then.
		[[nodiscard]] double unanswered_flows(const upstream_load& load, monotonic_time now) noexcept
		{
			const auto placed = placed_since_work(load);
			if (!has_cost(load))
			{
				return placed.unanswered;
			}
			const cost_ms age = now - placed.updated_at;
			return placed.unanswered * std::exp(-age.count() / to_bounded_ms(load.work->mean_cost));
		}

		/// Work at an upstream by the balancer's estimate.
		struct estimated_work
		{
			double requests = 0; ///< In progress or waiting.
			double time_ms = 0;  ///< Slot time that they still take.
		};

		/// Estimates the present work from the last report, less what the busy slots have probably served since then
		/// without replacement, and the flows that this balancer placed since then. If a reply has brought a newer
		/// count of requests, each of them counts with the mean cost.
		/// \param mean	Mean cost of the upstream's requests, in milliseconds.
		[[nodiscard]] estimated_work estimate_work(const upstream_load& load, double slots, double mean,
												   monotonic_time now)
		{
			const double open_flows = open_flow_weight * load.report.open_flows;
			if (load.reported_at > load.work_reported_at)
			{
				const double requests = load.report.requests_in_progress + load.flows_since_report + open_flows;
				return {.requests = requests, .time_ms = requests * mean};
			}
			const double reported = to_bounded_ms(load.work->outstanding);
			const double busy = std::min<double>(load.report.requests_in_progress, slots);
			const double left = std::max(reported - net_served_share * age_of_work(load, now) * busy, 0.0);
			const double share_left = reported > 0 ? left / reported : 0.0;
			// While reported work is left, the flows since then have not been served either.
			const double flows = left > 0 ? placed_since_work(load).placed : unanswered_flows(load, now);
			return {.requests = load.report.requests_in_progress * share_left + flows + open_flows,
					.time_ms = left + (flows + open_flows) * mean};
		}

		/// Returns the wait at an upstream in units of the service's mean cost. While slots are free, a request waits
		/// for none, however long the others take: there the number of requests counts, which tells how many slots are
		/// free.
		/// \param service_mean	0 to compare by the number of requests.
		[[nodiscard]] double expected_wait(const known_upstream& upstream, const upstream_load& load,
										   double service_mean, monotonic_time now)
		{
			const double cold = is_cold(upstream, now) ? cold_factor : 1.0;
			const double slots = slots_of(upstream);
			if (service_mean <= 0 || !has_cost(load))
			{
				const double weighted_load = load.report.requests_in_progress + load.flows_since_report +
											 open_flow_weight * load.report.open_flows;
				return weighted_load * cold / slots;
			}
			const double mean = std::clamp(to_bounded_ms(load.work->mean_cost), service_mean * min_request_cost,
										   service_mean * max_cost_ratio);
			const auto work = estimate_work(load, slots, mean, now);
			const double by_count = work.requests / slots;
			const double by_time = std::max(work.time_ms / (slots * service_mean), by_count * min_request_cost);
			const double busy = std::min(by_count, 1.0);
			return (busy * by_time + (1 - busy) * by_count) * cold;
		}

		/// Returns by how much requests take longer at an upstream than at the others, in units of their mean cost.
		[[nodiscard]] double slowness(const upstream_load& load, double service_mean, monotonic_time now)
		{
			if (service_mean <= 0 || !has_cost(load) || !has_recent_work(load, now))
			{
				return 0;
			}
			const double uncertainty = mean_uncertainty * to_bounded_ms(load.work->cost_deviation);
			const double excess = to_bounded_ms(load.work->mean_cost) - service_mean - uncertainty;
			return std::clamp(excess / service_mean, 0.0, max_cost_ratio);
		}

		/// Returns the wait for which opening packets of a priority are held at the agent, in units of the service's
		/// mean cost.
		[[nodiscard]] double opening_wait(const upstream_load& load, double service_mean, std::uint8_t priority,
										  monotonic_time now)
		{
			if (service_mean <= 0 || !has_recent_work(load, now) || !load.work->waiting_priority ||
				*load.work->waiting_priority > priority)
			{
				return 0;
			}
			return to_bounded_ms(load.work->opening_wait) / service_mean;
		}

		/// Returns whether an upstream should get a flow only if no other can accept it.
		[[nodiscard]] bool is_last_resort(const upstream_load& load, monotonic_time now) noexcept
		{
			const bool cold_limit_reached = load.report.admission == admission_status::cold &&
											load.flows_since_report >= load.report.cold_admissions_left;
			const bool declining =
				load.report.admission != admission_status::accepting && load.report.admission != admission_status::cold;
			return declining || cold_limit_reached || is_unanswered(load, now);
		}

		/// Returns the expected completion time at an upstream, in units of the service's mean cost.
		[[nodiscard]] double placement_cost(const candidate& it, const placement_query& query, double service_mean)
		{
			double cost = it.upstream->entry.zone == query.zone ? 0.0 : other_zone_cost;
			if (it.load == nullptr)
			{
				return cost + unheard_agent_cost;
			}
			const auto& load = *it.load;
			cost += load.reported_at == monotonic_time{} ? unheard_agent_cost : 0.0;
			// The outstanding work includes waiting packets.
			cost += std::max(expected_wait(*it.upstream, load, service_mean, query.now),
							 opening_wait(load, service_mean, query.priority, query.now));
			cost += slowness(load, service_mean, query.now);
			constexpr double percent = 100;
			cost += failure_cost * load.report.failure_percent / percent;
			return cost;
		}

		[[nodiscard]] bool is_before(const candidate& a, const candidate& b) noexcept
		{
			return std::tie(a.last_resort, a.cost) < std::tie(b.last_resort, b.cost);
		}

		void add_candidate(std::vector<candidate>& candidates, const known_upstream& upstream,
						   const placement_query& query)
		{
			const bool tried = std::ranges::find(query.excluded, upstream.entry.address.ip) != query.excluded.end();
			if (tried || !accepts_new_flows(query.known, upstream, query.now))
			{
				return;
			}
			const auto found = query.loads.find(upstream.entry.address.ip);
			candidates.push_back(
				{.upstream = &upstream, .load = found == query.loads.end() ? nullptr : &found->second});
		}

		/// Adds up to `sampled_per_zone_kind` upstreams of a list that are, or are not, in the balancer's zone.
		void add_sample(std::vector<candidate>& candidates, std::span<const known_upstream* const> upstreams,
						bool own_zone, const placement_query& query, std::uint64_t seed)
		{
			const std::size_t wanted = candidates.size() + sampled_per_zone_kind;
			for (std::size_t draw = 0; draw < max_draws && candidates.size() < wanted && !upstreams.empty(); ++draw)
			{
				const auto& upstream = *upstreams[detail::mix_bits(seed + draw) % upstreams.size()];
				const bool drawn =
					std::ranges::any_of(candidates, [&upstream](const auto& it) { return it.upstream == &upstream; });
				if (!drawn && (upstream.entry.zone == query.zone) == own_zone)
				{
					add_candidate(candidates, upstream, query);
				}
			}
		}

		[[nodiscard]] std::vector<candidate> sample_candidates(std::string_view service,
															   std::span<const known_upstream* const> upstreams,
															   const placement_query& query, int round)
		{
			std::vector<candidate> candidates;
			candidates.reserve(2 * sampled_per_zone_kind);
			const auto seed = detail::mix_bits(query.hash + static_cast<std::uint64_t>(round));
			const auto& zones = query.known.by_service_zone.find(service)->second;
			if (const auto own = zones.find(query.zone); own != zones.end())
			{
				add_sample(candidates, own->second, true, query, seed);
			}
			add_sample(candidates, upstreams, false, query, detail::mix_bits(seed));
			return candidates;
		}

		[[nodiscard]] std::vector<candidate> all_candidates(std::span<const known_upstream* const> upstreams,
															const placement_query& query)
		{
			std::vector<candidate> candidates;
			candidates.reserve(upstreams.size());
			for (const auto* it : upstreams)
			{
				add_candidate(candidates, *it, query);
			}
			return candidates;
		}

		/// Returns the work that other balancers have probably placed at the candidates since the last reports, in mean
		/// requests: what the busy slots have served since then, less the balancer's own flows.
		/// \param service_mean	0 if unknown. Then the result is 0.
		[[nodiscard]] double work_of_other_balancers(std::span<const candidate> candidates, double service_mean,
													 monotonic_time now)
		{
			double work = 0;
			for (const auto& it : candidates)
			{
				if (service_mean > 0 && it.load != nullptr && has_cost(*it.load))
				{
					const double busy = std::min<double>(it.load->report.requests_in_progress, slots_of(*it.upstream));
					work += busy * age_of_work(*it.load, now) / service_mean - placed_since_work(*it.load).placed;
				}
			}
			return std::max(work, 0.0);
		}

		/// Returns the cost up to which the candidates would be filled by `work`, least cost first.
		/// \param candidates	In the order of their cost, not empty.
		[[nodiscard]] double filled_level(std::span<const candidate> candidates, double work)
		{
			double slots = 0;
			double level = candidates.front().cost;
			for (const auto& it : candidates)
			{
				if (slots > 0 && level + work / slots <= it.cost)
				{
					break;
				}
				work -= slots * (it.cost - level);
				level = it.cost;
				slots += slots_of(*it.upstream);
			}
			return level + work / slots;
		}

		/// Sets the costs and keeps the candidates that compete with the one of lowest cost, in the order of their
		/// cost. Those in other zones do not share in the spread, since bandwidth between zones is scarce.
		/// \param candidates	Not empty.
		void rank_candidates(std::vector<candidate>& candidates, double service_mean, const placement_query& query)
		{
			for (auto& it : candidates)
			{
				it.cost = placement_cost(it, query, service_mean);
				it.last_resort = it.load != nullptr && is_last_resort(*it.load, query.now);
			}
			std::ranges::sort(candidates, is_before);
			const auto lowest = candidates.front();
			std::erase_if(candidates,
						  [&lowest](const auto& it) {
							  return it.last_resort != lowest.last_resort ||
									 it.upstream->entry.zone != lowest.upstream->entry.zone;
						  });
		}

		/// Chooses a candidate by the flow's hash, with a probability in proportion to the slots and to how far its
		/// cost is below `level`. Balancers with the same view then place as much work at each upstream as it lacks.
		/// \param candidates	In the order of their cost; the first one is below `level`.
		[[nodiscard]] candidate draw_candidate(std::span<const candidate> candidates, double level, std::uint64_t hash)
		{
			candidate best;
			double best_rank = 0;
			for (const auto& it : candidates)
			{
				if (it.cost >= level)
				{
					break;
				}
				const auto bits = detail::mix_bits(hash ^ static_cast<std::uint32_t>(it.upstream->entry.address.ip));
				const double weight = slots_of(*it.upstream) * (level - it.cost);
				const double rank = weight / static_cast<double>(detail::negative_log2(bits));
				if (rank > best_rank)
				{
					best = it;
					best_rank = rank;
				}
			}
			return best;
		}

		/// Returns a candidate with about the lowest cost, or one without upstream if there is none.
		[[nodiscard]] candidate choose_candidate(std::vector<candidate> candidates, const placement_query& query)
		{
			if (candidates.empty())
			{
				return {};
			}
			const double service_mean = service_mean_cost(candidates, query.now);
			rank_candidates(candidates, service_mean, query);
			const double work = work_of_other_balancers(candidates, service_mean, query.now);
			const double lowest = candidates.front().cost;
			const double level = std::max(filled_level(candidates, work), lowest + equal_cost_share * (1 + lowest));
			return draw_candidate(candidates, level, query.hash);
		}
	}

	namespace
	{
		/// Returns the candidate with the fewest requests for its slots, or null if there is none.
		[[nodiscard]] const known_upstream* choose_by_count(std::span<const candidate> candidates,
															const placement_query& query)
		{
			constexpr double unknown_mean = 0;
			candidate best;
			std::uint64_t best_rank = 0;
			for (auto it : candidates)
			{
				it.cost = placement_cost(it, query, unknown_mean);
				it.last_resort = it.load != nullptr && is_last_resort(*it.load, query.now);
				const auto rank =
					detail::mix_bits(query.hash ^ static_cast<std::uint32_t>(it.upstream->entry.address.ip));
				const bool equal = best.upstream != nullptr && !is_before(it, best) && !is_before(best, it);
				if (best.upstream == nullptr || is_before(it, best) || (equal && rank > best_rank))
				{
					best = it;
					best_rank = rank;
				}
			}
			return best.upstream;
		}
	}

	void record_placement(upstream_load& load, monotonic_time now) noexcept
	{
		const double unanswered = unanswered_flows(load, now);
		load.since_work = placed_since_work(load);
		load.since_work.unanswered = unanswered + 1;
		load.since_work.updated_at = now;
		++load.since_work.placed;
		++load.flows_since_report;
	}

	const known_upstream* choose_upstream(const catalog& known, std::string_view service, const load_table& loads,
										  std::string_view zone, std::span<const ipv4> excluded, std::uint64_t hash,
										  std::uint8_t priority, placement_policy policy, monotonic_time now)
	{
		const auto found = known.by_service.find(service);
		if (found == known.by_service.end())
		{
			return nullptr;
		}
		const placement_query query{.known = known,
									.loads = loads,
									.zone = zone,
									.excluded = excluded,
									.hash = hash,
									.priority = priority,
									.now = now};
		const auto& upstreams = found->second;
		if (policy == placement_policy::request_count)
		{
			return choose_by_count(all_candidates(upstreams, query), query);
		}
		if (upstreams.size() > max_compared_upstreams)
		{
			candidate best;
			for (int round = 0; round < max_sampling_rounds; ++round)
			{
				const auto it = choose_candidate(sample_candidates(service, upstreams, query, round), query);
				if (best.upstream == nullptr || (it.upstream != nullptr && is_before(it, best)))
				{
					best = it;
				}
				if (best.upstream != nullptr && !best.last_resort)
				{
					break;
				}
			}
			if (best.upstream != nullptr)
			{
				return best.upstream;
			}
		}
		return choose_candidate(all_candidates(upstreams, query), query).upstream;
	}
}
