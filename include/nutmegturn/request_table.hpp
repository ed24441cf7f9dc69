#pragma once

#include "nutmegturn/action.hpp"
#include "nutmegturn/admission.hpp"
#include "nutmegturn/coap_message.hpp"
#include "nutmegturn/fencing_token.hpp"
#include "nutmegturn/packet.hpp"
#include "nutmegturn/reason.hpp"
#include "nutmegturn/time.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nutmegturn
{
	/// Retention time of a known outcome: EXCHANGE_LIFETIME of RFC 7252, section 4.8.2.
	inline constexpr std::chrono::seconds outcome_retention{247};

	/// Largest number of request outcomes kept for one upstream.
	inline constexpr std::size_t max_outcomes = 65'536;

	/// Largest total size of stored responses for one upstream. A retransmitted request whose response did not fit is
	/// answered with "outcome unknown".
	inline constexpr std::size_t max_kept_response_bytes = std::size_t{32} << 20U;

	/// State of a request.
	enum class request_status : std::uint8_t
	{
		queued,    ///< Waits for a slot; not run.
		running,   ///< Sent to the upstream of this agent.
		delegated, ///< Sent to one peer.
		answered,  ///< The response is known.
		refused,   ///< Not run, and will not run under this identity.
		unknown,   ///< Reported to the caller as an unknown outcome.
		count
	};

	namespace detail
	{
		inline constexpr std::array<std::string_view, static_cast<std::size_t>(request_status::count)>
			request_status_names{"queued", "running", "delegated", "answered", "refused", "unknown"};
	}

	/// Returns the name used in metrics and logs.
	[[nodiscard]] constexpr std::string_view to_string(request_status status) noexcept
	{
		const auto index = static_cast<std::size_t>(status);
		return index < detail::request_status_names.size() ? detail::request_status_names[index] : "?";
	}

	/// CoAP token, 0 to 8 bytes.
	struct coap_token
	{
		std::array<std::byte, 8> bytes{};
		std::uint8_t size = 0;

		/// Compares bytes and size.
		[[nodiscard]] friend constexpr bool operator==(const coap_token&, const coap_token&) noexcept = default;
	};

	/// Returns a copy of a parsed token.
	[[nodiscard]] coap_token make_coap_token(std::span<const std::byte> bytes) noexcept;

	/// Identity of a request; datagrams with equal identities are retransmissions of one request.
	struct request_identity
	{
		endpoint client;
		service_id service{};
		coap_token token;
		/// Depends on the request. Non-idempotent: the fencing token. Idempotent: the message id, since callers may
		/// reuse a CoAP token for a new request. Delegated to this agent: upstream, incarnation and sequence number of
		/// the coordinator.
		std::array<std::byte, sizeof(fencing_token)> scope{};
		std::uint64_t content = 0; ///< `coap_message::content_hash`.

		/// Compares all parts.
		[[nodiscard]] friend constexpr bool operator==(const request_identity&,
													   const request_identity&) noexcept = default;
	};

	namespace detail
	{
		struct request_hash
		{
			std::size_t operator()(const request_identity& id) const noexcept;
		};
	}

	/// Another agent of the same service and its upstream.
	struct request_peer
	{
		upstream_id upstream{};
		endpoint agent;                    ///< Data endpoint.
		incarnation process_incarnation{}; ///< Of the agent; a restarted agent no longer knows which requests it ran.
		std::uint32_t available_slots = 0; ///< Requests it can start now, less those delegated since its report.

		/// Compares all parts.
		[[nodiscard]] friend constexpr bool operator==(const request_peer&, const request_peer&) noexcept = default;
	};

	/// Agent that delegated a request to this one.
	struct request_coordinator
	{
		endpoint agent; ///< Source of the delegation packet.
		upstream_id upstream{};
		incarnation process_incarnation{};
		std::uint64_t sequence = 0;
	};

	/// One request and its outcome.
	struct request_entry
	{
		request_identity identity;
		request_status status = request_status::queued;
		reason why = reason::none; ///< Set for `refused` and `unknown`.

		/// \name Request
		/// @{
		packet_header header; ///< Of the last datagram of the request; the response returns on its path.
		flow_slot flow{};
		coap_token token;
		std::uint16_t message_id = 0; ///< Of the datagram that is sent to the upstream.
		std::uint16_t reply_id = 0;   ///< Of the caller's last datagram, which the response acknowledges.
		bool confirmable = false;     ///< Whether the caller's last datagram was confirmable.
		bool idempotent = false;
		bool cancelled = false;
		coap_bytes request; ///< Kept until the outcome is known.
		monotonic_time arrived{};
		monotonic_time deadline{};
		/// @}

		/// \name Execution
		/// @{
		std::optional<admission_ticket> ticket; ///< Present while the request occupies a slot.
		bool dispatched = false;                ///< May have reached an upstream since the last confirmed "not run".
		bool may_have_run = false;  ///< An earlier placement ended without confirmation that it was not run.
		request_peer peer;          ///< Delegate; valid while the request is delegated.
		std::uint64_t sequence = 0; ///< Of the delegation, or 0.
		monotonic_time last_sent{}; ///< Time of the last delegation packet.
		monotonic_time delegated_at{};
		std::optional<request_coordinator> coordinator; ///< Set when this agent is the delegate.
		/// @}

		/// \name Response
		/// @{
		coap_bytes response;
		bool response_lost = false; ///< The response was not stored, since `max_kept_response_bytes` was reached.
		bool acknowledged = false;  ///< The request was acknowledged, so the response is a separate message.
		std::optional<std::uint16_t> response_id; ///< Of an unacknowledged separate response.
		monotonic_time retransmit_at{};
		std::uint8_t retransmissions = 0;
		monotonic_time expires{};
		/// @}
	};

	/// Requests in progress and outcomes. Entries have stable addresses.
	class request_table
	{
	public:
		/// Creates an empty table.
		/// \param bound	Largest number of entries.
		explicit request_table(std::size_t bound = max_outcomes) : bound_{bound} {}

		/// Returns the number of entries.
		[[nodiscard]] std::size_t size() const noexcept;

		/// Returns the entry of an identity, or null.
		[[nodiscard]] request_entry* find(const request_identity& id) noexcept;

		/// Returns all entries, in no particular order.
		[[nodiscard]] std::vector<const request_entry*> entries() const;

		/// Adds an entry in state `queued`. A full table evicts its oldest answered idempotent request, the only kind
		/// that can safely run again.
		/// \returns	The entry, or null when the table is full and nothing can be evicted.
		[[nodiscard]] request_entry* insert(const request_identity& id);

		/// Starts the retention time of an entry whose outcome is known.
		void retain(request_entry& entry, monotonic_time now);

		/// Stores a response if `max_kept_response_bytes` allows it, and sets `response_lost` otherwise.
		void keep_response(request_entry& entry, coap_bytes response);

		/// Removes entries whose retention time has passed.
		void expire(monotonic_time now);

		/// \name Matching of responses
		/// @{

		/// Binds a token on a flow to an entry.
		/// \returns	False when another request on the flow uses the token.
		[[nodiscard]] bool bind_token(request_entry& entry);

		/// Releases the token of an entry, so that a new request may use it.
		void release_token(const request_entry& entry);

		/// Returns the entry to which a token on a flow is bound, or null.
		[[nodiscard]] request_entry* find_by_token(flow_slot flow, const coap_token& token) noexcept;

		/// Records the message id of a separate response of the upstream.
		/// \returns	False when the id is already known, that is, for a retransmitted response.
		[[nodiscard]] bool note_response_id(flow_slot flow, std::uint16_t message_id, monotonic_time now);

		/// Releases all bindings of a flow whose socket is closed.
		void release_flow(flow_slot flow);

		/// Binds a delegation to its entry, replacing an earlier delegation.
		void bind_delegation(request_entry& entry, std::uint64_t sequence);

		/// Ends the delegation of an entry.
		void release_delegation(request_entry& entry);

		/// Returns the entry of a delegation, or null.
		[[nodiscard]] request_entry* find_delegation(std::uint64_t sequence) noexcept;
		/// @}

	private:
		struct response_id
		{
			std::uint16_t message_id = 0;
			monotonic_time expires{};
		};

		struct flow_bindings
		{
			std::vector<request_entry*> tokens;
			std::deque<response_id> responses;
		};

		void erase(request_entry& entry);

		std::size_t bound_;
		std::size_t response_bytes_ = 0;
		std::unordered_map<request_identity, request_entry, detail::request_hash> entries_;
		std::unordered_map<flow_slot, flow_bindings> flows_;
		std::unordered_map<std::uint64_t, request_entry*> delegations_;
		std::deque<request_entry*> retained_;
		std::deque<request_entry*> evictable_;
	};
}
