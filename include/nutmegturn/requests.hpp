#pragma once

#include "nutmegturn/action.hpp"
#include "nutmegturn/admission.hpp"
#include "nutmegturn/caller_queue.hpp"
#include "nutmegturn/fencing_token.hpp"
#include "nutmegturn/packet.hpp"
#include "nutmegturn/random.hpp"
#include "nutmegturn/request_table.hpp"
#include "nutmegturn/retry_budget.hpp"
#include "nutmegturn/time.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace nutmegturn
{
	/// Request settings of one upstream.
	struct request_config
	{
		service_id service{};
		upstream_id upstream{};
		std::string name;      ///< Canonical name of the upstream, for the audit trail.
		fencing_issuer issuer; ///< Agent, incarnation and key.
		admission_config admission;
		std::chrono::milliseconds deadline{10'000}; ///< CoAP has no common option for a per-request deadline.
		std::size_t queue_bound = 16;           ///< Largest number of queued requests; see `caller_queue` for overflow.
		std::size_t table_bound = max_outcomes; ///< Largest number of entries in the request table.
	};

	/// Previous process of the same agent, whose complete outcome table was imported.
	struct request_predecessor
	{
		fencing_issuer issuer;
		monotonic_time exported{}; ///< Time of the export, on the clock of the previous process.
		monotonic_time imported{}; ///< Time of the import, on the clock of this process.
	};

	/// Requests of one upstream and their outcomes. Only the traffic thread of the agent accesses it.
	struct request_state
	{
		request_config config;
		request_table table;
		admission_state admission;
		retry_budget budget;
		caller_queue<request_entry*> queue;
		std::vector<request_entry*> open;           ///< Requests that have no outcome or still occupy a slot.
		std::vector<request_entry*> unacknowledged; ///< Separate confirmable responses to retransmit.
		std::vector<request_peer> peers;
		/// Set by a process pause until the configuration revision is confirmed, and by an export.
		bool suspended = false;
		bool draining = false;
		std::uint64_t next_sequence = 1;
		std::uint16_t next_message_id = 0;
		/// Fencing tokens issued at or before this time start no new request. It advances when a request is rejected
		/// for a full table: without an entry, nothing else stops a late duplicate of the request from running.
		monotonic_time token_cutoff = monotonic_time::min();
		std::optional<request_predecessor> predecessor;
		/// Requests answered as not run, by reason.
		std::array<std::uint64_t, static_cast<std::size_t>(reason::count)> not_run_counts{};
		/// Requests answered with an unknown outcome, by reason.
		std::array<std::uint64_t, static_cast<std::size_t>(reason::count)> unknown_counts{};
		std::deque<coap_bytes> buffers; ///< Storage for the payloads of the last call's actions.
	};

	/// Returns the initial state of an upstream, without requests.
	[[nodiscard]] request_state make_request_state(const request_config& config, monotonic_time now,
												   random_source& random);

	/// \name Events
	/// Each function appends the resulting actions. Their payloads are valid until the next call on the same state.
	/// @{

	/// Processes a datagram from a caller on a flow that this agent holds.
	void requests_on_caller_datagram(request_state& state, const packet& datagram, flow_slot flow, monotonic_time now,
									 random_source& random, action_list& actions);

	/// Processes a datagram that the upstream sent on the socket of a flow.
	void requests_on_upstream_datagram(request_state& state, flow_slot flow, std::span<const std::byte> datagram,
									   monotonic_time now, action_list& actions);

	/// Processes a request, or its cancellation, that another agent delegated (packet kind `request_delegate`).
	/// \param sender	Source of the packet, to which the result is sent.
	/// \param flow		Slot that this agent uses for the caller's flow, as for a flow that it holds.
	void requests_on_delegate(request_state& state, const packet& request, const endpoint& sender, flow_slot flow,
							  monotonic_time now, action_list& actions);

	/// Processes the outcome of a request that this agent delegated (packet kind `delegate_result`).
	void requests_on_delegate_result(request_state& state, const packet& datagram, monotonic_time now,
									 random_source& random, action_list& actions);

	/// Handles expired deadlines, retransmissions and silent peers, and starts queued requests. Call it at least every
	/// 50 ms.
	void requests_on_tick(request_state& state, monotonic_time now, random_source& random, action_list& actions);

	/// Sets the peers to which requests may be delegated.
	void requests_set_peers(request_state& state, std::span<const request_peer> peers);

	/// Ends the delegations to an upstream whose agent has failed or has a new incarnation.
	void requests_on_peer_gone(request_state& state, upstream_id peer, monotonic_time now, random_source& random,
							   action_list& actions);

	/// Ends the requests of a flow whose upstream socket is closed, since responses can no longer be matched.
	void requests_on_flow_closed(request_state& state, flow_slot flow, monotonic_time now, action_list& actions);

	/// Handles a process pause of more than 2 s. Rejects the queued requests and drops new ones until
	/// `requests_on_resume` is called.
	void requests_on_pause(request_state& state, monotonic_time now, action_list& actions);

	/// Accepts requests again. Call it when the configuration revision is confirmed after a pause.
	void requests_on_resume(request_state& state);

	/// Stops accepting new requests; requests in progress complete normally.
	void requests_begin_drain(request_state& state);
	/// @}

	/// Returns whether no request is in progress: every request has an outcome, occupies no slot and awaits no
	/// acknowledgement of its response.
	[[nodiscard]] bool requests_idle(const request_state& state) noexcept;

	/// \name Delegation messages
	/// Fixed-size structures that precede the CoAP message in `request_delegate` and `delegate_result` packets.
	/// @{

	/// Metadata of a delegated request.
	struct delegation_header
	{
		incarnation coordinator{};
		incarnation delegate{}; ///< Addressed incarnation; a later one does not know which requests this one ran.
		std::uint64_t sequence = 0;
		std::uint32_t remaining_ms = 0; ///< Time to the deadline; relative, since processes share no clock.
	};

	/// Result of a delegated request.
	struct delegation_result
	{
		incarnation coordinator{};
		std::uint64_t sequence = 0;
		request_status status = request_status::unknown; ///< `answered`, `refused` or `unknown`.
		reason why = reason::none;
	};

	/// Size of an encoded `delegation_header`.
	inline constexpr std::size_t delegation_header_size = 28;
	/// Size of an encoded `delegation_result`.
	inline constexpr std::size_t delegation_result_size = 18;
	/// @}
}
