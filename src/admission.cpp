#include "nutmegturn/admission.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>

namespace nutmegturn
{
	namespace
	{
		// Largest balance. Idle time must not accumulate into a burst beyond the limit; 50 ms is on the order of one
		// request.
		constexpr double max_balance_slot_s = 0.05;
		// Factor on the estimated overload that is compensated. It exceeds 1 because estimates are off by a few
		// percent.
		constexpr double deficit_compensation = 1.1;
		// Deficit, in seconds at the limit, above which no request is started. Pacing alone does not compensate for an
		// overload while the capacity is below one request.
		constexpr double pause_deficit_s = 0.2;
		// Largest deficit that is compensated, in seconds at the limit.
		constexpr double max_deficit_s = 1;
		// Mean number of requests in progress up to which requests run alone, without queueing.
		constexpr double single_request_concurrency = 1.02;
		// Weight of a new latency in the moving average of the baseline.
		constexpr double baseline_gain = 0.3;
		// Ratio of latency to the previous baseline that counts as overload while the baseline is measured. A smaller
		// increase may be a change of the baseline itself.
		constexpr double baseline_latency_tolerance = 1.15;
		// Ratio of latency to baseline below which the upstream has become faster, in general and for requests alone.
		constexpr double faster_ratio = 0.93;
		constexpr double single_faster_ratio = 0.98;
		// Below this limit, one request is a large step and a cold start is likely, so the baseline is measured twice
		// as often.
		constexpr double small_limit = 2;
		/// \name Regression of the speed of requests that share the upstream
		/// @{
		// Factor on the weight of earlier responses for each new one, which averages over about 14 responses. With 25
		// responses, the estimate lags behind a capacity that grows during a cold start.
		constexpr double fit_decay = 0.93;
		// Smallest spread (weighted sum of squares) that distinguishes pairs from requests alone.
		constexpr double min_spread = 0.5;
		// Standard deviation of the estimated capacity at a spread of 1, for service times within 20% of their mean.
		constexpr double fit_deviation = 0.23;
		// Standard deviations by which the estimate must exceed the limit for the limit to be kept, and to grow.
		constexpr double margin_to_stay = 0.5;
		constexpr double margin_to_grow = 1;
		/// @}
		// Ratio of latency to baseline of a clear overload; this many such responses end a window early.
		constexpr double clear_overload_ratio = 1.5;
		constexpr std::uint32_t clear_samples = 2;
		constexpr double absolute_min_limit = 0.1;
		// Shares of the slots from which an upstream is serving, and below which it no longer is.
		constexpr double serving_entry_share = 0.9;
		constexpr double serving_exit_share = 0.6;
		// Largest limit of a cold upstream.
		constexpr double cold_limit = 1.25;

		double seconds(monotonic_clock::duration d) noexcept
		{
			return std::chrono::duration<double>(d).count();
		}

		/// Returns the current limit, which is lower while the baseline is measured.
		double effective_limit(const admission_state& state) noexcept
		{
			return state.measuring_baseline && state.limit > 1
					   ? std::max(1.0, state.limit * state.config.baseline_share)
					   : state.limit;
		}

		void integrate(admission_state& state, monotonic_time now)
		{
			const auto elapsed = std::max(0.0, seconds(now - state.integrated_until));
			const auto in_progress = static_cast<double>(state.start_times.size());
			state.concurrency_integral += in_progress * elapsed;
			state.balance =
				std::min(max_balance_slot_s, state.balance + (effective_limit(state) - in_progress) * elapsed);
			state.integrated_until = std::max(state.integrated_until, now);
		}

		void update_run_state(admission_state& state, monotonic_time now)
		{
			const auto slots = state.config.slots;
			const auto serving_from =
				slots * (state.run_state == upstream_run_state::serving ? serving_exit_share : serving_entry_share);
			auto next = upstream_run_state::warming;
			if (state.limit >= serving_from && state.has_answers)
			{
				next = upstream_run_state::serving;
			}
			else if (state.limit <= cold_limit)
			{
				next = upstream_run_state::cold;
			}
			if (next == upstream_run_state::cold && state.run_state != next)
			{
				state.cold_since = now;
				state.slow_start = true;
			}
			state.run_state = next;
		}

		void set_limit(admission_state& state, double limit)
		{
			const auto largest = std::max(state.config.slots, absolute_min_limit);
			state.limit = std::clamp(limit, std::min(state.min_limit, largest), largest);
		}

		void begin_window(admission_state& state, monotonic_time now)
		{
			state.samples = 0;
			state.slow_samples = 0;
			state.slow_latency_sum = 0;
			state.slow_concurrency_sum = 0;
			state.latency_sum = 0;
			state.concurrency_sum = 0;
			state.window_begin = now;
		}

		/// Lowers the limit and starts a measurement of the baseline.
		void reduce_limit(admission_state& state, double limit, monotonic_time now)
		{
			set_limit(state, std::min(state.limit, limit));
			state.last_limit_change = now;
			state.measuring_baseline = true;
			state.slow_start = false;
			state.growth_windows.clear();
			begin_window(state, now);
		}

