#pragma once

#include "nutmegturn/ids.hpp"

#include <optional>
#include <string>

namespace nutmegturn
{
	/// One publication or deletion of a record, as sent by the configuration service and by peers.
	struct record_version
	{
		std::string key;
		revision rev{};
		std::optional<std::string> value; ///< JSON text; absent when the record was deleted.
	};
}
