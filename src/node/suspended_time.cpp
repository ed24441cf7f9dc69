#include "node/suspended_time.hpp"

#include <ctime>

namespace nutmegturn::node
{
	namespace
	{
		/// Largest error of a reading of the suspended time, which takes three readings of clocks.
		constexpr std::chrono::milliseconds max_reading_time{10};

		[[nodiscard]] std::chrono::nanoseconds read(clockid_t clock) noexcept
		{
			timespec time{};
			::clock_gettime(clock, &time);
			return std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
		}
	}

	std::optional<std::chrono::nanoseconds> read_suspended_time() noexcept
	{
		const auto before = read(CLOCK_MONOTONIC);
		const auto with_suspension = read(CLOCK_BOOTTIME);
		const auto after = read(CLOCK_MONOTONIC);
		return after - before < max_reading_time ? std::optional{with_suspension - before} : std::nullopt;
	}
}