		/// Returns whether half of the requests in progress are overdue. This detects a sudden loss of capacity before
		/// the first slow response arrives. Probes at an interval are exempt, so that a request that never ends does
		/// not block the upstream indefinitely.
		bool is_stalled(const admission_state& state, monotonic_time now)
		{
			if (state.start_times.empty() || state.baseline <= 0 ||
				seconds(now - state.last_start) > state.config.stall_probe_interval * state.baseline)
			{
				return false;
			}
			const auto median =
				std::next(state.start_times.begin(), static_cast<std::ptrdiff_t>((state.start_times.size() - 1) / 2));
			return seconds(now - *median) > state.config.stall_factor * state.baseline;
		}

		/// Estimate of a capacity between 1 and 2 requests.
		struct capacity_estimate
		{
			double capacity = 0;
			double deviation = 0;
		};

		void add_to_fit(sharing_fit& fit, double latency, double concurrency) noexcept
		{
			const auto shared = std::clamp(concurrency - 1, 0.0, 1.0);
			const auto speed = 1 / latency;
			fit.weight = fit_decay * fit.weight + 1;
			fit.shared = fit_decay * fit.shared + shared;
			fit.shared_squared = fit_decay * fit.shared_squared + shared * shared;
			fit.speed = fit_decay * fit.speed + speed;
			fit.speed_shared = fit_decay * fit.speed_shared + shared * speed;
		}

		/// Returns an estimate, or nothing if the responses do not distinguish pairs from requests alone.
		std::optional<capacity_estimate> estimate_capacity(const sharing_fit& fit) noexcept
		{
			if (fit.weight <= 0)
			{
				return std::nullopt;
			}
			const auto shared = fit.shared / fit.weight;
			const auto speed = fit.speed / fit.weight;
			const auto spread = fit.shared_squared - fit.weight * shared * shared;
			if (spread <= min_spread)
			{
				return std::nullopt;
			}
			const auto slope = (fit.speed_shared - fit.weight * shared * speed) / spread;
			const auto alone = speed - slope * shared;
			// Each of two concurrent requests runs at (alone + slope).
			return capacity_estimate{std::clamp(2 * (1 + slope / alone), 1.0, 2.0), fit_deviation / std::sqrt(spread)};
		}

		void end_window(admission_state& state, monotonic_time now)
		{
			// After a sudden loss of capacity, only the slow responses show the remaining capacity.
			const bool clear = state.slow_samples >= clear_samples;
			const auto latency =
				clear ? state.slow_latency_sum / state.slow_samples : state.latency_sum / state.samples;
			const auto concurrency =
				clear ? state.slow_concurrency_sum / state.slow_samples : state.concurrency_sum / state.samples;
			if (state.baseline <= 0)
			{
				state.baseline = latency;
			}
			const auto ratio = latency / state.baseline;
			auto capacity = concurrency / ratio;
			const bool single = concurrency <= single_request_concurrency;
			bool overload =
				ratio > (state.measuring_baseline ? baseline_latency_tolerance : state.config.latency_tolerance);
			bool may_grow = true;
			if (state.limit < small_limit && !clear && !state.measuring_baseline && !single)
			{
				if (const auto estimate = estimate_capacity(state.fit))
				{
					capacity = estimate->capacity;
					overload = capacity < state.limit + margin_to_stay * estimate->deviation;
					may_grow = capacity >= state.limit + margin_to_grow * estimate->deviation;
				}
			}
			if (overload && !single)
			{
				const auto sustainable = std::max(1.0, capacity);
				state.growth_windows.push_back({concurrency, seconds(now - state.window_begin)});
				double excess = 0;
				for (const auto& it : state.growth_windows)
				{
					// A small overload may remain undetected in one window, so all windows since the last baseline
					// count.
					excess += std::max(0.0, it.concurrency - sustainable) * it.duration_s;
				}
				excess *= deficit_compensation;
				state.balance = std::max(state.balance - excess, -max_deficit_s * state.limit);
				reduce_limit(state, std::max(1.0, state.config.backoff * capacity), now);
				return;
			}
			if (!state.measuring_baseline && ratio < faster_ratio)
			{
				// The speed-up of a cold upstream hides the queueing that a larger limit causes, so the baseline is
				// measured before the limit grows again.
				state.baseline = latency;
				if (state.limit < small_limit)
				{
					// The load that seemed sustainable may have exceeded the capacity by a fraction of one request.
					state.balance -= std::max(0.0, concurrency - 1) * seconds(now - state.window_begin);
					set_limit(state, 1);
				}
				state.growth_windows.push_back({concurrency, seconds(now - state.window_begin)});
				state.measuring_baseline = state.limit > 1;
				state.last_limit_change = now;
				begin_window(state, now);
				return;
			}
			if (overload)
			{
				// Latency grew without queueing, so the upstream is cold again.
				state.baseline = latency;
				reduce_limit(state, 1, now);
				return;
			}
			if (state.measuring_baseline || single)
			{
				state.baseline += baseline_gain * (latency - state.baseline);
				state.growth_windows.clear();
			}
			else
			{
				state.baseline = std::min(state.baseline, state.baseline + baseline_gain * (latency - state.baseline));
				state.growth_windows.push_back({concurrency, seconds(now - state.window_begin)});
			}
			// A single request that keeps becoming faster already uses the whole of a capacity below 1.
			const bool measured = state.measuring_baseline || (single && ratio < single_faster_ratio);
			state.measuring_baseline = false;
			// The limit grows only if it was used; otherwise the window gives no information about a larger one.
			if (!measured && may_grow && concurrency > 0.8 * state.limit - 0.1)
			{
				state.min_limit = std::min(1.0, state.min_limit * 2);
				const auto growth = state.slow_start ? state.config.slow_start_growth * (state.limit - 0.6)
													 : state.config.growth_rate * state.limit;
				set_limit(state, state.limit + std::max(state.config.min_growth, growth));
			}
			const auto windows =
				state.limit < small_limit ? state.config.windows_per_baseline / 2 : state.config.windows_per_baseline;
			if (state.growth_windows.size() >= windows)
			{
				state.measuring_baseline = true;
				state.last_limit_change = now;
			}
			begin_window(state, now);
		}
	}

