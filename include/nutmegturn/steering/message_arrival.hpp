#pragma once

#include "nutmegturn/time.hpp"

#include <chrono>
#include <optional>

namespace nutmegturn::steering
{
	/// Since when messages that a process reads now may have waited in its socket. A message tells ages, which count
	/// from its arrival. While the process is frozen, messages arrive and wait.
	struct message_arrival
	{
		monotonic_time last_iteration{};             ///< Of the process's loop.
		std::optional<monotonic_time> waiting_since; ///< Set from a gap between iterations until the socket is empty.
	};

	/// Longest time between two iterations that is no gap. Timers run every 100 ms.
	inline constexpr std::chrono::milliseconds longest_regular_iteration{250};

	/// Records an iteration of the process's loop, before any message is read in it. May be called repeatedly.
	void record_loop_iteration(message_arrival& arrival, monotonic_time now) noexcept;

	/// Records that the socket was read until it was empty.
	void record_socket_emptied(message_arrival& arrival) noexcept;

	/// Returns a time before which no message arrived that is read now.
	[[nodiscard]] monotonic_time earliest_arrival(const message_arrival& arrival, monotonic_time now) noexcept;
}
