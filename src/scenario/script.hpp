#pragma once

#include "scenario/report.hpp"

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace nutmegturn::scenario
{
	/// Options of a scenario run.
	struct run_options
	{
		std::uint64_t seed = 1;
		bool trace = false;                            ///< Print each trace line to standard error as it is added.
		std::filesystem::path examples;                ///< Folder with the deployments that scripts refer to.
		std::map<std::string, std::string> parameters; ///< Values for `param(NAME, DEFAULT)`.
	};

	/// Result of a scenario run.
	struct run_result
	{
		std::string scenario;
		std::uint64_t seed = 1;
		std::string failure; ///< First invariant that failed, or error of the script; empty if the run passed.
		run_counts counts;
		std::vector<sample> samples;
		std::vector<std::string> trace; ///< Last lines of the trace.
	};

	/// Runs a scenario file. A `QCoreApplication` must exist.
	[[nodiscard]] run_result run_scenario(const std::filesystem::path& file, const run_options& options);

	/// Returns the report of a run as one line of JSON.
	[[nodiscard]] std::string to_json_line(const run_result& result);
}
