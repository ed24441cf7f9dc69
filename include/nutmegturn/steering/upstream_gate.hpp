#pragma once

#include "nutmegturn/steering/message.hpp"

#include <deque>

namespace nutmegturn::steering
{
	/// The last gate in front of an upstream: decides on opening packets, whatever a balancer believed.
	struct upstream_gate
	{
		ipv4 instance{};
		std::string zone;
		service_key service{};
		bool stopping = false;
		monotonic_time started;                       ///< Start of this process.
		std::deque<monotonic_time> recent_admissions; ///< New flows of the last second, oldest first.
		monotonic_time refused_at{};       ///< Last time the upstream's port refused a packet; the epoch when none.
		monotonic_time unanswered_since{}; ///< Oldest opening packet without answer; the epoch when there is none.
		monotonic_time last_trial{};       ///< Last opening packet delivered while the upstream was unreachable.
		bool recovered = false;            ///< The upstream answered again after it had been unreachable.
		monotonic_time recovered_at{};     ///< When it did.
	};

	/// Time without an answer to opening packets after which an upstream counts as unreachable.
	inline constexpr milliseconds upstream_answer_timeout{150};

	/// How often an unreachable upstream is tried with a new flow.
	inline constexpr milliseconds trial_interval{300};

	/// Returns the newest entry of the gate's own upstream, or nothing.
	[[nodiscard]] const known_upstream* own_upstream(const upstream_gate& gate, const catalog& known);

	/// Returns whether the upstream bears less than its full load.
	///
	/// Load pattern: a zone's upstreams come back together with empty caches while all callers reopen their flows. The
	/// store's word on this lags, so an upstream that was just seen to return, and one of which a new process knows
	/// nothing yet, count as cold too.
	[[nodiscard]] bool gate_is_cold(const upstream_gate& gate, const catalog& known, monotonic_time now);

	/// Returns how many more new flows a cold upstream takes in the second that ends now.
	[[nodiscard]] std::uint16_t cold_admissions_left(const upstream_gate& gate, const catalog& known,
													 monotonic_time now);

	/// Decides on an opening packet.
	/// \param service	Service that the balancer chose.
	/// \param version	Configuration version of the balancer.
	/// \param route	Address that the caller used.
	/// \returns		`admission_status::accepting` when the packet is to be delivered; otherwise why not.
	[[nodiscard]] admission_status admit_opening(upstream_gate& gate, const catalog& known, service_key service,
												 std::uint64_t version, const ipv4_endpoint& route, monotonic_time now);

	/// Returns the state that load reports give, without admitting anything.
	[[nodiscard]] admission_status current_admission_status(const upstream_gate& gate, const catalog& known,
															monotonic_time now);

	/// Notes that an opening packet was delivered.
	void note_delivered(upstream_gate& gate, monotonic_time now);

	/// Notes that the upstream answered, and so lives.
	void note_answered(upstream_gate& gate, monotonic_time now);

	/// Notes that the upstream's port refused a packet: nothing listens there.
	void note_refused(upstream_gate& gate, monotonic_time now);
}
