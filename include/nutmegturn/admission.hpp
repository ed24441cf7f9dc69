#pragma once

#include "nutmegturn/member.hpp"
#include "nutmegturn/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace nutmegturn
{
	/// How a request that was sent to the upstream ended.
	enum class admission_outcome : std::uint8_t
	{
		answered,
		shed,      ///< The upstream answered 5.03.
		timed_out, ///< No response within the deadline.
		cancelled  ///< Ended without information about the load.
	};

	/// Parameters of the concurrency limit. tests/admission_test.cpp checks the defaults against simulated upstreams.
	struct admission_config
	{
		double slots = 1;                 ///< Upper bound of the limit.
		std::uint32_t connections = 2000; ///< Upper bound of open flows.
		double latency_tolerance = 1.08; ///< Ratio of mean latency to baseline above which a window counts as overload.
		double backoff = 0.95;           ///< Factor on the estimated capacity that gives the limit after an overload.
		double min_growth = 0.1;         ///< Smallest growth of the limit per window without overload.
		double growth_rate = 0.06;       ///< Relative growth of the limit per window without overload.
		double slow_start_growth = 0.25; ///< Relative growth until the first overload after a cold start.
		std::uint32_t min_window_samples = 16;  ///< Smallest number of responses in a complete window.
		std::uint32_t windows_per_baseline = 8; ///< Growth windows between two measurements of the baseline.
		double baseline_share = 0.8;            ///< Factor on the limit while the baseline is measured.
		double stall_factor = 1.6; ///< Ratio of request age to baseline above which the request counts as stalled.
		double stall_probe_interval = 8;          ///< Time between starts while requests are stalled, in baselines.
		std::chrono::seconds flow_ramp{60};       ///< Time until new flows of a cold upstream reach the full rate.
		std::chrono::seconds connection_fill{10}; ///< Time in which the full rate uses all connections.
	};

	/// Mean number of requests in progress over an interval.
	struct load_sample
	{
		double concurrency = 0;
		double duration_s = 0;
	};

	/// Weighted sums for a linear regression of 1/latency on the share of its time that a request shared the upstream.
	struct sharing_fit
	{
		double weight = 0;
		double shared = 0;
		double shared_squared = 0;
		double speed = 0; ///< 1/latency, in 1/s.
		double speed_shared = 0;
	};

	/// Adaptive concurrency limit of one upstream. Its inputs are the requests in progress, latencies, load shedding
	/// and timeouts.
	///
	/// The limit is fractional: with 2 or 5 slots, whole steps would overshoot the capacity by up to 100%. `balance`
	/// is the time integral of (limit - requests in progress). A start that would reach the limit requires a
	/// non-negative balance, so that the mean number of requests in progress does not exceed the limit. Load that a
	/// measurement shows to be above the capacity is subtracted from the balance and so compensated for.
	///
	/// While the limit is below 2, requests run alone or in pairs. A pair exceeds a capacity between 1 and 2, so the
	/// mean latency grows although the mean number in progress is below the capacity. In this range, the capacity is
	/// estimated by comparing requests that ran alone with those that shared the upstream.
	///
	/// An upstream above its capacity divides it among the requests in progress, so latency grows with their number.
	/// The latency of a cold upstream also changes independently of the load, so the baseline is periodically
	/// measured again at a lower limit.
	struct admission_state
	{
		admission_config config;
		upstream_run_state run_state = upstream_run_state::cold;
		double limit = 1;
		double min_limit = 1;            ///< 1, or less after a request alone was shed or timed out.
		double balance = 0;              ///< Integral of (limit - in progress), in slot seconds.
		double concurrency_integral = 0; ///< Integral of requests in progress, in slot seconds.
		double baseline = 0;             ///< Latency without queueing, in seconds; 0 before the first window.
		double latency_sum = 0;          ///< Of the open window.
		double concurrency_sum = 0;      ///< Of the open window.
		std::uint32_t samples = 0;       ///< Of the open window.
		std::uint32_t slow_samples = 0;  ///< Responses of the open window far above the baseline.
		double slow_latency_sum = 0;     ///< Sum over the slow responses.
		double slow_concurrency_sum = 0; ///< Sum over the slow responses.
		sharing_fit fit;                 ///< Of the last responses; used while the limit is below 2.
		bool measuring_baseline = false; ///< Whether the open window measures the baseline.
		bool slow_start = true;          ///< Whether no overload has occurred since the cold start.
		monotonic_time window_begin{};
		std::vector<load_sample> growth_windows; ///< Windows since the last measurement of the baseline.
		double flow_credit = 1;                  ///< New flows that may be admitted now.
		monotonic_time flow_credit_updated{};    ///< Time of the last update of `flow_credit`.
		bool has_answers = false;                ///< Whether the upstream has ever answered a request.
		monotonic_time integrated_until{};       ///< Time up to which the integrals are computed.
		monotonic_time last_start{};
		/// Requests started earlier are not measured and do not lower the limit again.
		monotonic_time last_limit_change{};
		monotonic_time cold_since{};
		std::multiset<monotonic_time> start_times; ///< Start times of the requests in progress.
	};

	/// Start of an admitted request, to be passed to `admission_on_finish`.
	struct admission_ticket
	{
		monotonic_time started{};
		double concurrency_integral = 0;
	};

	/// Returns the initial state of an upstream without measurements.
	[[nodiscard]] admission_state make_admission_state(const admission_config& config, monotonic_time now);

	/// Starts a request if the limit allows it.
	/// \returns	A ticket, or nothing if the request must wait.
	[[nodiscard]] std::optional<admission_ticket> admission_try_start(admission_state& state, monotonic_time now);

	/// Accounts for the end of a request.
	void admission_on_finish(admission_state& state, const admission_ticket& ticket, admission_outcome outcome,
							 monotonic_time now);

	/// Returns whether a new flow may be admitted now, and accounts for it. The rate is limited while the upstream is
	/// cold or warming. If the service is not CoAP, there are no responses to measure, and the rate grows with time.
	[[nodiscard]] bool admission_try_flow(admission_state& state, monotonic_time now);

	/// Resets the limit to a cold start, for example when the upstream is known to have restarted.
	void admission_restart(admission_state& state, monotonic_time now);
}
