#pragma once

#include "nutmegturn/steering/node_settings.hpp"

#include <string_view>
#include <vector>

namespace nutmegturn::steering
{
	/// Differences between the settings in force and those read again, by name.
	struct settings_change
	{
		std::vector<std::string_view> applied;       ///< In force now.
		std::vector<std::string_view> after_restart; ///< Sockets and identities, which a running process keeps.
	};

	/// Takes over what a running process can change.
	/// \param current	Settings in force.
	/// \param read		Settings that were read again.
	[[nodiscard]] settings_change apply_settings(node_settings& current, const node_settings& read);
}
