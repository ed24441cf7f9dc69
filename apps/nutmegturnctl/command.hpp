#pragma once

#include "nutmegturn/config_store.hpp"
#include "nutmegturn/endpoint.hpp"
#include "nutmegturn/flow_key.hpp"
#include "nutmegturn/steering/traffic_class.hpp"

#include "runtime/command_line.hpp"
#include "runtime/record_files.hpp"

#include <QJsonArray>
#include <QJsonObject>
#include <QString>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegturn::ctl
{
	/// \name Exit statuses of this program only
	/// @{
	inline constexpr int exit_refused = 3;     ///< Refused files or records, conflicts included, or unresolved names.
	inline constexpr int exit_ends_flows = 4;  ///< The planned change ends flows.
	inline constexpr int exit_no_upstream = 5; ///< No upstream or no route serves the flow.
	inline constexpr int exit_no_answer = 6;   ///< The daemon did not answer.
	/// @}

	inline constexpr std::chrono::milliseconds http_timeout{5'000};
	inline constexpr qint64 max_response_bytes = 16LL << 20U;

	/// \name Helpers shared by the commands
	/// @{

	/// Converts UTF-8 text.
	[[nodiscard]] QString to_qstring(std::string_view text);

	/// Prints an object to standard output, indented.
	void print_json(const QJsonObject& object);

	/// Converts texts to an array of strings.
	[[nodiscard]] QJsonArray to_json(const std::vector<std::string>& texts);

	/// Returns a traffic class in JSON.
	[[nodiscard]] QJsonObject to_json(const steering::traffic_class& traffic);

	/// Returns a traffic class as text, such as `1/non_idempotent, latency target 150 ms, timeout 2000 ms`.
	[[nodiscard]] std::string describe(const steering::traffic_class& traffic);

	/// Applies records that were read from files to a store.
	/// \returns	One message for each unreadable file and each refused record, conflicts included.
	std::vector<std::string> apply_record_files(const runtime::record_files& files, config_store& store);
	/// @}

	/// \name Commands
	/// Each command prints its result and returns the exit status.
	/// @{
	[[nodiscard]] int run_check(const std::vector<std::string>& paths, bool is_json);
	[[nodiscard]] int run_plan(const std::string& current_path, const std::string& planned_path, bool is_partial,
							   std::uint32_t samples, bool is_json);
	[[nodiscard]] int run_explain(const std::string& records_path, const flow_key& key, bool is_json);

	/// Prints where the routes of a running `nutmegturn-node` lead: services, their shares of new flows, and upstreams
	/// that take new flows, by availability zone.
	/// \param process	Address of its readiness check or metrics.
	/// \param address	Prints only the route of this address.
	[[nodiscard]] int run_routes(const endpoint& process, const std::optional<endpoint>& address, bool is_json);
	[[nodiscard]] int run_query(const std::string& command, const endpoint& daemon, bool is_json);
	[[nodiscard]] int run_top(const runtime::parsed_command_line& line);
	[[nodiscard]] int run_report(const runtime::parsed_command_line& line);
	/// @}
}
