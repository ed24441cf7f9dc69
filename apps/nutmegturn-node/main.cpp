#include "node/node.hpp"
#include "platform/settings.hpp"
#include "runtime/command_line.hpp"

#include <cstdlib>

namespace
{
	using namespace nutmegturn;

	/// Exit status for settings that cannot be used.
	constexpr int exit_settings = runtime::exit_usage;

	[[nodiscard]] int run(const std::string& role, const std::string& settings_path)
	{
		node::node_log log{role};
		const bool agent = role == "agent";
		const auto settings = platform::read_settings(settings_path, agent);
		if (!has_value(settings))
		{
			log.write(log_level::error, "settings_refused", to_string(std::get<1>(settings)));
			return exit_settings;
		}
		const auto& it = std::get<0>(settings);
		log.set_process(it.name);
		log.write(log_level::info, "started", "the process starts",
				  {{"role", role},
				   {"zone", it.zone},
				   {"instance", steering::to_string(it.instance)},
				   {"build", NUTMEGTURN_VERSION}});
		const node::settings_file file{.path = settings_path, .require_upstream_fields = agent};
		return agent ? node::run_agent(it, file, log) : node::run_balancer(it, file, log);
	}
}

int main(int argc, char** argv)
{
	const auto given = runtime::parse_command_line(
		argc, argv, {{"settings", "FILE", "Settings file; the default is the value of NUTMEGTURN_CONFIG"}},
		"balancer|agent");
	if (!has_value(given))
	{
		return std::get<1>(given);
	}
	const auto& line = std::get<0>(given);
	const char* from_environment = std::getenv(platform::settings_variable);
	const auto path = line.value("settings", from_environment == nullptr ? "" : from_environment);
	const bool role_known =
		line.operands.size() == 1 && (line.operands[0] == "balancer" || line.operands[0] == "agent");
	if (!role_known || path.empty())
	{
		node::node_log{"nutmegturn-node"}.write(log_level::error, "usage",
												"expected one role, balancer or agent, and a settings file");
		return runtime::exit_usage;
	}
	return run(line.operands[0], path);
}
