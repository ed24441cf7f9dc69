#pragma once

#include "nutmegturn/fencing_token.hpp"
#include "nutmegturn/request_table.hpp"
#include "nutmegturn/requests.hpp"
#include "nutmegturn/time.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace nutmegturn
{
	/// One outcome that is handed over to the next process of the same agent.
	struct request_outcome
	{
		request_identity identity;
		request_status status = request_status::unknown; ///< `answered`, `refused` or `unknown`.
		reason why = reason::none;
		bool idempotent = false;
		bool response_lost = false;
		coap_bytes response;
		std::chrono::nanoseconds remaining{}; ///< Remaining retention time at the export.
	};

	/// All outcomes of one upstream when a process stops. Plain data, independent of the transfer encoding.
	struct request_handover
	{
		service_id service{};
		/// Of the stopping process. The next process needs the key to recognise tokens for this upstream and to tell
		/// them from tokens for another upstream of the agent. These tokens no longer start requests.
		fencing_issuer issuer;
		/// On the clock of the stopping process, to which the issue times of its tokens refer.
		monotonic_time exported{};
		std::uint64_t expected = 0; ///< Number of outcomes in the complete table.
		std::vector<request_outcome> outcomes;
	};

	/// Why an export or import was refused. A refused import leaves the state unchanged.
	enum class handover_refusal : std::uint8_t
	{
		none,
		in_progress, ///< Not draining, or requests without an outcome would be missing from the table.
		not_empty,   ///< The importing process has already accepted requests or imported a table.
		wrong_owner, ///< The agent, service or upstream differs, or the incarnation is the same.
		incomplete,  ///< The number of outcomes differs from the expected number.
		too_large,   ///< The outcomes or their responses exceed the bounds.
		bad_outcome, ///< Invalid status, reason, service or retention time, or a duplicate identity.
		count
	};

	namespace detail
	{
		inline constexpr std::array<std::string_view, static_cast<std::size_t>(handover_refusal::count)>
			handover_refusal_names{"none",       "in_progress", "not_empty",  "wrong_owner",
								   "incomplete", "too_large",   "bad_outcome"};
	}

	/// Returns the name used in logs and the audit trail.
	[[nodiscard]] constexpr std::string_view to_string(handover_refusal refusal) noexcept
	{
		const auto index = static_cast<std::size_t>(refusal);
		return index < detail::handover_refusal_names.size() ? detail::handover_refusal_names[index] : "?";
	}

	/// Exports the outcomes of a draining upstream when all its requests have one, and suspends the state: a request
	/// accepted later would be missing from the exported table. The host must not resume the state.
	///
	/// Requests that other agents delegated to this one are not exported. A retransmission of such a request names the
	/// stopping incarnation and is answered with "outcome unknown".
	/// \returns	`none`, or `in_progress` when the upstream is not draining or a request has no outcome.
	[[nodiscard]] handover_refusal requests_export(request_state& state, monotonic_time now, request_handover& out);

	/// Imports the outcomes of the previous process, so that retransmissions of its requests are answered with their
	/// outcome. A request with a token of that process but without an entry in the table has not run, and its caller
	/// gets a new token. When the import is refused, such requests are answered with "outcome unknown".
	[[nodiscard]] handover_refusal requests_import(request_state& state, const request_handover& handover,
												   monotonic_time now);
}
