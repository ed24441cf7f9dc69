#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegturn::steering
{
	/// Whether a request may be repeated, as the configuration states it for a route.
	enum class request_kind : std::uint8_t
	{
		idempotent,
		non_idempotent, ///< Runs at most once.
		download        ///< Idempotent, with a large answer.
	};

	/// Names in configurations, logs and metrics, in the order of `request_kind`.
	inline constexpr std::array<std::string_view, 3> request_kind_names{"idempotent", "non_idempotent", "download"};

	/// Returns the name used in configurations, logs and metrics.
	[[nodiscard]] constexpr std::string_view to_string(request_kind kind) noexcept
	{
		return request_kind_names[static_cast<std::size_t>(kind)];
	}

	/// Longest latency target and timeout that a configuration may state.
	inline constexpr std::chrono::milliseconds max_class_time = std::chrono::hours{1};

	/// Priority of a route that states none. Smaller numbers are more urgent.
	inline constexpr std::uint8_t lowest_priority = 255;

	/// What the configuration says of the requests of a route.
	struct traffic_class
	{
		request_kind kind = request_kind::non_idempotent;
		std::chrono::milliseconds latency_target{0}; ///< Time within which an answer is useful in full; 0 if none.
		std::chrono::milliseconds timeout{0};        ///< Time after which the caller gives up; 0 if none.
		std::uint8_t priority = lowest_priority;     ///< 0 is the most urgent.

		/// Compares all members.
		[[nodiscard]] friend constexpr bool operator==(const traffic_class&, const traffic_class&) noexcept = default;
	};

	/// Returns priority and kind for logs and command output, such as `1/non_idempotent`.
	[[nodiscard]] std::string to_string(const traffic_class& traffic);
}
