#include "measurement.hpp"

#include <malloc.h>
#include <time.h>

namespace capacity
{
	linear_fit fit_line(const std::vector<point>& points)
	{
		const auto n = static_cast<double>(points.size());
		double x = 0;
		double y = 0;
		for (const auto& it : points)
		{
			x += it.size / n;
			y += it.value / n;
		}
		double xx = 0;
		double xy = 0;
		double yy = 0;
		for (const auto& it : points)
		{
			xx += (it.size - x) * (it.size - x);
			xy += (it.size - x) * (it.value - y);
			yy += (it.value - y) * (it.value - y);
		}
		linear_fit result;
		result.slope = xx > 0 ? xy / xx : 0;
		result.intercept = y - result.slope * x;
		result.r2 = yy > 0 ? result.slope * xy / yy : 1;
		return result;
	}

	std::size_t heap_in_use()
	{
		const auto info = mallinfo2();
		return info.uordblks + info.hblkhd;
	}

	std::chrono::nanoseconds thread_cpu_time()
	{
		timespec time{};
		clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
		return std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
	}
}
