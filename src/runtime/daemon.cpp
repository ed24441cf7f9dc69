#include "runtime/daemon.hpp"

#include "runtime/chart.hpp"
#include "runtime/command_line.hpp"
#include "runtime/control_plane.hpp"

#include <fmt/format.h>

#include <cstdio>

namespace nutmegturn::runtime
{
	std::variant<settings, int> read_daemon_arguments(int argc, char** argv, member_role role)
	{
		const auto parsed =
			parse_command_line(argc, argv, {{"check", "", "Validate the settings and exit"}}, "SETTINGS");
		if (!has_value(parsed))
		{
			return std::get<1>(parsed);
		}
		const auto& args = std::get<0>(parsed);
		if (args.operands.size() != 1)
		{
			fmt::print(stderr, "expected exactly one settings file; see --help\n");
			return exit_usage;
		}
		auto read = read_settings(args.operands.front());
		if (!has_value(read))
		{
			fmt::print(stderr, "{}\n", to_string(std::get<1>(read)));
			return exit_failure;
		}
		if (std::get<0>(read).role != role)
		{
			fmt::print(stderr, "{}: role: expected \"{}\"\n", args.operands.front(),
					   role == member_role::agent ? "agent" : "balancer");
			return exit_failure;
		}
		if (args.has("check"))
		{
			fmt::print("{}: valid\n", args.operands.front());
			return exit_ok;
		}
		return std::get<0>(std::move(read));
	}
}
