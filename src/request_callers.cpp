#include "nutmegturn/impl/request_actions.hpp"

#include <algorithm>
#include <variant>

namespace nutmegturn
{
	using namespace detail;

	namespace
	{
		void on_retransmission(request_state& state, request_entry& entry, const packet& datagram,
							   const coap_message& message, monotonic_time now, action_list& actions)
		{
			entry.header = datagram.header;
			entry.reply_id = message.message_id();
			entry.confirmable = message.type() == coap_type::confirmable;
			if (entry.status == request_status::queued || entry.status == request_status::running ||
				entry.status == request_status::delegated)
			{
				acknowledge_caller(state, entry, actions);
				if (entry.status == request_status::delegated)
				{
					send_delegation(state, entry, entry.request, now, actions);
				}
				return;
			}
			entry.acknowledged = false;
			entry.response_id.reset();
			std::erase(state.unacknowledged, &entry);
			send_outcome(state, entry, outcome_message(entry), now, actions);
		}

		/// Answers a request that has no entry in the table.
		void answer_without_entry(request_state& state, const packet& datagram, const coap_message& message,
								  coap_bytes response, action_list& actions)
		{
			const bool confirmable = message.type() == coap_type::confirmable;
			const auto id = confirmable ? message.message_id() : state.next_message_id++;
			send_to_caller(
				state, datagram.header,
				with_message_id(response, confirmable ? coap_type::acknowledgement : coap_type::non_confirmable, id),
				actions);
		}

		void challenge(request_state& state, const packet& datagram, const coap_message& message, reason why,
					   monotonic_time now, action_list& actions)
		{
			++state.not_run_counts[static_cast<std::size_t>(why)];
			answer_without_entry(state, datagram, message,
								 encode_coap_challenge(coap_type::non_confirmable, 0, message.token(),
													   issue_fencing_token(state.config.issuer, now)),
								 actions);
		}

		/// Returns whether the fencing token of a new request permits its start. Otherwise answers the request.
		bool check_token(request_state& state, const packet& datagram, const coap_message& message, monotonic_time now,
						 action_list& actions)
		{
			const auto check = check_fencing_token(state.config.issuer, message.echo(), now);
			if (check.why == reason::token_foreign && state.predecessor)
			{
				const auto& it = *state.predecessor;
				// Each imported entry is kept at least until its token reaches this age, however long the transfer
				// took.
				const auto then = it.exported + (now - it.imported);
				const auto earlier = check_fencing_token(it.issuer, message.echo(), then);
				if ((earlier.why == reason::none || earlier.why == reason::token_expired) &&
					then - earlier.issued < outcome_retention)
				{
					challenge(state, datagram, message, reason::token_expired, now, actions);
					return false;
				}
			}
			// An expired token without an entry has started no request while such an entry would still be retained.
			const bool still_tabled = check.why == reason::token_expired && now - check.issued < outcome_retention;
			if (check.why == reason::token_missing || still_tabled)
			{
				challenge(state, datagram, message, check.why, now, actions);
				return false;
			}
			if (check.why != reason::none)
			{
				++state.unknown_counts[static_cast<std::size_t>(check.why)];
				answer_without_entry(state, datagram, message,
									 encode_outcome_unknown(coap_type::non_confirmable, 0, message.token(), check.why),
									 actions);
				return false;
			}
			if (check.issued <= state.token_cutoff)
			{
				challenge(state, datagram, message, reason::table_full, now, actions);
				return false;
			}
			return true;
		}

		request_entry* find_open_by_message_id(request_state& state, flow_slot flow, std::uint16_t id)
		{
			const auto it = std::find_if(state.open.begin(), state.open.end(),
										 [&](const auto* entry)
										 {
											 return entry->flow == flow &&
													(entry->message_id == id || entry->reply_id == id) &&
													entry->status != request_status::unknown && !entry->coordinator;
										 });
			return it == state.open.end() ? nullptr : *it;
		}

