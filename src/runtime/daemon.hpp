#pragma once

#include "nutmegturn/settings.hpp"

#include <variant>

namespace nutmegturn::runtime
{
	/// Parses the command line and the settings file of a daemon. With `--check`, only validates the settings and
	/// returns the exit status.
	/// \param role	Role that the settings must specify.
	/// \returns	The settings, or the exit status. Errors are reported on standard error.
	[[nodiscard]] std::variant<settings, int> read_daemon_arguments(int argc, char** argv, member_role role);
}
