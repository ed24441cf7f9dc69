#pragma once

#include "nutmegturn/endpoint.hpp"
#include "nutmegturn/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegturn
{
	/// Role of a process.
	enum class member_role : std::uint8_t
	{
		balancer,
		agent
	};

	/// Liveness of a member as determined by probing. `leaving` members answer probes but accept no new work.
	enum class member_liveness : std::uint8_t
	{
		alive,
		suspect,
		leaving,
		dead
	};

	/// State of an upstream as reported by its agent.
	enum class upstream_run_state : std::uint8_t
	{
		cold,
		warming,
		serving,
		draining,
		leaving,
		out
	};

	/// State of one upstream in the report of its agent.
	struct upstream_report
	{
		upstream_id id{};
		upstream_run_state state = upstream_run_state::cold;
	};

	/// Description and last known state of a process.
	struct member
	{
		member_id id{};
		std::string name;
		member_role role = member_role::balancer;
		std::string zone; ///< Canonical zone name.
		endpoint control; ///< Endpoint for control messages.
		endpoint data;    ///< Endpoint for data packets.
		incarnation process_incarnation{};
		std::uint32_t sequence = 0; ///< Incremented by the member itself to refute a suspicion or to announce a change.
		member_liveness liveness = member_liveness::alive;
		revision newest{};                      ///< Newest configuration revision that the member has reported.
		std::vector<upstream_report> upstreams; ///< Empty for balancers.
	};

	/// Immutable snapshot of the member list, sorted by id, as published to the other modules.
	struct member_view
	{
		std::vector<member> members;
	};
}
