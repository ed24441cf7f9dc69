#pragma once

#include "nutmegturn/time.hpp"

#include <chrono>
#include <ctime>

namespace nutmegturn::runtime
{
	/// Reads the monotonic clock. Time in which the machine was suspended counts, so that a pause is seen after it.
	[[nodiscard]] inline monotonic_time read_clock() noexcept
	{
		timespec ts{};
		::clock_gettime(CLOCK_BOOTTIME, &ts);
		return monotonic_time{std::chrono::seconds{ts.tv_sec} + std::chrono::nanoseconds{ts.tv_nsec}};
	}

	/// Reads the wall clock, for display only.
	[[nodiscard]] inline wall_time read_wall_clock() noexcept
	{
		return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
	}

	/// Notices that a loop has not run for a while (section 5 (g) of the design).
	class pause_detector
	{
	public:
		/// Gap between two ticks that counts as a pause.
		static constexpr std::chrono::seconds threshold{2};

		/// Starts with the current time as last tick.
		explicit pause_detector(monotonic_time now) noexcept : last_{now} {}

		/// Notes a tick.
		/// \returns	Whether the loop was paused before it.
		[[nodiscard]] bool tick(monotonic_time now) noexcept
		{
			const bool paused = now - last_ > threshold;
			last_ = now;
			if (paused)
			{
				resumed_at_ = now;
			}
			return paused;
		}

		/// Returns the end of the last pause; the epoch when there was none.
		[[nodiscard]] monotonic_time resumed_at() const noexcept
		{
			return resumed_at_;
		}

	private:
		monotonic_time last_;
		monotonic_time resumed_at_{};
	};
}
