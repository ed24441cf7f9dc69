#pragma once

#include "nutmegturn/deployment.hpp"
#include "nutmegturn/random.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegturn
{
	/// One difference between two deployments.
	struct planned_change
	{
		std::string subject; ///< Canonical name of the zone, service or upstream.
		std::string field;   ///< Empty when the whole record is added or removed.
		std::string before;  ///< Empty when the record is added.
		std::string after;   ///< Empty when the record is removed.
	};

	/// Effect of the change on the flows of one service, estimated from sampled flow keys.
	struct planned_flows
	{
		std::string service;
		std::uint64_t sampled = 0;
		std::uint64_t kept = 0;     ///< The primary stays the same.
		std::uint64_t moved = 0;    ///< The primary changes; established flows stay with their holder, new ones move.
		std::uint64_t removed = 0;  ///< As `moved`, and the record of the previous primary is removed.
		std::uint64_t given_up = 0; ///< Flows end: the previous primary, its zone or the service address is taken out.
	};

	/// Fraction of a service's new flows that an upstream receives.
	struct planned_share
	{
		std::string upstream;
		double before = 0; ///< From 0 to 1.
		double after = 0;  ///< From 0 to 1.
	};

	/// Effect of replacing one deployment by another.
	struct deployment_plan
	{
		std::vector<planned_change> changes;
		std::vector<planned_flows> flows;
		std::vector<planned_share> shares; ///< Contains only upstreams whose share changes.
	};

	/// Compares two deployments, assuming that all agents are alive.
	/// \param before	Current deployment.
	/// \param after	Deployment after the change.
	/// \param samples	Number of flow keys to sample for each service.
	/// \param random	Random source for the sampled keys.
	[[nodiscard]] deployment_plan plan_deployment(const deployment& before, const deployment& after,
												  std::uint32_t samples, random_source& random);
}
