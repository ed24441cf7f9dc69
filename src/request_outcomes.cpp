#include "nutmegturn/impl/delegation_codec.hpp"
#include "nutmegturn/impl/request_actions.hpp"

#include <fmt/format.h>

#include <array>
#include <string_view>
#include <utility>

namespace nutmegturn
{
	namespace
	{
		std::span<const std::byte> token_of(const request_entry& entry) noexcept
		{
			return std::span{entry.token.bytes}.first(entry.token.size);
		}

		void audit_transition(request_state& state, upstream_run_state before, action_list& actions)
		{
			constexpr std::array<std::string_view, 6> names{"cold", "warming", "serving", "draining", "leaving", "out"};
			const auto after = state.admission.run_state;
			if (before != after)
			{
				actions.emplace_back(
					audit_event{audit_kind::upstream_state,
								state.config.name,
								fmt::format("{} -> {}, limit {:.2f} of {:.0f}", names[static_cast<std::size_t>(before)],
											names[static_cast<std::size_t>(after)], state.admission.limit,
											state.admission.config.slots),
								{},
								reason::none});
			}
		}
	}

	namespace detail
	{
		std::span<const std::byte> store_payload(request_state& state, coap_bytes bytes)
		{
			return state.buffers.emplace_back(std::move(bytes));
		}

		void count_drop(action_list& actions, reason why)
		{
			actions.emplace_back(drop{why});
		}

		void send_to_caller(request_state& state, const packet_header& request, coap_bytes bytes, action_list& actions)
		{
			auto header = request;
			header.kind = packet_kind::answer;
			header.flags = 0;
			header.hops = 0;
			header.search_position = 0;
			header.service = state.config.service;
			header.upstream = state.config.upstream;
			header.origin = state.config.upstream;
			actions.emplace_back(send_packet{header.balancer, header, store_payload(state, std::move(bytes))});
		}

		void send_to_upstream(request_state& state, flow_slot flow, coap_bytes bytes, action_list& actions)
		{
			actions.emplace_back(deliver{state.config.upstream, flow, store_payload(state, std::move(bytes))});
		}

		void send_delegation_result(request_state& state, const packet_header& request,
									const request_coordinator& coordinator, const delegation_result& result,
									std::span<const std::byte> response, action_list& actions)
		{
			auto header = request;
			header.kind = packet_kind::delegate_result;
			header.flags = 0;
			header.hops = 0;
			header.origin = state.config.upstream;
			header.upstream = coordinator.upstream;
			auto bytes = encode(result);
			bytes.insert(bytes.end(), response.begin(), response.end());
			actions.emplace_back(send_packet{coordinator.agent, header, store_payload(state, std::move(bytes))});
		}

		void release_slot(request_state& state, request_entry& entry, admission_outcome outcome, monotonic_time now,
						  action_list& actions)
		{
			if (entry.ticket)
			{
				const auto before = state.admission.run_state;
				admission_on_finish(state.admission, *entry.ticket, outcome, now);
				entry.ticket.reset();
				audit_transition(state, before, actions);
			}
		}

		void close_entry(request_state& state, request_entry& entry)
		{
			std::erase(state.open, &entry);
			coap_bytes{}.swap(entry.request);
		}

		coap_bytes outcome_message(const request_entry& entry)
		{
			if (entry.status == request_status::refused)
			{
				return encode_not_run(coap_type::non_confirmable, 0, token_of(entry), entry.why);
			}
			if (entry.status == request_status::unknown || entry.response_lost)
			{
				return encode_outcome_unknown(coap_type::non_confirmable, 0, token_of(entry),
											  entry.response_lost ? reason::outcome_lost : entry.why);
			}
			return entry.response;
		}

		void send_outcome(request_state& state, request_entry& entry, coap_bytes message, monotonic_time now,
						  action_list& actions)
		{
			if (entry.confirmable && !entry.acknowledged)
			{
				message = with_message_id(message, coap_type::acknowledgement, entry.reply_id);
			}
			else
			{
				const auto id = state.next_message_id++;
				message = with_message_id(message,
										  entry.confirmable ? coap_type::confirmable : coap_type::non_confirmable, id);
				if (entry.confirmable)
				{
					entry.response_id = id;
					entry.retransmit_at = now + initial_retransmit_timeout;
					entry.retransmissions = 0;
					state.unacknowledged.push_back(&entry);
				}
			}
			send_to_caller(state, entry.header, std::move(message), actions);
		}

