#pragma once

#include "nutmegturn/log.hpp"

#include "runtime/clock.hpp"

#include <fmt/format.h>

#include <cstdio>

namespace nutmegturn::runtime
{
	/// Writes log events to standard error, rate-limited per event name. Not thread-safe.
	class log_sink
	{
	public:
		/// Creates a sink.
		/// \param min_level	Events below this level are discarded.
		/// \param json			Whether to write JSON objects instead of text.
		explicit log_sink(log_level min_level, bool json) noexcept : min_level_{min_level}, json_{json} {}

		/// Writes an event unless its level or the rate limit suppresses it.
		void write(log_event event)
		{
			if (event.level < min_level_)
			{
				return;
			}
			const auto suppressed = limiter_.admit(event.name, read_clock());
			if (!suppressed)
			{
				return;
			}
			event.suppressed = *suppressed;
			const auto at = read_wall_clock();
			fmt::print(stderr, "{}\n", json_ ? format_log_json(event, at) : format_log_text(event, at));
		}

		/// Returns the number of events suppressed by the rate limit.
		[[nodiscard]] std::uint64_t suppressed() const noexcept
		{
			return limiter_.suppressed();
		}

	private:
		log_level min_level_;
		bool json_;
		log_limiter limiter_;
	};
}
