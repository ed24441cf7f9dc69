#pragma once

#include "runtime/command_line.hpp"

#include <QJsonObject>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace nutmegturn::ctl
{
	/// Upstream as its agent reports it. Counts are absent when the daemon does not report them.
	struct upstream_row
	{
		std::string name;
		std::string service; ///< Canonical service name.
		std::string zone;    ///< Canonical zone name.
		std::string state;
		std::optional<std::int64_t> flows;
		std::optional<std::int64_t> in_progress;
		std::optional<std::int64_t> admitted;
		std::optional<std::int64_t> refused;
	};

	/// Process as it reports itself.
	struct process_row
	{
		std::string url;
		std::string name;
		std::string role;
		std::string zone;
		std::string state;
		std::int64_t revision = 0;
		std::string error; ///< Why there is no answer; the other fields are empty then.
	};

	/// Zone with the state that the daemons report.
	struct zone_row
	{
		std::string name;
		std::string state; ///< `differs` when daemons report different ones.
	};

	/// What the daemons of a fleet report at one time.
	struct fleet_status
	{
		std::vector<process_row> processes;
		std::vector<zone_row> zones;
		std::vector<upstream_row> upstreams;
	};

	/// Adds the `/status` document of a daemon.
	void add_status(fleet_status& fleet, const std::string& url, const QJsonObject& status);

	/// Reads `/status` of all daemons at once; must be called in a thread with an application object.
	[[nodiscard]] fleet_status read_fleet(const std::vector<std::string>& urls);

	/// Returns the daemons named by `--daemon`, without a slash at the end.
	[[nodiscard]] std::vector<std::string> daemon_urls(const runtime::parsed_command_line& line);

	/// Returns the JSON form.
	[[nodiscard]] QJsonObject to_json(const fleet_status& fleet);

	/// Returns a count, or `-` when it is not reported.
	[[nodiscard]] std::string format_count(const std::optional<std::int64_t>& count);
}
