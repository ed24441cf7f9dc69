#include "runtime/command_line.hpp"
#include "scenario/script.hpp"

#include <QCoreApplication>

#include <fmt/format.h>

#include <charconv>
#include <cstdio>
#include <optional>
#include <string>

namespace
{
	using namespace nutmegturn;

	/// Parses the value of an option as an unsigned integer. On failure, prints an error and returns nothing.
	std::optional<std::uint64_t> parse_number_option(const runtime::parsed_command_line& line, const char* name,
													 const char* default_value)
	{
		const auto text = line.value(name, default_value);
		std::uint64_t value = 0;
		const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
		if (ec != std::errc{} || end != text.data() + text.size())
		{
			fmt::print(stderr, "--{}: got \"{}\", expected a whole number\n", name, text);
			return std::nullopt;
		}
		return value;
	}

	/// Prints the report of a run, its samples if requested and, after a failure, the trace unless the run printed it.
	void print_result(const scenario::run_result& result, bool is_traced, bool with_samples)
	{
		fmt::print("{}\n", scenario::to_json_line(result));
		for (std::size_t i = 0; with_samples && i < result.samples.size(); ++i)
		{
			const auto& it = result.samples[i];
			fmt::print(R"({{"at_s":{:.3f},"series":"{}","value":{}}}{})", it.at_s, it.series, it.value, "\n");
		}
		if (!result.failure.empty() && !is_traced)
		{
			fmt::print(stderr, "{} seed {}: {}\n", result.scenario, result.seed, result.failure);
			for (const auto& it : result.trace)
			{
				fmt::print(stderr, "{}\n", it);
			}
		}
	}
}

int main(int argc, char** argv)
{
	const QCoreApplication app{argc, argv};
	const auto parsed = runtime::parse_command_line(
		argc, argv,
		{{"seed", "N", "Seed of the first run (default 1)"},
		 {"repeat", "N", "Number of runs per file, with consecutive seeds (default 1)"},
		 {"set", "NAME=VALUE", "Set a parameter of the scripts; may be given several times"},
		 {"examples", "FOLDER", "Folder with the deployments that scripts refer to (default examples)"},
		 {"samples", "", "Print the samples of each run after its report, one JSON object per line"},
		 {"trace", "", "Print the trace while running"}},
		"FILE...");
	if (!has_value(parsed))
	{
		return std::get<1>(parsed);
	}
	const auto& line = std::get<0>(parsed);
	const auto seed = parse_number_option(line, "seed", "1");
	const auto repeat = parse_number_option(line, "repeat", "1");
	if (!seed || !repeat)
	{
		return runtime::exit_usage;
	}
	if (line.operands.empty())
	{
		fmt::print(stderr, "no scenario file given\n");
		return runtime::exit_usage;
	}
	scenario::run_options options;
	options.trace = line.has("trace");
	options.examples = line.value("examples", "examples");
	for (const auto& it : line.values("set"))
	{
		const auto separator = it.find('=');
		if (separator == std::string::npos)
		{
			fmt::print(stderr, "--set: got \"{}\", expected NAME=VALUE\n", it);
			return runtime::exit_usage;
		}
		options.parameters[it.substr(0, separator)] = it.substr(separator + 1);
	}
	int status = runtime::exit_ok;
	for (const auto& file : line.operands)
	{
		for (std::uint64_t i = 0; i < *repeat; ++i)
		{
			options.seed = *seed + i;
			const auto result = scenario::run_scenario(file, options);
			print_result(result, options.trace, line.has("samples"));
			status = result.failure.empty() ? status : runtime::exit_failure;
		}
	}
	return status;
}
