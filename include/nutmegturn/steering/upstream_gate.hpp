#pragma once

#include "nutmegturn/steering/message.hpp"

#include <deque>

namespace nutmegturn::steering
{
	/// Admission control of an agent: makes the final decision on opening packets, independent of the balancer's view.
	struct upstream_gate
	{
		ipv4 instance{};
		std::string zone;    ///< By the settings; may be empty. The upstream's entry has one too.
		std::string service; ///< By the settings.
		bool stopping = false;
		monotonic_time started;                       ///< Start of this process.
		std::deque<monotonic_time> recent_admissions; ///< New flows of the last second, oldest first.
		monotonic_time refused_at{};        ///< When the upstream's port last refused a packet; the epoch if none.
		monotonic_time unanswered_since{};  ///< Oldest opening packet without an answer; the epoch if none.
		monotonic_time last_trial{};        ///< Last opening packet admitted while the upstream was unreachable.
		monotonic_time ended_run_at{};      ///< A run of the upstream that was up at this time has ended.
		monotonic_time ended_run_seen_at{}; ///< When the process found that out.
		bool recovered = false;             ///< The upstream answered again after it was unreachable.
		monotonic_time recovered_at{};      ///< Time of the last such recovery.
	};

	/// An upstream that leaves an opening packet unanswered for this long is unreachable.
	inline constexpr milliseconds upstream_answer_timeout{150};

	/// Interval at which an unreachable upstream gets a new flow as a trial.
	inline constexpr milliseconds trial_interval{300};

	/// Returns the newest entry of the agent's own upstream, or null.
	[[nodiscard]] const known_upstream* own_upstream(const upstream_gate& gate, const catalog& known);

	/// Returns whether the upstream is in cold start and takes only part of its full load.
	///
	/// Load pattern: a zone's upstreams return together with empty caches while all callers reopen their flows. The
	/// store's entries lag behind, so an upstream that just recovered, and one whose entry a new process has not read
	/// yet, are treated as cold too.
	[[nodiscard]] bool gate_is_cold(const upstream_gate& gate, const catalog& known, monotonic_time now);

	/// Returns how many more new flows a cold upstream accepts in the second that ends now.
	[[nodiscard]] std::uint16_t cold_admissions_left(const upstream_gate& gate, const catalog& known,
													 monotonic_time now);

	/// Decides on an opening packet.
	/// \param service	Service chosen by the balancer; the empty name is that of none.
	/// \param version	Configuration version of the balancer.
	/// \param route	Address that the caller used.
	/// \returns		`admission_status::accepting` if the packet is to be forwarded; otherwise why it is declined.
	[[nodiscard]] admission_status admit_opening(upstream_gate& gate, const catalog& known, std::string_view service,
												 std::uint64_t version, const ipv4_endpoint& route, monotonic_time now);

	/// Returns the admission status for load reports; admits nothing.
	[[nodiscard]] admission_status current_admission_status(const upstream_gate& gate, const catalog& known,
															monotonic_time now);

	/// Returns whether the upstream may accept new flows now or shortly. If not, opening packets that wait for a free
	/// slot are returned at once.
	[[nodiscard]] bool admits_new_flows(const upstream_gate& gate, const catalog& known, monotonic_time now);

	/// Records that an opening packet was forwarded to the upstream.
	void record_delivery(upstream_gate& gate, monotonic_time now);

	/// Records that the upstream answered, so it is reachable.
	void mark_reachable(upstream_gate& gate, monotonic_time now);

	/// Records that a run of the upstream that was up at `run_at` has ended.
	void record_ended_run(upstream_gate& gate, monotonic_time run_at, monotonic_time now);

	/// Records that the upstream's port refused a packet, because nothing listens there.
	void mark_refused(upstream_gate& gate, monotonic_time now);
}