		/// Processes an acknowledgement, reset or ping of a caller.
		void on_caller_empty_message(request_state& state, const packet& datagram, const coap_message& message,
									 flow_slot flow, monotonic_time now, action_list& actions)
		{
			if (message.type() == coap_type::confirmable)
			{
				send_to_caller(state, datagram.header, encode_coap_empty(coap_type::reset, message.message_id()),
							   actions);
				return;
			}
			const auto it = std::find_if(state.unacknowledged.begin(), state.unacknowledged.end(),
										 [&](const auto* entry)
										 { return entry->flow == flow && entry->response_id == message.message_id(); });
			if (it != state.unacknowledged.end())
			{
				(*it)->response_id.reset();
				state.unacknowledged.erase(it);
				return;
			}
			if (message.type() == coap_type::reset)
			{
				if (auto* entry = find_open_by_message_id(state, flow, message.message_id()))
				{
					cancel(state, *entry, now, actions);
				}
			}
		}
	}

	void requests_on_caller_datagram(request_state& state, const packet& datagram, flow_slot flow, monotonic_time now,
									 random_source& random, action_list& actions)
	{
		state.buffers.clear();
		if (state.suspended)
		{
			count_drop(actions, reason::not_current);
			return;
		}
		const auto parsed = parse_coap(datagram.payload);
		const auto* message = std::get_if<coap_message>(&parsed);
		if (message == nullptr || (!message->is_empty() && !message->is_request()))
		{
			count_drop(actions, reason::malformed);
			return;
		}
		if (message->is_empty())
		{
			on_caller_empty_message(state, datagram, *message, flow, now, actions);
			return;
		}
		const auto token = make_coap_token(message->token());
		if (message->is_deregistration())
		{
			auto* entry = state.table.find_by_token(flow, token);
			if (entry != nullptr && entry->status != request_status::unknown && !entry->coordinator)
			{
				cancel(state, *entry, now, actions);
				if (message->type() == coap_type::confirmable)
				{
					send_to_caller(state, datagram.header,
								   encode_coap_empty(coap_type::acknowledgement, message->message_id()), actions);
				}
				return;
			}
		}
		const bool idempotent = message->is_idempotent();
		request_identity id;
		id.client = datagram.header.flow.client;
		id.service = state.config.service;
		id.token = token;
		id.content = message->content_hash();
		if (idempotent)
		{
			id.scope[0] = std::byte(message->message_id() >> 8U);
			id.scope[1] = std::byte(message->message_id() & 0xffU);
		}
		else
		{
			const auto echo = message->echo();
			std::copy_n(echo.begin(), std::min(echo.size(), id.scope.size()), id.scope.begin());
		}
		if (auto* entry = state.table.find(id))
		{
			on_retransmission(state, *entry, datagram, *message, now, actions);
			return;
		}
		if (!idempotent && !check_token(state, datagram, *message, now, actions))
		{
			return;
		}
		auto* entry = add_entry(state, id, datagram, *message, flow, now);
		if (entry == nullptr)
		{
			if (idempotent)
			{
				// Without an entry, a later duplicate would run, so the request must not be reported as not run.
				count_drop(actions, reason::table_full);
				return;
			}
			state.token_cutoff = now;
			++state.not_run_counts[static_cast<std::size_t>(reason::table_full)];
			answer_without_entry(state, datagram, *message,
								 encode_not_run(coap_type::non_confirmable, 0, message->token(), reason::table_full),
								 actions);
			return;
		}
		entry->deadline = now + state.config.deadline;
		entry->request.assign(datagram.payload.begin(), datagram.payload.end());
		state.budget.on_request();
		if (!state.table.bind_token(*entry))
		{
			complete_refused(state, *entry, reason::replayed, now, actions);
			return;
		}
		start_queued(state, now, actions);
		place(state, *entry, std::nullopt, now, random, actions);
	}
}
