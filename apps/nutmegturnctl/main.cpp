#include "command.hpp"

#include <QCoreApplication>

#include <fmt/format.h>

#include <charconv>
#include <cstdio>

namespace
{
	using namespace nutmegturn;
	using namespace nutmegturn::ctl;
	using namespace nutmegturn::runtime;

	constexpr std::uint32_t default_samples = 100'000;

	int report_usage_error(std::string_view message)
	{
		fmt::print(stderr, "nutmegturnctl: {}; see --help\n", message);
		return exit_usage;
	}

	int run(const parsed_command_line& line)
	{
		const bool is_json = line.has("json");
		const auto& operands = line.operands;
		const std::string command = operands.empty() ? "" : operands[0];
		if (command == "check" && operands.size() >= 2)
		{
			return run_check({operands.begin() + 1, operands.end()}, is_json);
		}
		if (command == "plan" && operands.size() == 3)
		{
			const auto text = line.value("samples", std::to_string(default_samples));
			std::uint32_t samples = 0;
			const auto [it, ec] = std::from_chars(text.data(), text.data() + text.size(), samples);
			if (ec != std::errc{} || it != text.data() + text.size() || samples == 0)
			{
				return report_usage_error("--samples expects a positive integer");
			}
			return run_plan(operands[1], operands[2], line.has("partial"), samples, is_json);
		}
		if (command == "explain" && operands.size() == 4)
		{
			const auto client = parse_endpoint(operands[2]);
			const auto service = parse_endpoint(operands[3]);
			if (!client || !service)
			{
				return report_usage_error("explain expects RECORDS CLIENT SERVICE, with CLIENT and SERVICE as IP:port");
			}
			return run_explain(operands[1], {*client, *service}, is_json);
		}
		if (command == "routes" && (operands.size() == 2 || operands.size() == 3))
		{
			const auto process = parse_endpoint(operands[1]);
			const auto address = operands.size() == 3 ? parse_endpoint(operands[2]) : std::nullopt;
			if (!process || (operands.size() == 3 && !address))
			{
				return report_usage_error("routes expects PROCESS and ADDRESS as IP:port");
			}
			return run_routes(*process, address, is_json);
		}
		if ((command == "status" || command == "audit") && operands.size() == 2)
		{
			const auto daemon = parse_endpoint(operands[1]);
			return daemon ? run_query(command, *daemon, is_json)
						  : report_usage_error("DAEMON must be the IP:port of the daemon's HTTP endpoint");
		}
		if (command == "top" && operands.size() == 1)
		{
			return run_top(line);
		}
		if (command == "report" && operands.size() == 1)
		{
			return run_report(line);
		}
		return report_usage_error("unknown command or wrong number of operands");
	}
}

int main(int argc, char** argv)
{
	const QCoreApplication application{argc, argv};
	const auto parsed = parse_command_line(
		argc, argv,
		{{"json", "", "Print JSON"},
		 {"partial", "", "plan: THEN holds only added and changed records; all others stay in force"},
		 {"samples", "N", "plan: flow keys to sample for each service (default 100000)"},
		 {"daemon", "URL", "top, report: HTTP endpoint of a daemon, http://IP:port; may be given several times"},
		 {"once", "", "top: print one table and exit"},
		 {"interval", "MS", "top: time between two tables (default 1000)"}},
		"check PATH... | plan NOW THEN | explain RECORDS CLIENT SERVICE | routes PROCESS [ADDRESS] |\n"
		"status DAEMON | audit DAEMON |\n"
		"top --daemon URL... | report --daemon URL...\n"
		"Exit status: 0 success, 1 failure, 2 usage, 3 refused or unresolved, 4 flows end, 5 no upstream, 6 no answer");
	if (const auto* status = std::get_if<int>(&parsed))
	{
		return *status;
	}
	return run(std::get<parsed_command_line>(parsed));
}
