#pragma once

#include "nutmegturn/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace nutmegturn
{
	/// Severity of a log event.
	enum class log_level : std::uint8_t
	{
		debug,
		info,
		warning,
		error
	};

	/// Returns the name used in log lines and settings.
	[[nodiscard]] std::string_view to_string(log_level level) noexcept;

	/// Returns the level with this name, or nothing when the name is unknown.
	[[nodiscard]] std::optional<log_level> parse_log_level(std::string_view text) noexcept;

	/// Structured log event, which is written as one line.
	struct log_event
	{
		log_level level = log_level::info;
		std::string_view name; ///< Stable snake_case name; the rate limit applies per name.
		std::string text;      ///< Human-readable message.
		std::vector<std::pair<std::string_view, std::string>> fields;
		std::uint64_t suppressed = 0; ///< Number of events with this name suppressed before this one.
	};

	/// Returns the time in UTC, such as `2026-01-31T08:15:00.042Z`.
	[[nodiscard]] std::string format_time(wall_time at);

	/// Returns one line without a line terminator: `TIME LEVEL NAME: TEXT key=value`. Control characters are escaped,
	/// so an event never spans two lines.
	[[nodiscard]] std::string format_log_text(const log_event& event, wall_time at);

	/// Returns a JSON object on one line, without a line terminator.
	[[nodiscard]] std::string format_log_json(const log_event& event, wall_time at);

	/// Limits the rate of log events per name with token buckets: a burst of 10, then by default one event per second.
	/// Names beyond the first 256 share one bucket, which bounds the memory.
	class log_limiter
	{
	public:
		static constexpr std::uint32_t burst = 10;
		static constexpr std::size_t max_names = 256;

		/// Decides whether an event is logged.
		/// \param name	Name of the event.
		/// \param now	Current time.
		/// \param per_second	Sustained rate in events per second after the burst.
		/// \returns	The number of events with this name suppressed since the last admitted one, or nothing when
		///				this event is suppressed as well.
		[[nodiscard]] std::optional<std::uint64_t> admit(std::string_view name, monotonic_time now,
														 std::uint32_t per_second = 1);

		/// Returns the total number of suppressed events.
		[[nodiscard]] std::uint64_t suppressed() const noexcept
		{
			return suppressed_total_;
		}

	private:
		struct token_bucket
		{
			std::uint32_t tokens = burst;
			monotonic_time refilled_at{};
			std::uint64_t suppressed = 0;
		};

		std::map<std::string, token_bucket, std::less<>> buckets_;
		std::uint64_t suppressed_total_ = 0;
	};
}
