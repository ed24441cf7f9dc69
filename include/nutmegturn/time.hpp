#pragma once

#include <chrono>
#include <cstdint>

namespace nutmegturn
{
	/// Monotonic clock whose time points the caller passes in. It has no `now()`: the decision logic never reads a
	/// clock, so tests can run it in virtual time. Time points of different processes are never compared.
	struct monotonic_clock
	{
		using duration = std::chrono::nanoseconds;
		using rep = duration::rep;
		using period = duration::period;
		using time_point = std::chrono::time_point<monotonic_clock>;
		static constexpr bool is_steady = true;
	};

	/// Time point on the monotonic clock of this process.
	using monotonic_time = monotonic_clock::time_point;

	/// Wall-clock time in milliseconds since the Unix epoch; used only for output in logs and the audit log.
	using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;
}
