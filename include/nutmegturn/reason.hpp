#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace nutmegturn
{
	/// Reason why a packet, flow or request is dropped, rejected, moved or closed. Metrics are labelled with it, and
	/// the audit log states it for each change. The reasons are documented for operators.
	enum class reason : std::uint8_t
	{
		none,
		truncated,
		oversized,
		bad_version,
		bad_kind,
		bad_tag,
		replayed,
		unknown_sender,
		unknown_service,
		no_upstream,
		hop_limit,
		wrong_upstream,
		zone_out,
		upstream_out,
		upstream_draining,
		upstream_cold,
		upstream_silent,
		upstream_unreachable,
		upstream_shed,
		connections_full,
		slots_full,
		table_full,
		queue_full,
		deadline_passed,
		cancelled,
		token_missing,
		token_expired,
		token_foreign,
		outcome_lost,
		retry_budget_spent,
		not_current,
		paused,
		idle,
		stopping,
		malformed,
		conflict,
		no_route,
		route_unknown,
		all_declined,
		holder_gone,
		not_for_callers,
		caller_gone,
		overloaded,
		name_too_long,
		count
	};

	namespace detail
	{
		inline constexpr std::array<std::string_view, static_cast<std::size_t>(reason::count)> reason_names{
			"none",          "truncated",        "oversized",
			"bad_version",   "bad_kind",         "bad_tag",
			"replayed",      "unknown_sender",   "unknown_service",
			"no_upstream",   "hop_limit",        "wrong_upstream",
			"zone_out",      "upstream_out",     "upstream_draining",
			"upstream_cold", "upstream_silent",  "upstream_unreachable",
			"upstream_shed", "connections_full", "slots_full",
			"table_full",    "queue_full",       "deadline_passed",
			"cancelled",     "token_missing",    "token_expired",
			"token_foreign", "outcome_lost",     "retry_budget_spent",
			"not_current",   "paused",           "idle",
			"stopping",      "malformed",        "conflict",
			"no_route",      "route_unknown",    "all_declined",
			"holder_gone",   "not_for_callers",  "caller_gone",
			"overloaded",    "name_too_long"};
	}

	/// Returns the name used in metrics, logs and the audit log.
	[[nodiscard]] constexpr std::string_view to_string(reason why) noexcept
	{
		const auto index = static_cast<std::size_t>(why);
		return index < detail::reason_names.size() ? detail::reason_names[index] : std::string_view{"unknown"};
	}
}
