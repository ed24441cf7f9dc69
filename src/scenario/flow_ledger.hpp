#pragma once

#include "nutmegturn/flow_key.hpp"
#include "nutmegturn/ids.hpp"
#include "nutmegturn/time.hpp"

#include "scenario/network.hpp"
#include "scenario/process.hpp"
#include "scenario/report.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace nutmegturn::scenario
{
	/// Flow of a caller and the upstream socket that last received its datagrams.
	struct caller_flow
	{
		flow_key key;
		service_id service{};
		std::uint64_t socket = 0; ///< Socket at the upstream; 0 before the flow is established.
		process_index holder = 0;
		std::uint32_t undelivered = 0; ///< Datagrams sent since the last one that was delivered.
		monotonic_time last_delivered{};
		bool open = true;
		bool stalled = false; ///< Counted as broken because its datagrams are no longer delivered.
	};

	/// Tracks all flows of a run and detects broken ones.
	struct flow_ledger
	{
		std::vector<caller_flow> flows;
		std::uint64_t last_socket = 0;
	};

	/// Delivery of a flow's datagram by an agent.
	struct flow_delivery
	{
		std::size_t flow = 0;
		process_index agent = 0;
		service_id service{};     ///< Service of the upstream.
		std::uint64_t socket = 0; ///< Socket at the upstream that received it.
		monotonic_time now{};
		/// Whether the agent can learn of a newer configuration. The side of a partition that cannot reach the
		/// configuration service keeps its configuration, as the design states.
		bool reachable = true;
		monotonic_time reachable_since{};
		const network* net = nullptr;
	};

	/// Updates the flow and the counts with a delivered datagram. A flow that moves because its holder is unreachable
	/// counts as ended, not as broken.
	/// \returns	Description of the violated invariant, or an empty text.
	[[nodiscard]] std::string ledger_on_delivery(flow_ledger& ledger, const flow_delivery& delivery,
												 const std::vector<std::unique_ptr<process>>& processes,
												 run_counts& counts);

	/// Counts open flows as broken whose datagrams are no longer delivered although their holder runs.
	/// \returns	Description of the first one, or an empty text.
	[[nodiscard]] std::string ledger_find_stalled(flow_ledger& ledger,
												  const std::vector<std::unique_ptr<process>>& processes,
												  monotonic_time now, run_counts& counts);
}
