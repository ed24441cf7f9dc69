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
	/// Importance of a log event.
	enum class log_level : std::uint8_t
	{
		debug,
		info,
		warning,
		error
	};

	/// Returns the name used in log lines and settings.
	[[nodiscard]] std::string_view to_string(log_level level) noexcept;

	/// Returns the level of this name, or nothing.
	[[nodiscard]] std::optional<log_level> parse_log_level(std::string_view text) noexcept;

	/// Something worth a line in the log.
	struct log_event
	{
		log_level level = log_level::info;
		std::string_view name; ///< Stable snake_case name, which rates are limited by.
		std::string text;      ///< Sentence for people.
		std::vector<std::pair<std::string_view, std::string>> fields;
		std::uint64_t suppressed = 0; ///< Events of this name that were suppressed before this one.
	};

	/// Returns the time in UTC, such as `2026-01-31T08:15:00.042Z`.
	[[nodiscard]] std::string format_time(wall_time at);

	/// Returns one line without line end: `TIME LEVEL NAME: TEXT key=value`. Control characters are escaped, so an
	/// event never spans two lines.
	[[nodiscard]] std::string format_log_text(const log_event& event, wall_time at);

	/// Returns one JSON object on one line without line end.
	[[nodiscard]] std::string format_log_json(const log_event& event, wall_time at);

	/// Bounds the rate of log events per name: a burst of 10, then one a second. Names beyond the first 256 share one
	/// budget.
	class log_limiter
	{
	public:
		static constexpr std::uint32_t burst = 10;
		static constexpr std::size_t max_names = 256;

		/// Decides on an event.
		/// \param per_second	Events a second that pass once the burst is spent.
		/// \returns	The number of events of this name suppressed since the last one that passed, or nothing when
		///				this one is suppressed, too.
		[[nodiscard]] std::optional<std::uint64_t> admit(std::string_view name, monotonic_time now,
														 std::uint32_t per_second = 1);

		/// Returns the number of suppressed events of all names.
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
