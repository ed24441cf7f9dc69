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
	/// How long an outcome is kept after it is known: EXCHANGE_LIFETIME of RFC 7252, section 4.8.2.
	inline constexpr std::chrono::seconds outcome_retention{247};

	/// Largest number of request outcomes kept for one upstream.
	inline constexpr std::size_t max_outcomes = 65'536;

	/// Largest sum of kept response bytes for one upstream. Repeats of a request whose response did not fit get
	/// "outcome unknown".
	inline constexpr std::size_t max_kept_response_bytes = std::size_t{32} << 20U;

	/// State of a request.
	enum class request_status : std::uint8_t
	{
		queued,    ///< Waits in front of the slots; not run.
		running,   ///< Handed to the upstream of this agent.
		delegated, ///< Handed to one peer.
		answered,  ///< The response is known.
		refused,   ///< Not run, and never will be under this identity.
		unknown,   ///< The caller was told that the outcome is unknown.
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

		/// Compares bytes and length.
		[[nodiscard]] friend constexpr bool operator==(const coap_token&, const coap_token&) noexcept = default;
	};

	/// Returns a copy of a parsed token.
	[[nodiscard]] coap_token make_coap_token(std::span<const std::byte> bytes) noexcept;

	/// What makes two datagrams the same request.
	struct request_identity
	{
		endpoint client;
		service_id service{};
		coap_token token;
		/// Not idempotent: the fencing token. Idempotent: the message id, since callers may use a token again for a new
		/// request. Delegated to this agent: upstream and incarnation of the coordinator and its sequence number.
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
		incarnation life{};                ///< Of the agent; a restarted agent has lost what it ran.
		std::uint32_t available_slots = 0; ///< Requests it can start at once, less those delegated since its report.

		/// Compares all parts.
		[[nodiscard]] friend constexpr bool operator==(const request_peer&, const request_peer&) noexcept = default;
	};

	/// Where a delegated request came from.
	struct request_coordinator
	{
		endpoint agent;
		upstream_id upstream{};
		incarnation life{};
		std::uint64_t sequence = 0;
	};

	/// One request and its outcome.
	struct request_entry
	{
		request_identity identity;
		request_status status = request_status::queued;
		reason why = reason::none; ///< Of `refused` and `unknown`.

		/// \name Request
		/// @{
		packet_header header; ///< Of the last datagram of the request; the response takes its path back.
		flow_slot flow{};
		coap_token token;
		std::uint16_t message_id = 0; ///< Of the datagram that is handed to the upstream.
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
		bool dispatched = false;                ///< An upstream may have seen it since the last proven "not run".
		bool may_have_run = false;              ///< An earlier placement ended without proof that it has not run.
		request_peer peer;                      ///< While delegated.
		std::uint64_t sequence = 0;             ///< Of the delegation; 0 when there is none.
		monotonic_time last_sent{};             ///< Last delegation packet.
		monotonic_time delegated_at{};
		std::optional<request_coordinator> coordinator; ///< Present when this agent is the delegate.
		/// @}

		/// \name Response
		/// @{
		coap_bytes response;
		bool response_lost = false; ///< The response did not fit into the bound.
		bool acknowledged = false;  ///< The caller has got an acknowledgement, so a response is a separate message.
		std::optional<std::uint16_t> response_id; ///< Of a separate confirmable response not acknowledged yet.
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

		/// Adds an entry in state `queued`. When the table is full, the oldest outcome of an idempotent request that
		/// ran leaves: running it again does no harm, unlike any other entry. \returns	The entry, or null when the
		/// table is full.
		[[nodiscard]] request_entry* insert(const request_identity& id);

		/// Starts the retention time of an entry whose outcome has become known.
		void retain(request_entry& entry, monotonic_time now);

		/// Keeps the bytes of a response within the bound.
		void keep_response(request_entry& entry, coap_bytes response);

		/// Removes entries whose retention time is over.
		void expire(monotonic_time now);

		/// \name Matching of responses
		/// @{

		/// Binds a token on a flow to an entry.
		/// \returns	False when another request holds the token.
		[[nodiscard]] bool bind_token(request_entry& entry);

		/// Frees the token of an entry, so that a new request may use it.
		void release_token(const request_entry& entry);

		/// Returns the entry to which a token on a flow is bound, or null.
		[[nodiscard]] request_entry* find_by_token(flow_slot flow, const coap_token& token) noexcept;

		/// Notes the message id of a separate response of the upstream.
		/// \returns	False when it was noted before: the response is a repeat.
		[[nodiscard]] bool note_response_id(flow_slot flow, std::uint16_t message_id, monotonic_time now);

		/// Forgets what is bound to a flow whose socket is closed.
		void release_flow(flow_slot flow);

		/// Binds a delegation to its entry, in place of an earlier one.
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