		void report_outcome(request_state& state, request_entry& entry, monotonic_time now, action_list& actions)
		{
			if (!entry.coordinator)
			{
				if (!entry.cancelled)
				{
					send_outcome(state, entry, outcome_message(entry), now, actions);
				}
				return;
			}
			delegation_result result{entry.coordinator->process_incarnation, entry.coordinator->sequence, entry.status,
									 entry.why};
			if (entry.response_lost)
			{
				result.status = request_status::unknown;
				result.why = reason::outcome_lost;
			}
			send_delegation_result(state, entry.header, *entry.coordinator, result, entry.response, actions);
		}

		void complete_refused(request_state& state, request_entry& entry, reason why, monotonic_time now,
							  action_list& actions)
		{
			entry.status = request_status::refused;
			entry.why = why;
			++state.not_run_counts[static_cast<std::size_t>(why)];
			state.table.release_token(entry);
			close_entry(state, entry);
			state.table.retain(entry, now);
			report_outcome(state, entry, now, actions);
		}

		void complete_unknown(request_state& state, request_entry& entry, reason why, monotonic_time now,
							  action_list& actions)
		{
			entry.status = request_status::unknown;
			entry.why = why;
			++state.unknown_counts[static_cast<std::size_t>(why)];
			state.table.retain(entry, now);
			if (!entry.ticket)
			{
				close_entry(state, entry);
			}
			report_outcome(state, entry, now, actions);
		}

		void complete_answered(request_state& state, request_entry& entry, std::span<const std::byte> response,
							   monotonic_time now, action_list& actions)
		{
			const bool already_reported = entry.status == request_status::unknown;
			entry.status = request_status::answered;
			entry.why = reason::none;
			state.table.release_token(entry);
			state.table.keep_response(entry, coap_bytes{response.begin(), response.end()});
			close_entry(state, entry);
			if (already_reported)
			{
				// The caller already got an unknown outcome. Only a retransmission of the request gets the response.
				count_drop(actions, reason::deadline_passed);
				return;
			}
			state.table.retain(entry, now);
			if (entry.cancelled && !entry.coordinator)
			{
				count_drop(actions, reason::cancelled);
			}
			else if (entry.response_lost && !entry.coordinator)
			{
				// The bound limits stored responses; the current one is still sent in full.
				send_outcome(state, entry, coap_bytes{response.begin(), response.end()}, now, actions);
			}
			else
			{
				report_outcome(state, entry, now, actions);
			}
		}

		void complete_unplaced(request_state& state, request_entry& entry, reason why, monotonic_time now,
							   action_list& actions)
		{
			if (entry.dispatched || entry.may_have_run)
			{
				complete_unknown(state, entry, why, now, actions);
			}
			else
			{
				complete_refused(state, entry, why, now, actions);
			}
		}

		void cancel(request_state& state, request_entry& entry, monotonic_time now, action_list& actions)
		{
			if (entry.cancelled)
			{
				return;
			}
			entry.cancelled = true;
			switch (entry.status)
			{
				case request_status::queued:
					state.queue.remove(entry.header.flow.client.ip, &entry);
					complete_unplaced(state, entry, reason::cancelled, now, actions);
					break;
				case request_status::running:
					send_to_upstream(state, entry.flow, encode_coap_empty(coap_type::reset, entry.message_id), actions);
					break;
				case request_status::delegated:
					send_delegation(state, entry, encode_coap_empty(coap_type::reset, entry.message_id), now, actions);
					break;
				default:
					break;
			}
		}

		void acknowledge_caller(request_state& state, request_entry& entry, action_list& actions)
		{
			if (entry.confirmable && !entry.coordinator)
			{
				entry.acknowledged = true;
				send_to_caller(state, entry.header, encode_coap_empty(coap_type::acknowledgement, entry.reply_id),
							   actions);
			}
		}

		request_entry* add_entry(request_state& state, const request_identity& id, const packet& datagram,
								 const coap_message& message, flow_slot flow, monotonic_time now)
		{
			auto* entry = state.table.insert(id);
			if (entry != nullptr)
			{
				entry->header = datagram.header;
				entry->flow = flow;
				entry->token = make_coap_token(message.token());
				entry->message_id = message.message_id();
				entry->reply_id = message.message_id();
				entry->confirmable = message.type() == coap_type::confirmable;
				entry->idempotent = message.is_idempotent();
				entry->arrived = now;
				state.open.push_back(entry);
			}
			return entry;
		}
	}
}
