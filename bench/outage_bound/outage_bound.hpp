#pragma once

#include <string>
#include <vector>

namespace nutmegturn::bench
{
	/// Kind of request of callers. Times are in seconds.
	struct request_class
	{
		std::string name;
		double per_second = 0;   ///< Requests that arrive in a second.
		double service_time = 0; ///< Mean time of an upstream for one request.
		double target = 0;       ///< Latency target.
		double time_limit = 0;   ///< Time after which the caller gives up.
		double benefit = 1;      ///< Of an answer within the target.
		double late_benefit = 0; ///< Of a later answer.
		double open_share = 0;   ///< Share of requests sent in flows that were opened before.
		double flows = 0;        ///< Open flows that these requests use.
		bool idempotent = true;  ///< The caller tries again after a reset.
	};

	/// Loss of power of all instances, and what nobody can change about it. Times are in seconds.
	struct power_loss
	{
		double at = 0;             ///< Time of the loss.
		double down = 0;           ///< From the loss until instances have power again.
		double start = 0;          ///< From then until processes and upstreams are ready.
		double cold_factor = 1;    ///< Factor on service times afterwards.
		double retry_delay = 0.05; ///< Time that a caller waits after a reset before it tries again.
		double round_trip = 0.006; ///< Between caller and upstream.
	};

	/// Share of the benefit in a time window that a system that knew everything could have earned.
	struct window_bound
	{
		double from = 0;
		double benefit = 0;
		double all_in_time = 0; ///< Benefit if every request was answered within its target.
	};

	/// Computes an upper bound of the benefit around a power loss. It assumes unlimited upstreams, a search that takes
	/// no time, and callers that send a request again 0.2 s, 0.6 s and 1.4 s after its first packet. \param window
	/// Length of a window. \param until	End of the last window.
	[[nodiscard]] std::vector<window_bound>
	bound_of_power_loss(const power_loss& loss, const std::vector<request_class>& classes, double window, double until);
}
