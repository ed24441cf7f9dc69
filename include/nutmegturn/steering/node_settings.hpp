#pragma once

#include "nutmegturn/steering/ipv4.hpp"
#include "nutmegturn/steering/records.hpp"

#include <cstdint>
#include <string>

namespace nutmegturn::steering
{
	/// What a process is told of itself and its surroundings.
	struct node_settings
	{
		std::string name;
		std::string zone;
		ipv4 instance{};              ///< Address of the instance on which the process runs.
		ipv4_endpoint caller_packets; ///< Where packets of callers arrive; the port is also that of callers.
		ipv4_endpoint readiness;      ///< Where the readiness check and the metrics are served.
		ipv4_endpoint store;          ///< Metadata store.
		std::uint16_t peer_port = 0;  ///< UDP port of messages between processes, equal on all instances.
		milliseconds stop_grace{0};   ///< Time between the stop signal and the kill.
		bool first_start = false;     ///< The whole deployment starts for the first time.

		/// \name Only beside an upstream
		/// @{
		std::string service;
		ipv4_endpoint upstream;          ///< Where the upstream takes packets.
		ipv4_endpoint upstream_outbound; ///< Where the upstream sends its packets.
										 /// @}
	};
}
