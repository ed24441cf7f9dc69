#include "nutmegturn/request_handover.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace nutmegturn
{
	namespace
	{
		bool is_outcome(request_status status) noexcept
		{
			return status == request_status::answered || status == request_status::refused ||
				   status == request_status::unknown;
		}

		handover_refusal check_outcomes(const request_handover& handover, std::size_t bound)
		{
			if (handover.outcomes.size() != handover.expected)
			{
				return handover_refusal::incomplete;
			}
			if (handover.outcomes.size() > bound)
			{
				return handover_refusal::too_large;
			}
			std::unordered_set<request_identity, detail::request_hash> seen;
			std::size_t bytes = 0;
			for (const auto& it : handover.outcomes)
			{
				bytes += it.response.size();
				if (!is_outcome(it.status) || it.why >= reason::count || it.identity.service != handover.service ||
					it.remaining <= std::chrono::nanoseconds::zero() || it.remaining > outcome_retention ||
					!seen.insert(it.identity).second)
				{
					return handover_refusal::bad_outcome;
				}
			}
			return bytes > max_kept_response_bytes ? handover_refusal::too_large : handover_refusal::none;
		}
	}

	handover_refusal requests_export(request_state& state, monotonic_time now, request_handover& out)
	{
		const auto entries = state.table.entries();
		if (!state.draining || !state.queue.empty() ||
			std::any_of(entries.begin(), entries.end(), [](const auto* it) { return !is_outcome(it->status); }))
		{
			return handover_refusal::in_progress;
		}
		state.suspended = true;
		request_handover result{state.config.service, state.config.issuer, now, 0, {}};
		for (const auto* it : entries)
		{
			if (!it->coordinator && it->expires > now)
			{
				result.outcomes.push_back({it->identity, it->status, it->why, it->idempotent, it->response_lost,
										   it->response, it->expires - now});
			}
		}
		result.expected = result.outcomes.size();
		out = std::move(result);
		return handover_refusal::none;
	}

	handover_refusal requests_import(request_state& state, const request_handover& handover, monotonic_time now)
	{
		if (state.table.size() != 0 || state.predecessor)
		{
			return handover_refusal::not_empty;
		}
		const auto& own = state.config.issuer;
		if (handover.service != state.config.service || handover.issuer.agent != own.agent ||
			handover.issuer.upstream != own.upstream || handover.issuer.process_incarnation == own.process_incarnation)
		{
			return handover_refusal::wrong_owner;
		}
		if (const auto refusal = check_outcomes(handover, state.config.table_bound); refusal != handover_refusal::none)
		{
			return refusal;
		}
		// Entries are inserted by remaining time, since the table expires them in order of retention.
		std::vector<const request_outcome*> order;
		order.reserve(handover.outcomes.size());
		for (const auto& it : handover.outcomes)
		{
			order.push_back(&it);
		}
		std::sort(order.begin(), order.end(), [](const auto* a, const auto* b) { return a->remaining < b->remaining; });
		for (const auto* it : order)
		{
			auto& entry = *state.table.insert(it->identity);
			entry.status = it->status;
			entry.why = it->why;
			entry.idempotent = it->idempotent;
			entry.token = it->identity.token;
			state.table.keep_response(entry, it->response);
			entry.response_lost = entry.response_lost || it->response_lost;
			state.table.retain(entry, now - (outcome_retention - it->remaining));
		}
		state.predecessor = request_predecessor{handover.issuer, handover.exported, now};
		return handover_refusal::none;
	}
}
