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
	/// Settings of the requests of one upstream.
	struct request_config
	{
		service_id service{};
		upstream_id upstream{};
		std::string name;      ///< Canonical name of the upstream, for the audit trail.
		fencing_issuer issuer; ///< Agent, incarnation and key.
		admission_config admission;
		std::chrono::milliseconds deadline{10'000}; ///< CoAP has no usual option for a deadline of one request.
		std::size_t queue_bound = 16;               ///< Waiting requests; beyond, the largest caller group is refused.
		std::size_t table_bound = max_outcomes;
	};

	/// The process of the same agent that ran before and whose complete outcomes were imported.
	struct request_predecessor
	{
		fencing_issuer issuer;
		monotonic_time exported{}; ///< On its clock.
		monotonic_time imported{}; ///< On the clock of this process.
	};

	/// Requests of one upstream and their outcomes. Owned by the traffic thread of the agent.
	struct request_state
	{
		request_config config;
		request_table table;
		admission_state admission;
		retry_budget budget;
		caller_queue<request_entry*> queue;
		std::vector<request_entry*> open;           ///< Requests without outcome, and those that still occupy a slot.
		std::vector<request_entry*> unacknowledged; ///< Separate confirmable responses to be sent again.
		std::vector<request_peer> peers;
		bool suspended = false; ///< After a pause, until the configuration revision is confirmed.
		bool draining = false;
		std::uint64_t next_sequence = 1;
		std::uint16_t next_message_id = 0;
		/// Tokens issued up to here start nothing new. Raised when a request is rejected without an entry that would
		/// keep a late duplicate of it from running.
		monotonic_time token_cutoff = monotonic_time::min();
		std::optional<request_predecessor> predecessor;
		std::array<std::uint64_t, static_cast<std::size_t>(reason::count)> not_run_counts{}; ///< Rejections by reason.
		std::array<std::uint64_t, static_cast<std::size_t>(reason::count)>
			unknown_counts{};           ///< Unknown outcomes by reason.
		std::deque<coap_bytes> buffers; ///< What the payloads of the last call's actions refer to.
	};

	/// Returns the state of an upstream without requests.
	[[nodiscard]] request_state make_request_state(const request_config& config, monotonic_time now,
												   random_source& random);

	/// \name Events
	/// Each appends its actions; their payloads are valid until the next call on the same state.
	/// @{

	/// Takes a datagram of a caller on a flow that this agent holds.
	void requests_on_caller_datagram(request_state& state, const packet& datagram, flow_slot flow, monotonic_time now,
									 random_source& random, action_list& actions);

	/// Takes a datagram of the upstream on the socket of a flow.
	void requests_on_upstream_datagram(request_state& state, flow_slot flow, std::span<const std::byte> datagram,
									   monotonic_time now, action_list& actions);

	/// Takes a request (or its cancellation) that another agent has delegated, packet kind `request_delegate`.
	/// \param sender	Where the packet came from; the result goes there.
	/// \param flow		Slot for the caller's flow at this agent, as for a flow that it holds.
	void requests_on_delegate(request_state& state, const packet& request, const endpoint& sender, flow_slot flow,
							  monotonic_time now, action_list& actions);

	/// Takes the outcome of a request that this agent has delegated, packet kind `delegate_result`.
	void requests_on_delegate_result(request_state& state, const packet& datagram, monotonic_time now,
									 random_source& random, action_list& actions);

	/// Acts on passed deadlines and silent peers and starts waiting requests. To be called at least every 50 ms.
	void requests_on_tick(request_state& state, monotonic_time now, random_source& random, action_list& actions);

	/// Sets the peers that may be given requests.
	void requests_set_peers(request_state& state, std::span<const request_peer> peers);

	/// Ends the delegations to an upstream whose agent is dead or has a new incarnation.
	void requests_on_peer_gone(request_state& state, upstream_id peer, monotonic_time now, random_source& random,
							   action_list& actions);

	/// Ends the requests of a flow whose upstream socket is closed: no response can be matched any more.
	void requests_on_flow_closed(request_state& state, flow_slot flow, monotonic_time now, action_list& actions);

	/// To be called when the process has not run for over 2 s. Rejects what waits and takes nothing until
	/// `requests_on_resume`.
	void requests_on_pause(request_state& state, monotonic_time now, action_list& actions);

	/// To be called when the configuration revision has been confirmed after a pause.
	void requests_on_resume(request_state& state);

	/// Takes no new requests from now on; those in progress end normally.
	void requests_begin_drain(request_state& state);
	/// @}

	/// Returns whether nothing is in progress: no request is without outcome, occupies a slot or awaits an
	/// acknowledgement of its response.
	[[nodiscard]] bool requests_idle(const request_state& state) noexcept;

	/// \name Delegation messages
	/// They precede the CoAP message in the payload of `request_delegate` and `delegate_result` packets.
	/// @{

	/// What a delegate has to know beside the request.
	struct delegation_header
	{
		incarnation coordinator{};
		incarnation delegate{}; ///< The life of the delegate that is meant; another one cannot know what this one ran.
		std::uint64_t sequence = 0;
		std::uint32_t remaining_ms = 0; ///< Time to the deadline; clocks of two processes are never compared.
	};

	/// What a delegate reports beside the response.
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