	admission_state make_admission_state(const admission_config& config, monotonic_time now)
	{
		admission_state state;
		state.config = config;
		state.integrated_until = now;
		state.cold_since = now;
		state.flow_credit_updated = now;
		state.window_begin = now;
		set_limit(state, 1);
		return state;
	}

	std::optional<admission_ticket> admission_try_start(admission_state& state, monotonic_time now)
	{
		integrate(state, now);
		const auto next = static_cast<double>(state.start_times.size()) + 1;
		const auto limit = effective_limit(state);
		constexpr double rounding = 1e-9;
		if (state.balance < -pause_deficit_s * limit || next >= limit + 1 ||
			(next >= limit && state.balance < -rounding))
		{
			return std::nullopt;
		}
		if (is_stalled(state, now))
		{
			return std::nullopt;
		}
		state.start_times.insert(now);
		state.last_start = now;
		return admission_ticket{now, state.concurrency_integral};
	}

	void admission_on_finish(admission_state& state, const admission_ticket& ticket, admission_outcome outcome,
							 monotonic_time now)
	{
		integrate(state, now);
		const auto in_progress = static_cast<double>(state.start_times.size());
		const auto it = state.start_times.find(ticket.started);
		if (it != state.start_times.end())
		{
			state.start_times.erase(it);
		}
		const bool after_last_change = ticket.started >= state.last_limit_change;
		const auto latency = seconds(now - ticket.started);
		switch (outcome)
		{
			case admission_outcome::answered:
				state.has_answers = true;
				if (after_last_change && latency > 0)
				{
					const auto concurrency = (state.concurrency_integral - ticket.concurrency_integral) / latency;
					state.latency_sum += latency;
					state.concurrency_sum += concurrency;
					++state.samples;
					add_to_fit(state.fit, latency, concurrency);
					const auto window_samples = std::max<double>(state.config.min_window_samples, 4 * state.limit);
					if (state.baseline > 0 && latency > clear_overload_ratio * state.baseline)
					{
						++state.slow_samples;
						state.slow_latency_sum += latency;
						state.slow_concurrency_sum += concurrency;
					}
					const bool clear = state.slow_samples >= clear_samples;
					if (clear || state.samples >= window_samples)
					{
						end_window(state, now);
					}
				}
				break;
			case admission_outcome::shed:
			case admission_outcome::timed_out:
				if (after_last_change)
				{
					if (in_progress <= 1)
					{
						state.min_limit = std::max(absolute_min_limit, state.min_limit / 2);
					}
					const auto share = outcome == admission_outcome::shed ? 0.7 : 0.5;
					reduce_limit(state, share * std::min(state.limit, in_progress), now);
				}
				break;
			case admission_outcome::cancelled:
				break;
		}
		update_run_state(state, now);
	}

	bool admission_try_flow(admission_state& state, monotonic_time now)
	{
		const auto elapsed = std::max(0.0, seconds(now - state.flow_credit_updated));
		state.flow_credit_updated = std::max(state.flow_credit_updated, now);
		if (state.run_state == upstream_run_state::serving)
		{
			return true;
		}
		const auto ramp = std::clamp(seconds(now - state.cold_since) / seconds(state.config.flow_ramp), 0.1, 1.0);
		const auto share = state.has_answers ? std::min(1.0, state.limit / state.config.slots) : ramp;
		const auto full_rate = state.config.connections / seconds(state.config.connection_fill);
		state.flow_credit =
			std::min(std::max(1.0, full_rate * share * 0.1), state.flow_credit + elapsed * full_rate * share);
		if (state.flow_credit < 1)
		{
			return false;
		}
		state.flow_credit -= 1;
		return true;
	}

	void admission_restart(admission_state& state, monotonic_time now)
	{
		integrate(state, now);
		reduce_limit(state, 1, now);
		update_run_state(state, now);
	}
}
