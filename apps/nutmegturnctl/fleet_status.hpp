#pragma once

#include "runtime/command_line.hpp"

#include <QJsonObject>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace nutmegturn::ctl
{
	/// Upstream as reported by its agent. A count that the agent does not report is empty.
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

	/// Process as it reports itself in `/status`.
	struct process_row
	{
		std::string url;
		std::string name;
		std::string role;
		std::string zone;
		std::string state;
		std::int64_t revision = 0;
		std::string error; ///< Why the daemon did not answer; only `url` is set then. Empty on success.
	};

	/// Zone with its state as reported by the daemons.
	struct zone_row
	{
		std::string name;
		std::string state; ///< `differs` when the daemons report different states.
	};

	/// Status of all daemons, read at about the same time.
	struct fleet_status
	{
		std::vector<process_row> processes;
		std::vector<zone_row> zones;
		std::vector<upstream_row> upstreams;
	};

	/// Merges the `/status` document of one daemon into the status of the fleet.
	void add_status(fleet_status& fleet, const std::string& url, const QJsonObject& status);

	/// Reads `/status` of all daemons concurrently and waits until each has answered or failed. Runs a nested event
	/// loop, so the program needs a `QCoreApplication`.
	[[nodiscard]] fleet_status read_fleet(const std::vector<std::string>& urls);

	/// Returns the URLs given with `--daemon`, without trailing slashes.
	[[nodiscard]] std::vector<std::string> daemon_urls(const runtime::parsed_command_line& line);

	/// Converts the status to the JSON that `top --json` prints.
	[[nodiscard]] QJsonObject to_json(const fleet_status& fleet);

	/// Formats a count; an unreported count becomes `-`.
	[[nodiscard]] std::string format_count(const std::optional<std::int64_t>& count);
}
