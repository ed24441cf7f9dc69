#pragma once

#include "nutmegturn/bucket_table.hpp"
#include "nutmegturn/ids.hpp"
#include "nutmegturn/load_report.hpp"
#include "nutmegturn/random.hpp"
#include "nutmegturn/time.hpp"

#include <chrono>
#include <cstdint>
#include <span>
#include <vector>

namespace nutmegturn
{
	/// Interval between load reports.
	inline constexpr std::chrono::milliseconds load_report_interval{250};

	/// Age beyond which a load report is ignored. In a service of more than 16 agents each one reports to 16 random
	/// peers per round, so a given peer's report may take several rounds to arrive.
	inline constexpr std::chrono::seconds load_report_lifetime{5};

	/// The primary keeps a new flow while its load is at most this many times the mean of the candidates.
	inline constexpr double max_local_load_ratio = 1.01;

	/// Time for which an agent places no flow at a peer that has refused one.
	inline constexpr std::chrono::milliseconds refusal_backoff{500};

	/// Returns the new flows a second that an upstream accepts: 1% of its weight when cold and 2.5% when warming, so
	/// that admission control can adapt; 10% when serving, so that a returning upstream is not flooded.
	[[nodiscard]] constexpr double new_flow_rate(upstream_run_state state, std::uint32_t weight) noexcept
	{
		switch (state)
		{
			case upstream_run_state::cold:
				return weight * 0.01;
			case upstream_run_state::warming:
				return weight * 0.025;
			case upstream_run_state::serving:
				return weight * 0.1;
			default:
				return 0;
		}
	}

	/// Load of a peer as known to an agent.
	struct peer_load
	{
		upstream_load load;
		std::uint32_t placed = 0;     ///< Flows placed there since the report.
		monotonic_time reported_at;   ///< When the report arrived.
		monotonic_time backoff_until; ///< After a refusal no flows are placed there before this time.
	};

	/// Loads of the other upstreams of a service, sorted by id.
	struct placement_state
	{
		std::vector<peer_load> peers;

		/// Returns the entry of a peer, or null.
		[[nodiscard]] peer_load* find(upstream_id peer) noexcept;
	};

	/// Records a peer's load, which is assumed to include the flows placed there since its previous report.
	void placement_on_load(placement_state& state, const upstream_load& load, monotonic_time now);

	/// Chooses the upstream for a new flow. Peers below the mean load are chosen at random in proportion to their
	/// deficit, so that several primaries with equally old reports do not all choose the same peer.
	/// \param state		Loads of the peers.
	/// \param candidates	All candidates of the service.
	/// \param chain		First candidates of the flow's bucket.
	/// \param self			Load of the primary's own upstream.
	/// \param own			Own candidate entry; null when the upstream is no candidate.
	/// \param may_keep		Whether the own upstream can admit the flow.
	/// \returns			The peer's entry in `candidates`, or null when the flow stays (or no peer can take it).
	[[nodiscard]] const candidate* choose_peer(placement_state& state, std::span<const candidate> candidates,
											   std::span<const candidate_index> chain, const upstream_load& self,
											   const candidate* own, bool may_keep, monotonic_time now,
											   random_source& random);
}
