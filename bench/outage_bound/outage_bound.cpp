#include "outage_bound/outage_bound.hpp"

#include <array>
#include <cmath>

namespace nutmegturn::bench
{
	namespace
	{
		/// Offsets of a packet's copies from its first transmission, in seconds.
		constexpr std::array copy_offsets{0.0, 0.2, 0.6, 1.4};

		/// Step of the numeric integration, in seconds.
		constexpr double step = 0.001;

		/// Returns the benefit of a request that is answered `delay` seconds after it was sent.
		[[nodiscard]] double benefit_after(const request_class& it, double delay)
		{
			if (delay <= it.target)
			{
				return it.benefit;
			}
			return delay <= it.time_limit ? it.late_benefit : 0.0;
		}

		/// Returns the delay until a packet sent at `sent` reaches a process, or a negative value if no copy does.
		[[nodiscard]] double delay_until_received(double sent, double lost, double ready)
		{
			for (const double offset : copy_offsets)
			{
				const double at = sent + offset;
				if (at < lost || at >= ready)
				{
					return offset;
				}
			}
			return -1.0;
		}

		/// Returns the expected benefit of one request sent at `sent`.
		[[nodiscard]] double expected_benefit(const power_loss& loss, const request_class& it, double sent)
		{
			const double ready = loss.at + loss.down + loss.start;
			if (sent + it.service_time + loss.round_trip < loss.at)
			{
				return benefit_after(it, it.service_time + loss.round_trip);
			}
			if (sent < loss.at)
			{
				return 0.0; // Received before the loss, so that the caller does not send it again.
			}
			const double received = delay_until_received(sent, loss.at, ready);
			if (received < 0.0)
			{
				return 0.0;
			}
			// An opening packet takes one more round trip than a request in an open flow.
			const double service = it.service_time * loss.cold_factor + loss.round_trip;
			const double in_new_flow = benefit_after(it, received + loss.round_trip + service);
			const double used_before = it.flows > 0 ? it.per_second * it.open_share / it.flows : 0.0;
			// A flow is used once after the loss: its caller closes it then.
			const double still_dead = std::exp(-used_before * (sent - loss.at));
			const double after_reset =
				it.idempotent
					? benefit_after(it, received + loss.round_trip + loss.retry_delay + loss.round_trip + service)
					: 0.0;
			const double in_open_flow =
				still_dead * after_reset + (1.0 - still_dead) * benefit_after(it, received + service);
			return it.open_share * in_open_flow + (1.0 - it.open_share) * in_new_flow;
		}
	}

	std::vector<window_bound> bound_of_power_loss(const power_loss& loss, const std::vector<request_class>& classes,
												  double window, double until)
	{
		std::vector<window_bound> bounds;
		for (double from = std::floor(loss.at / window) * window; from < until; from += window)
		{
			window_bound bound{.from = from, .benefit = 0, .all_in_time = 0};
			for (double sent = from; sent < from + window; sent += step)
			{
				for (const auto& it : classes)
				{
					bound.benefit += it.per_second * step * expected_benefit(loss, it, sent);
					bound.all_in_time += it.per_second * step * it.benefit;
				}
			}
			bounds.push_back(bound);
		}
		return bounds;
	}
}
