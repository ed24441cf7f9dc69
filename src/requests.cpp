#include "nutmegturn/impl/request_actions.hpp"

#include <algorithm>

namespace nutmegturn
{
	using namespace detail;

	namespace
	{
		constexpr std::uint8_t max_retransmissions = 4; // MAX_RETRANSMIT of RFC 7252
		constexpr std::chrono::seconds delegation_retransmit_interval{1};
		constexpr std::chrono::seconds peer_silence_timeout{3};
		// Time after the deadline at which the slot of a request is released. The upstream may still be processing the
		// request after its deadline; after this time that is unlikely. An earlier release would let abandoned requests
		// add up to an overload.
		constexpr std::chrono::seconds abandoned_slot_timeout{10};
	}

	request_state make_request_state(const request_config& config, monotonic_time now, random_source& random)
	{
		request_state state;
		state.config = config;
		state.table = request_table{config.table_bound};
		state.admission = make_admission_state(config.admission, now);
		state.queue = caller_queue<request_entry*>{config.queue_bound};
		state.next_message_id = static_cast<std::uint16_t>(random());
		return state;
	}

	void requests_on_tick(request_state& state, monotonic_time now, random_source& random, action_list& actions)
	{
		state.buffers.clear();
		// Iterates over a copy, since handling an entry may remove it from the open requests.
		const auto open = state.open;
		for (auto* it : open)
		{
			auto& entry = *it;
			const bool overdue = now >= entry.deadline;
			const bool in_progress =
				entry.status == request_status::running || entry.status == request_status::delegated;
			if (entry.status == request_status::queued && overdue)
			{
				state.queue.remove(entry.header.flow.client.ip, &entry);
				complete_unplaced(state, entry, reason::deadline_passed, now, actions);
			}
			else if (in_progress && overdue)
			{
				// The agent cancels the request here. The caller still expects the outcome unless it cancelled before.
				const bool cancelled_by_caller = entry.cancelled;
				cancel(state, entry, now, actions);
				entry.cancelled = cancelled_by_caller;
				complete_unknown(state, entry, reason::deadline_passed, now, actions);
			}
			else if (entry.status == request_status::delegated && entry.idempotent &&
					 now - entry.delegated_at >= peer_silence_timeout && state.budget.can_spend())
			{
				retry_placement(state, entry, reason::upstream_silent, now, random, actions);
			}
			else if (entry.status == request_status::delegated &&
					 now - entry.last_sent >= delegation_retransmit_interval)
			{
				send_delegation(state, entry, entry.request, now, actions);
			}
			else if (entry.status == request_status::unknown && now - entry.deadline >= abandoned_slot_timeout)
			{
				release_slot(state, entry, admission_outcome::timed_out, now, actions);
				close_entry(state, entry);
			}
		}
		const auto waiting = state.unacknowledged;
		for (auto* entry : waiting)
		{
			if (now < entry->retransmit_at)
			{
				continue;
			}
			if (entry->retransmissions >= max_retransmissions)
			{
				entry->response_id.reset();
				std::erase(state.unacknowledged, entry);
				continue;
			}
			++entry->retransmissions;
			entry->retransmit_at = now + initial_retransmit_timeout * (1U << entry->retransmissions);
			send_to_caller(state, entry->header,
						   with_message_id(outcome_message(*entry), coap_type::confirmable, *entry->response_id),
						   actions);
		}
		state.table.expire(now);
		start_queued(state, now, actions);
	}

	void requests_on_pause(request_state& state, monotonic_time now, action_list& actions)
	{
		state.buffers.clear();
		state.suspended = true;
		while (auto entry = state.queue.pop())
		{
			complete_unplaced(state, **entry, reason::paused, now, actions);
		}
	}

	void requests_on_resume(request_state& state)
	{
		state.suspended = false;
	}

	void requests_begin_drain(request_state& state)
	{
		state.draining = true;
	}

	bool requests_idle(const request_state& state) noexcept
	{
		return state.open.empty() && state.unacknowledged.empty();
	}
}
