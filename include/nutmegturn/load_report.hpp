#pragma once

#include "nutmegturn/ids.hpp"
#include "nutmegturn/member.hpp"

#include <cstdint>
#include <vector>

namespace nutmegturn
{
	/// Load of one upstream, counted by its agent.
	struct upstream_load
	{
		upstream_id upstream{};
		std::uint32_t flows = 0;       ///< Open flows.
		std::uint32_t in_progress = 0; ///< Requests in progress.
		std::uint32_t limit = 0;       ///< Concurrency limit in force for requests.
		upstream_run_state state = upstream_run_state::serving;
	};

	/// Report that the agents of a service send each other every 250 ms.
	struct load_report
	{
		std::uint32_t sequence = 0; ///< Increases with every report of a sender.
		std::vector<upstream_load> loads;
	};
}
