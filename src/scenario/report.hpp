#pragma once

#include "nutmegturn/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace nutmegturn::scenario
{
	/// Counts of a run. The names are those of the report and of expectations in scenario files.
	struct run_counts
	{
		std::uint64_t flows = 0;        ///< Established flows.
		std::uint64_t broken_flows = 0; ///< Established flows that lost their upstream without a permitted cause.
		std::uint64_t ended_flows = 0;  ///< Flows that ended with a failed upstream or a zone taken out of rotation.
		std::uint64_t misdelivered = 0; ///< Datagrams delivered to an upstream of another service.
		std::uint64_t requests = 0;
		std::uint64_t answered = 0;
		std::uint64_t refused_not_run = 0;
		std::uint64_t outcome_unknown = 0;
		std::uint64_t late = 0;           ///< Requests without any response within their deadline.
		std::uint64_t duplicate_runs = 0; ///< Non-idempotent requests that were executed more than once.
		std::uint64_t false_not_run = 0;  ///< Attempts that were executed although the caller got "not run".
		std::uint64_t wrong_answers = 0;  ///< Responses that are truncated or belong to another request.
		std::uint64_t cut_requests = 0;   ///< Requests that a planned stop left without a response.
		std::uint64_t overloads = 0;      ///< Crashes of upstreams by overload.
		std::uint64_t config_reversions = 0;
		std::uint64_t stale_forwards = 0; ///< Packets forwarded after a pause with a view older than the one in force.
		double imbalance_flows = 0;
		double imbalance_load = 0;
		double zone_out_last_packet_ms = 0;
		double leaving_last_new_ms = 0;
		double config_age_max_ms = 0;
		double config_reads_per_s = 0;
		double control_bytes_per_s_per_balancer = 0;
	};

	/// Returns the names and values of the counts in the order of the report.
	[[nodiscard]] std::vector<std::pair<std::string, double>> named_counts(const run_counts& counts);

	/// Sample of a time series that a scenario records for plots.
	struct sample
	{
		double at_s = 0;
		std::string series;
		double value = 0;
	};
}
