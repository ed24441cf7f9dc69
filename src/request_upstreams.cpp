#include "nutmegturn/impl/request_actions.hpp"

#include <algorithm>
#include <variant>

namespace nutmegturn
{
	using namespace detail;

	void requests_on_upstream_datagram(request_state& state, flow_slot flow, std::span<const std::byte> datagram,
									   monotonic_time now, action_list& actions)
	{
		state.buffers.clear();
		const auto parsed = parse_coap(datagram);
		const auto* message = std::get_if<coap_message>(&parsed);
		if (message == nullptr || (!message->is_empty() && !message->is_response()))
		{
			count_drop(actions, reason::malformed);
			return;
		}
		if (message->is_empty())
		{
			const auto it = std::find_if(state.open.begin(), state.open.end(),
										 [&](const auto* entry)
										 {
											 return entry->flow == flow && entry->status == request_status::running &&
													entry->message_id == message->message_id();
										 });
			if (message->type() == coap_type::confirmable)
			{
				send_to_upstream(state, flow, encode_coap_empty(coap_type::reset, message->message_id()), actions);
			}
			else if (it != state.open.end() && message->type() == coap_type::acknowledgement)
			{
				acknowledge_caller(state, **it, actions);
			}
			else if (it != state.open.end() && message->type() == coap_type::reset)
			{
				// A reset does not prove that the request was not run: the upstream may have run it and then lost its
				// state.
				release_slot(state, **it, admission_outcome::cancelled, now, actions);
				complete_unknown(state, **it, reason::upstream_unreachable, now, actions);
				start_queued(state, now, actions);
			}
			return;
		}
		const bool piggybacked = message->type() == coap_type::acknowledgement;
		auto* entry = state.table.find_by_token(flow, make_coap_token(message->token()));
		const bool expected = entry != nullptr && entry->dispatched &&
							  (entry->status == request_status::running || entry->status == request_status::unknown) &&
							  (!piggybacked || entry->message_id == message->message_id());
		if (!message->is_complete())
		{
			count_drop(actions, reason::truncated);
			return;
		}
		const bool fresh = piggybacked || state.table.note_response_id(flow, message->message_id(), now);
		if (message->type() == coap_type::confirmable)
		{
			// An unexpected response is rejected with a reset, so that the upstream stops retransmitting it.
			const auto type = expected || !fresh ? coap_type::acknowledgement : coap_type::reset;
			send_to_upstream(state, flow, encode_coap_empty(type, message->message_id()), actions);
		}
		if (!expected || !fresh)
		{
			count_drop(actions, reason::replayed);
			return;
		}
		release_slot(state, *entry,
					 message->code() == coap_code_service_unavailable ? admission_outcome::shed
																	  : admission_outcome::answered,
					 now, actions);
		complete_answered(state, *entry, datagram, now, actions);
		start_queued(state, now, actions);
	}

	void requests_on_flow_closed(request_state& state, flow_slot flow, monotonic_time now, action_list& actions)
	{
		state.buffers.clear();
		const auto open = state.open;
		for (auto* it : open)
		{
			auto& entry = *it;
			if (entry.flow != flow)
			{
				continue;
			}
			if (entry.status == request_status::queued)
			{
				state.queue.remove(entry.header.flow.client.ip, &entry);
				complete_unplaced(state, entry, reason::idle, now, actions);
			}
			else if (entry.ticket)
			{
				release_slot(state, entry, admission_outcome::cancelled, now, actions);
				if (entry.status == request_status::running)
				{
					complete_unknown(state, entry, reason::outcome_lost, now, actions);
				}
				else
				{
					close_entry(state, entry);
				}
			}
		}
		state.table.release_flow(flow);
		start_queued(state, now, actions);
	}
}
