#pragma once

#include "nutmegturn/steering/message.hpp"
#include "nutmegturn/steering/placement_policy.hpp"
#include "nutmegturn/steering/work_report.hpp"

#include <optional>
#include <span>
#include <unordered_map>

namespace nutmegturn::steering
{
	/// Flows that a balancer sent to an upstream after a work report. Replies of the agent carry newer counts of
	/// requests, but no work report, so these flows are counted separately.
	struct flows_since_work
	{
		monotonic_time report_at;  ///< Arrival of that work report; the counts are void after another one.
		std::uint32_t placed = 0;  ///< All flows since then.
		double unanswered = 0;     ///< Those whose first request is probably unanswered, at `updated_at`.
		monotonic_time updated_at; ///< Last placement.
	};

	/// Load of one upstream, as known to a balancer.
	struct upstream_load
	{
		load_report report;
		monotonic_time reported_at;           ///< When the agent's last message arrived.
		std::uint16_t flows_since_report = 0; ///< New flows sent there since that message.
		monotonic_time unanswered_since{};    ///< Oldest opening packet without an answer; the epoch if none.
		std::optional<work_report> work{};    ///< Of the latest `load` message; nothing if it carried none.
		monotonic_time work_reported_at{};    ///< Arrival of that message.
		flows_since_work since_work{};        ///< Kept by `record_placement`.
	};

	/// Loads by instance of the agent.
	using load_table = std::unordered_map<ipv4, upstream_load>;

	/// An agent that leaves opening packets unanswered for this long gets new flows only as a last resort. Longer than
	/// a round trip between availability zones plus the agent's own delay.
	inline constexpr milliseconds agent_answer_timeout{120};

	/// How long such an agent is avoided, counted from the oldest unanswered opening packet.
	inline constexpr milliseconds unanswered_backoff{1'500};

	/// Load above which new flows spill over to other availability zones, as a share of the upstream's slots.
	inline constexpr double spill_load = 0.7;

	/// Records that this balancer sent a new flow to an upstream.
	void record_placement(upstream_load& load, monotonic_time now) noexcept;

	/// Chooses the upstream of a new flow.
	///
	/// Load pattern: many long flows with pauses and short flows with one request each, on upstreams of unequal speed,
	/// with requests of very different costs. The upstream with the lowest expected completion time is chosen, in units
	/// of the service's mean cost: the reported outstanding work, the flows placed since then, and how much slower its
	/// requests are than those of the service. Open flows, which lead to requests later, have a small weight. An
	/// upstream without reported cost is compared by its number of requests. The balancer's own zone is preferred while
	/// its upstreams have free slots, since bandwidth between zones is scarce.
	///
	/// Several balancers with the same view would choose the same upstream. The work that others have probably placed
	/// since the reports widens the choice: an upstream is drawn by the flow's hash from those that this work would
	/// fill first. In a service of more than 64 upstreams, a sample by the flow's hash is compared.
	///
	/// After a power loss agents start one after the other, and an opening packet to one that has not started is lost:
	/// upstreams whose agents have been heard are preferred.
	///
	/// An upstream that resets part of its requests gets fewer flows even if it reports itself healthy, but is never
	/// excluded.
	///
	/// \param excluded	Instances that were already tried for this flow.
	/// \param hash		Hash of the flow; spreads flows over equal upstreams.
	/// \param priority	Priority of the flow's requests.
	/// \param policy	With `request_count`, work reports are not used, all upstreams are compared, and only those of
	///					exactly equal load are chosen by hash.
	/// \returns		The upstream, or null if none accepts new flows.
	[[nodiscard]] const known_upstream* choose_upstream(const catalog& known, std::string_view service,
														const load_table& loads, std::string_view zone,
														std::span<const ipv4> excluded, std::uint64_t hash,
														std::uint8_t priority, placement_policy policy,
														monotonic_time now);
}
