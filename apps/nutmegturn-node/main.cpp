#include "node/node.hpp"
#include "platform/settings.hpp"
#include "runtime/command_line.hpp"

#include <cstdlib>

namespace
{
	using namespace nutmegturn;

	/// Exit status when the settings are invalid.
	constexpr int exit_invalid_settings = runtime::exit_usage;

	[[nodiscard]] int run(const std::string& role, const std::string& settings_path)
	{
		node::node_log log{role};
		const bool agent = role == "agent";
		const auto loaded_settings = platform::read_settings(settings_path, agent);
		if (!has_value(loaded_settings))
		{
			log.write(log_level::error, "settings_refused", to_string(std::get<1>(loaded_settings)));
			return exit_invalid_settings;
		}
		const auto& settings = std::get<0>(loaded_settings);
		log.set_process(settings.name);
		log.write(log_level::info, "started", "process starting",
				  {{"role", role},
				   {"zone", settings.zone},
				   {"instance", steering::to_string(settings.instance)},
				   {"build", NUTMEGTURN_VERSION}});
		const node::settings_file file{.path = settings_path, .require_upstream_fields = agent};
		return agent ? node::run_agent(settings, file, log) : node::run_balancer(settings, file, log);
	}
}

int main(int argc, char** argv)
{
	const auto parsed = runtime::parse_command_line(
		argc, argv, {{"settings", "FILE", "Settings file; the default is the value of NUTMEGTURN_CONFIG"}},
		"balancer|agent");
	if (!has_value(parsed))
	{
		return std::get<1>(parsed);
	}
	const auto& options = std::get<0>(parsed);
	const char* from_environment = std::getenv(platform::settings_variable);
	const auto path = options.value("settings", from_environment == nullptr ? "" : from_environment);
	const bool role_known =
		options.operands.size() == 1 && (options.operands[0] == "balancer" || options.operands[0] == "agent");
	if (!role_known || path.empty())
	{
		node::node_log{"nutmegturn-node"}.write(
			log_level::error, "usage", "invalid arguments: expected one role (balancer or agent) and a settings file");
		return runtime::exit_usage;
	}
	return run(options.operands[0], path);
}
