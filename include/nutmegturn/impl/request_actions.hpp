#pragma once

#include "nutmegturn/coap_message.hpp"
#include "nutmegturn/requests.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>

namespace nutmegturn
{
	namespace detail
	{
		/// Time until a response is sent again: ACK_TIMEOUT of RFC 7252, doubled each time.
		inline constexpr std::chrono::seconds initial_retransmit_timeout{2};

		/// \name Sending
		/// @{

		/// Keeps the bytes of an action until the next call on the same state.
		[[nodiscard]] std::span<const std::byte> store_payload(request_state& state, coap_bytes bytes);

		/// Reports a datagram that was dropped.
		void count_drop(action_list& actions, reason why);

		/// Sends a message to the caller of a request, on the path on which the request came.
		void send_to_caller(request_state& state, const packet_header& request, coap_bytes bytes, action_list& actions);

		/// Sends a message to the upstream on the socket of a flow.
		void send_to_upstream(request_state& state, flow_slot flow, coap_bytes bytes, action_list& actions);

		/// Sends the outcome of a delegated request to its coordinator.
		void send_delegation_result(request_state& state, const packet_header& request,
									const request_coordinator& coordinator, const delegation_result& result,
									std::span<const std::byte> response, action_list& actions);
		/// @}

		/// \name Outcomes
		/// @{

		/// Frees the slot of a request, if it has one, and audits a change of the run state.
		void release_slot(request_state& state, request_entry& entry, admission_outcome outcome, monotonic_time now,
						  action_list& actions);

		/// Takes a request off the open ones and frees its bytes.
		void close_entry(request_state& state, request_entry& entry);

		/// Returns the response to a request with an outcome; type and message id are still to be set.
		[[nodiscard]] coap_bytes outcome_message(const request_entry& entry);

		/// Sends the outcome of a request to where the request came from.
		void send_outcome(request_state& state, request_entry& entry, coap_bytes message, monotonic_time now,
						  action_list& actions);

		/// Reports an outcome to the caller, or to the agent that delegated the request.
		void report_outcome(request_state& state, request_entry& entry, monotonic_time now, action_list& actions);

		/// Rejects a request that has not run and never will.
		void complete_refused(request_state& state, request_entry& entry, reason why, monotonic_time now,
							  action_list& actions);

		/// Reports an unknown outcome. The token stays bound, so that a late response is not taken for that of a newer
		/// request; a request that still occupies a slot stays open.
		void complete_unknown(request_state& state, request_entry& entry, reason why, monotonic_time now,
							  action_list& actions);

		/// Takes the response of whoever ran the request.
		void complete_answered(request_state& state, request_entry& entry, std::span<const std::byte> response,
							   monotonic_time now, action_list& actions);

		/// Ends a request that waits. One that a silent peer may have run is not reported as not run.
		void complete_unplaced(request_state& state, request_entry& entry, reason why, monotonic_time now,
							   action_list& actions);

		/// Cancels a request for its caller; where it may run, the cancellation is passed on.
		void cancel(request_state& state, request_entry& entry, monotonic_time now, action_list& actions);

		/// Acknowledges a confirmable request whose response is not there yet.
		void acknowledge_caller(request_state& state, request_entry& entry, action_list& actions);

		/// Adds an open request. \returns	The entry, or null when the table is full.
		[[nodiscard]] request_entry* add_entry(request_state& state, const request_identity& id, const packet& datagram,
											   const coap_message& message, flow_slot flow, monotonic_time now);
		/// @}

		/// \name Placement
		/// @{

		/// Hands a request to the upstream of this agent. \returns	False when the limit does not allow it.
		[[nodiscard]] bool try_start(request_state& state, request_entry& entry, monotonic_time now,
									 action_list& actions);

		/// Sends a message about a delegated request to its delegate.
		void send_delegation(request_state& state, request_entry& entry, std::span<const std::byte> message,
							 monotonic_time now, action_list& actions);

		/// Lets a request wait; beyond the bound one of the largest caller group is rejected.
		void enqueue(request_state& state, request_entry& entry, monotonic_time now, action_list& actions);

		/// Starts waiting requests as the limit allows.
		void start_queued(request_state& state, monotonic_time now, action_list& actions);

		/// Starts, delegates or queues a request.
		void place(request_state& state, request_entry& entry, std::optional<upstream_id> except, monotonic_time now,
				   random_source& random, action_list& actions);

		/// Places a delegated request again after its delegate has not run it, or for an idempotent one after the
		/// delegate has become silent.
		void retry_placement(request_state& state, request_entry& entry, reason why, monotonic_time now,
							 random_source& random, action_list& actions);
		/// @}
	}
}
