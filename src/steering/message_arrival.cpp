#include "nutmegturn/steering/message_arrival.hpp"

namespace nutmegturn::steering
{
	void record_loop_iteration(message_arrival& arrival, monotonic_time now) noexcept
	{
		const bool first = arrival.last_iteration == monotonic_time{};
		if (!first && !arrival.waiting_since && now - arrival.last_iteration > longest_regular_iteration)
		{
			arrival.waiting_since = arrival.last_iteration;
		}
		arrival.last_iteration = now;
	}

	void record_socket_emptied(message_arrival& arrival) noexcept
	{
		arrival.waiting_since.reset();
	}

	monotonic_time earliest_arrival(const message_arrival& arrival, monotonic_time now) noexcept
	{
		return arrival.waiting_since.value_or(now);
	}
}
