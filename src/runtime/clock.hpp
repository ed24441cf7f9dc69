#pragma once

#include "nutmegturn/time.hpp"

#include <chrono>
#include <ctime>

namespace nutmegturn::runtime
{
	/// Reads the monotonic clock. It includes the time in which the machine is suspended, so that a suspension is
	/// detected as a pause.
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

	/// Detects that a loop was not scheduled for a while (section 5 (g) of the design).
	class pause_detector
	{
	public:
		/// Longest gap between two ticks that is not treated as a pause.
		static constexpr std::chrono::seconds threshold{2};

		/// Uses the current time as the last tick.
		explicit pause_detector(monotonic_time now) noexcept : last_{now} {}

		/// Records a tick.
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

		/// Returns the end of the last pause, or the epoch if there was none.
		[[nodiscard]] monotonic_time resumed_at() const noexcept
		{
			return resumed_at_;
		}

	private:
		monotonic_time last_;
		monotonic_time resumed_at_{};
	};
}
