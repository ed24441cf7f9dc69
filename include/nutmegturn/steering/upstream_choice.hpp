#pragma once

#include "nutmegturn/steering/message.hpp"

#include <optional>
#include <span>
#include <unordered_map>

namespace nutmegturn::steering
{
	/// What a balancer knows of the load of one upstream.
	struct upstream_load
	{
		load_report report;
		monotonic_time reported_at;           ///< When the last message of its agent arrived.
		std::uint16_t flows_since_report = 0; ///< New flows sent there since that message.
		monotonic_time unanswered_since{};    ///< Oldest opening packet without answer; the epoch when there is none.
	};

	/// Loads by the agent's instance.
	using load_table = std::unordered_map<ipv4, upstream_load>;

	/// An agent that does not answer opening packets for this long gets new flows only if no other can take them.
	/// Longer than a round trip between availability zones and the agent's own delay.
	inline constexpr milliseconds agent_answer_timeout{120};

	/// How long an agent that did not answer is avoided after the last attempt.
	inline constexpr milliseconds unanswered_backoff{1'500};

	/// Load above which a flow leaves the balancer's own availability zone, as a share of the upstream's slots.
	inline constexpr double spill_load = 0.7;

	/// Chooses the upstream of a new flow.
	///
	/// Load pattern: many long flows with pauses and short flows with one request each, on upstreams of unequal speed.
	/// Requests in progress count first; open flows, which become requests later, break ties. The balancer's own zone
	/// is preferred as long as its upstreams have free slots, since bytes between zones are scarce.
	///
	/// An upstream that resets part of its requests gets less, however healthy it says it is, but never none.
	///
	/// \param declined	Instances that have already declined this flow.
	/// \param hash		Hash of the flow; spreads flows over equal upstreams.
	/// \returns		Nothing when no upstream takes new flows.
	[[nodiscard]] const known_upstream* choose_upstream(const catalog& known, service_key service,
														const load_table& loads, std::string_view zone,
														std::span<const ipv4> excluded, std::uint64_t hash,
														monotonic_time now);
}
