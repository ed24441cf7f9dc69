#pragma once

#include "nutmegturn/time.hpp"

#include <queue>

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace nutmegturn::scenario
{
	/// Event queue in virtual time. Callbacks run in order of their time; those of equal time run in order of
	/// insertion.
	class event_queue
	{
	public:
		/// Returns the current virtual time. It starts at one hour, so that times before the start are representable.
		[[nodiscard]] monotonic_time now() const noexcept
		{
			return now_;
		}

		/// Schedules a callback for a time; a time in the past means now.
		void at(monotonic_time when, std::function<void()> callback)
		{
			events_.push({when < now_ ? now_ : when, next_sequence_++, std::move(callback)});
		}

		/// Schedules a callback after a delay.
		void after(monotonic_clock::duration delay, std::function<void()> callback)
		{
			at(now_ + delay, std::move(callback));
		}

		/// Runs all callbacks up to and including a time, and sets the virtual time to it.
		void run_until(monotonic_time end);

	private:
		struct event
		{
			monotonic_time when;
			std::uint64_t sequence = 0;
			std::function<void()> callback;

			[[nodiscard]] bool operator<(const event& other) const noexcept
			{
				return when != other.when ? when > other.when : sequence > other.sequence;
			}
		};

		monotonic_time now_{std::chrono::hours{1}};
		std::uint64_t next_sequence_ = 0;
		std::priority_queue<event> events_;
	};
}
