#include "scenario/report.hpp"

namespace nutmegturn::scenario
{
	std::vector<std::pair<std::string, double>> named_counts(const run_counts& counts)
	{
		const auto number = [](std::uint64_t n) { return static_cast<double>(n); };
		return {{"flows", number(counts.flows)},
				{"broken_flows", number(counts.broken_flows)},
				{"ended_flows", number(counts.ended_flows)},
				{"misdelivered", number(counts.misdelivered)},
				{"requests", number(counts.requests)},
				{"answered", number(counts.answered)},
				{"refused_not_run", number(counts.refused_not_run)},
				{"outcome_unknown", number(counts.outcome_unknown)},
				{"late", number(counts.late)},
				{"duplicate_runs", number(counts.duplicate_runs)},
				{"false_not_run", number(counts.false_not_run)},
				{"wrong_answers", number(counts.wrong_answers)},
				{"cut_requests", number(counts.cut_requests)},
				{"overloads", number(counts.overloads)},
				{"imbalance_flows", counts.imbalance_flows},
				{"imbalance_load", counts.imbalance_load},
				{"zone_out_last_packet_ms", counts.zone_out_last_packet_ms},
				{"leaving_last_new_ms", counts.leaving_last_new_ms},
				{"config_age_max_ms", counts.config_age_max_ms},
				{"config_reversions", number(counts.config_reversions)},
				{"stale_forwards", number(counts.stale_forwards)},
				{"config_reads_per_s", counts.config_reads_per_s},
				{"control_bytes_per_s_per_balancer", counts.control_bytes_per_s_per_balancer}};
	}
}
