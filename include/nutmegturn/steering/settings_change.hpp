#pragma once

#include "nutmegturn/steering/node_settings.hpp"

#include <string_view>
#include <vector>

namespace nutmegturn::steering
{
	/// Names of the settings that differ after a reload.
	struct settings_change
	{
		std::vector<std::string_view> applied;       ///< Take effect at once.
		std::vector<std::string_view> after_restart; ///< Sockets and identities, which need a restart.
	};

	/// Applies the settings that can change while the process runs.
	/// \param current	Settings in effect; updated.
	/// \param read		Reloaded settings.
	[[nodiscard]] settings_change apply_settings(node_settings& current, const node_settings& read);
}
