#pragma once

#include "nutmegturn/error.hpp"

#include <map>
#include <string>
#include <vector>

namespace nutmegturn::runtime
{
	/// One option of a program.
	struct command_option
	{
		std::string name;        ///< Long name without dashes.
		std::string argument;    ///< Placeholder of the argument in the help text; empty for a switch.
		std::string description; ///< One line of help.
	};

	/// Parsed arguments. The values of an option that is given several times are kept in order.
	struct parsed_command_line
	{
		std::map<std::string, std::vector<std::string>, std::less<>> options; ///< A switch has an empty value.
		std::vector<std::string> operands;

		/// Returns whether an option is present.
		[[nodiscard]] bool has(std::string_view name) const;

		/// Returns the last argument of an option, or `default_value` if it is absent.
		[[nodiscard]] std::string value(std::string_view name, std::string_view default_value = {}) const;

		/// Returns all arguments of an option.
		[[nodiscard]] std::vector<std::string> values(std::string_view name) const;
	};

	/// \name Exit status of the programs
	/// @{
	inline constexpr int exit_ok = 0;
	inline constexpr int exit_failure = 1;
	inline constexpr int exit_usage = 2;
	/// @}

	/// Parses a command line with popt. `--help` and `--usage` print help and end the program with status 0.
	/// `--version` prints the version and returns status 0.
	/// \param operands	Help text for the operands, such as `SETTINGS`.
	/// \returns		The parsed arguments, or the exit status. Errors are reported on standard error.
	[[nodiscard]] result<parsed_command_line, int> parse_command_line(int argc, char** argv,
																	  const std::vector<command_option>& options,
																	  const std::string& operands = {});
}
