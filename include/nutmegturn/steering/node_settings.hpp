#pragma once

#include "nutmegturn/steering/ipv4.hpp"
#include "nutmegturn/steering/placement_policy.hpp"
#include "nutmegturn/steering/records.hpp"

#include <cstdint>
#include <string>

namespace nutmegturn::steering
{
	/// Settings of a balancer or agent process.
	struct node_settings
	{
		std::string name;             ///< For log lines; the instance's address if the platform gives none.
		std::string zone;             ///< Empty if the platform gives none; all zones are alike then.
		ipv4 instance{};              ///< Address of the instance on which the process runs.
		ipv4_endpoint caller_packets; ///< Where packets from callers arrive. Callers use the same port.
		ipv4_endpoint readiness;      ///< Listen address of the readiness check and the metrics.
		ipv4_endpoint store;          ///< Metadata store.
		std::uint16_t peer_port = 0;  ///< UDP port for messages between processes; the same on all instances.
		milliseconds stop_grace{0};   ///< Time from the stop signal until the process is killed.
		bool first_start = false;     ///< First start of the whole deployment.

		placement_policy placement = placement_policy::request_count; ///< Only for balancers.

		/// \name Only for agents
		/// @{
		std::string service;
		ipv4_endpoint upstream;          ///< Where the upstream receives packets.
		ipv4_endpoint upstream_outbound; ///< Where the upstream sends its packets.
										 /// @}
	};
}
