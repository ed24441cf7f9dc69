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
	/// Flow of a caller and where its datagrams have been delivered.
	struct caller_flow
	{
		flow_key key;
		service_id service{};
		std::uint64_t socket = 0; ///< Socket at the upstream; 0 before the flow is established.
		process_index holder = 0;
		std::uint32_t undelivered = 0; ///< Datagrams sent since the last one that was delivered.
		monotonic_time last_delivered{};
		bool open = true;
		bool stalled = false; ///< Counted as broken because its datagrams no longer arrive.
	};

	/// Knows all flows of a run and finds those that break.
	struct flow_ledger
	{
		std::vector<caller_flow> flows;
		std::uint64_t last_socket = 0;
	};

	/// Datagram that an agent delivered.
	struct flow_delivery
	{
		std::size_t flow = 0;
		process_index agent = 0;
		service_id service{};     ///< Service of the upstream.
		std::uint64_t socket = 0; ///< Socket at the upstream over which it went.
		monotonic_time now{};
		/// A partition in which nobody reaches a newer configuration keeps the old one, as the design states.
		bool reachable = true;
		monotonic_time reachable_since{};
		const network* net = nullptr;
	};

	/// Accounts for a delivered datagram. A flow whose holder is out of reach ends and goes on elsewhere.
	/// \returns	What is wrong, or an empty text.
	[[nodiscard]] std::string ledger_on_delivery(flow_ledger& ledger, const flow_delivery& delivery,
												 const std::vector<std::unique_ptr<process>>& processes,
												 run_counts& counts);

	/// Counts open flows whose datagrams have not been delivered for a while although their holder runs.
	/// \returns	A text for the first one, or an empty text.
	[[nodiscard]] std::string ledger_find_stalled(flow_ledger& ledger,
												  const std::vector<std::unique_ptr<process>>& processes,
												  monotonic_time now, run_counts& counts);
}
