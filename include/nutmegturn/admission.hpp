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
	/// How a request that was handed to the upstream ended, as far as admission is concerned.
	enum class admission_outcome : std::uint8_t
	{
		answered,
		shed,      ///< The upstream answered 5.03.
		timed_out, ///< No answer within the deadline.
		cancelled  ///< Ended without information on the load.
	};

	/// Constants of the limit, chosen with the model upstreams of tests/admission_test.cpp.
	struct admission_config
	{
		double slots = 1;                         ///< Upper bound of the limit.
		std::uint32_t connections = 2000;         ///< Upper bound of open flows.
		double latency_tolerance = 1.08;          ///< Mean latency over baseline that counts as overload.
		double backoff = 0.95;                    ///< Share of the estimated capacity that is used after an overload.
		double min_growth = 0.1;                  ///< Smallest growth of the limit for each window without overload.
		double growth_rate = 0.06;                ///< Relative growth of the limit for each window without overload.
		double slow_start_growth = 0.25;          ///< Relative growth before the first overload since the cold start.
		std::uint32_t min_window_samples = 16;    ///< Smallest number of answers in one measurement.
		std::uint32_t windows_per_baseline = 8;   ///< Windows of growth after which the baseline is measured again.
		double baseline_share = 0.8;              ///< Share of the limit that is used while the baseline is measured.
		double stall_factor = 1.6;                ///< Age over baseline at which a request counts as stalled.
		double stall_probe_interval = 8;          ///< Time over baseline between starts while requests are stalled.
		std::chrono::seconds flow_ramp{60};       ///< Time in which new flows of a cold upstream reach the full rate.
		std::chrono::seconds connection_fill{10}; ///< Time in which the full rate fills all connections.
	};

	/// Mean number of requests in progress over some seconds.
	struct load_sample
	{
		double concurrency = 0;
		double duration_s = 0;
	};

	/// Weighted sums for a linear fit of 1/latency over the share of its time that a request was not alone.
	struct sharing_fit
	{
		double weight = 0;
		double shared = 0;
		double shared_squared = 0;
		double speed = 0; ///< 1/latency, 1/seconds.
		double speed_shared = 0;
	};

	/// Adaptive concurrency limit of one upstream. It sees only requests in progress, latencies, sheds and timeouts.
	///
	/// The limit is fractional: with slots of 2 or 5 whole steps would overshoot the capacity by up to 100%. The time
	/// integral of (limit - requests in progress) is kept, and a start that would reach the limit needs a balance that
	/// is not negative, so that the mean number in progress does not exceed the limit. Load above the capacity that a
	/// measurement shows is taken from the balance and thus made up for.
	///
	/// While the limit is below 2, requests run alone or in pairs. A pair exceeds a capacity between 1 and 2, so the
	/// mean latency grows although the mean number in progress is below the capacity. There the capacity is estimated
	/// from the difference between requests that ran alone and those that shared the upstream.
	///
	/// Beyond its capacity an upstream shares it among the requests in progress, so latency grows with their number.
	/// The latency of a cold upstream also changes by itself; the baseline is therefore measured again and again at a
	/// lower limit.
	struct admission_state
	{
		admission_config config;
		upstream_run_state run_state = upstream_run_state::cold;
		double limit = 1;
		double min_limit = 1;            ///< 1, or less after sheds or timeouts of single requests.
		double balance = 0;              ///< Integral of (limit - in progress), slot seconds.
		double concurrency_integral = 0; ///< Integral of requests in progress, slot seconds.
		double baseline = 0;             ///< Latency without queueing, seconds; 0 before the first window.
		double latency_sum = 0;          ///< Of the open window.
		double concurrency_sum = 0;      ///< Of the open window.
		std::uint32_t samples = 0;       ///< Of the open window.
		std::uint32_t slow_samples = 0;  ///< Answers of the open window that were far slower than the baseline.
		double slow_latency_sum = 0;     ///< Sum over these.
		double slow_concurrency_sum = 0; ///< Sum over these.
		sharing_fit fit;                 ///< Of the last answers; meaningful while the limit is below 2.
		bool measuring_baseline = false; ///< The open window measures the baseline.
		bool slow_start = true;          ///< No overload has been seen since the cold start.
		monotonic_time window_begin{};
		std::vector<load_sample> growth_windows; ///< Windows since the baseline was last measured.
		double flow_credit = 1;                  ///< New flows that may be admitted.
		monotonic_time flow_credit_updated{};    ///< Time up to which credit was added.
		bool has_answers = false;                ///< Whether the upstream has ever answered a request.
		monotonic_time integrated_until{};       ///< Time up to which the integrals are known.
		monotonic_time last_start{};
		monotonic_time last_limit_change{}; ///< Requests started before the last cut do not cause another one.
		monotonic_time cold_since{};
		std::multiset<monotonic_time> start_times; ///< Start times of the requests in progress.
	};

	/// Proof that a request was started; passed back when it ends.
	struct admission_ticket
	{
		monotonic_time started{};
		double concurrency_integral = 0;
	};

	/// Returns the state of an upstream of which nothing is known.
	[[nodiscard]] admission_state make_admission_state(const admission_config& config, monotonic_time now);

	/// Starts a request when the limit allows.
	/// \returns	A ticket, or nothing when the request has to wait.
	[[nodiscard]] std::optional<admission_ticket> admission_try_start(admission_state& state, monotonic_time now);

	/// Accounts for the end of a request.
	void admission_on_finish(admission_state& state, const admission_ticket& ticket, admission_outcome outcome,
							 monotonic_time now);

	/// Returns whether one more new flow may be admitted now, and accounts for it. The rate is bounded while the
	/// upstream is cold or warming. Flows carry no answers to learn from when the service is not CoAP; then the rate
	/// grows with time.
	[[nodiscard]] bool admission_try_flow(admission_state& state, monotonic_time now);

	/// Starts again from cold, for example when the upstream is known to have restarted.
	void admission_restart(admission_state& state, monotonic_time now);
}
