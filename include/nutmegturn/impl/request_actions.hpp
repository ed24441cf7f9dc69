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
		/// Timeout of the first retransmission of a response: ACK_TIMEOUT of RFC 7252, doubled for each further one.
		inline constexpr std::chrono::seconds initial_retransmit_timeout{2};

		/// \name Sending
		/// @{

		/// Stores the payload of an action until the next call on the same state.
		[[nodiscard]] std::span<const std::byte> store_payload(request_state& state, coap_bytes bytes);

		/// Appends an action that counts a dropped datagram.
		void count_drop(action_list& actions, reason why);

		/// Sends a message to the caller of a request, along the path of the request.
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

		/// Releases the slot of a request, if it has one, and audits a change of the run state.
		void release_slot(request_state& state, request_entry& entry, admission_outcome outcome, monotonic_time now,
						  action_list& actions);

		/// Removes a request from the open requests and frees its stored datagram.
		void close_entry(request_state& state, request_entry& entry);

		/// Returns the response to a request with an outcome. The caller sets type and message id.
		[[nodiscard]] coap_bytes outcome_message(const request_entry& entry);

		/// Sends the outcome of a request to its caller, as a piggybacked or separate response.
		void send_outcome(request_state& state, request_entry& entry, coap_bytes message, monotonic_time now,
						  action_list& actions);

		/// Reports an outcome to the caller or to the coordinator of the request.
		void report_outcome(request_state& state, request_entry& entry, monotonic_time now, action_list& actions);

		/// Completes a request as not run. It will not run later.
		void complete_refused(request_state& state, request_entry& entry, reason why, monotonic_time now,
							  action_list& actions);

		/// Completes a request with an unknown outcome. The token stays bound, so that a late response is not matched
		/// to a newer request. A request that still occupies a slot stays open.
		void complete_unknown(request_state& state, request_entry& entry, reason why, monotonic_time now,
							  action_list& actions);

		/// Completes a request with the response of the upstream or of the delegate.
		void complete_answered(request_state& state, request_entry& entry, std::span<const std::byte> response,
							   monotonic_time now, action_list& actions);

		/// Completes a request that is not placed. If a silent peer may have run it, its outcome is unknown rather than
		/// not run.
		void complete_unplaced(request_state& state, request_entry& entry, reason why, monotonic_time now,
							   action_list& actions);

		/// Cancels a request and forwards the cancellation to the upstream or delegate that may run it.
		void cancel(request_state& state, request_entry& entry, monotonic_time now, action_list& actions);

		/// Acknowledges a confirmable request that has no response yet.
		void acknowledge_caller(request_state& state, request_entry& entry, action_list& actions);

		/// Adds an open request.
		/// \returns	The entry, or null when the table is full.
		[[nodiscard]] request_entry* add_entry(request_state& state, const request_identity& id, const packet& datagram,
											   const coap_message& message, flow_slot flow, monotonic_time now);
		/// @}

		/// \name Placement
		/// @{

		/// Sends a request to the upstream of this agent.
		/// \returns	False when the concurrency limit does not allow it.
		[[nodiscard]] bool try_start(request_state& state, request_entry& entry, monotonic_time now,
									 action_list& actions);

		/// Sends a request or its cancellation to its delegate.
		void send_delegation(request_state& state, request_entry& entry, std::span<const std::byte> message,
							 monotonic_time now, action_list& actions);

		/// Adds a request to the queue. On overflow, a request of the largest caller group is rejected.
		void enqueue(request_state& state, request_entry& entry, monotonic_time now, action_list& actions);

		/// Starts queued requests as the concurrency limit allows.
		void start_queued(request_state& state, monotonic_time now, action_list& actions);

		/// Starts, delegates or queues a request.
		void place(request_state& state, request_entry& entry, std::optional<upstream_id> except, monotonic_time now,
				   random_source& random, action_list& actions);

		/// Places a delegated request again when its delegate did not run it or, for an idempotent request, when the
		/// delegate is silent or gone.
		void retry_placement(request_state& state, request_entry& entry, reason why, monotonic_time now,
							 random_source& random, action_list& actions);
		/// @}
	}
}
