#pragma once

#include "nutmegturn/steering/catalog.hpp"
#include "nutmegturn/steering/record_evidence.hpp"
#include "nutmegturn/steering/segment.hpp"
#include "nutmegturn/steering/work_report.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace nutmegturn::steering
{
	/// Types of messages between balancers and agents. Each message fits in one datagram.
	enum class message_kind : std::uint8_t
	{
		open = 1,    ///< Balancer to agent: opening packet of a new flow.
		flow_packet, ///< Balancer to agent: packet of a flow that the balancer believes the upstream to hold.
		probe,       ///< Balancer or relaying agent to agent: packet of a flow whose holder is unknown.
		probe_relay, ///< Balancer to agent: send the packet as `probe` to these agents.
		query,       ///< Balancer to agent: asks which of these flows the upstream holds.
		subscribe,   ///< Balancer to agent: subscribes to load reports and to held flows of the balancer's zone.
		held,        ///< Agent to balancer: the flow is open at the upstream.
		not_held,    ///< Agent to balancer: the upstream does not hold the flow.
		declined,    ///< Agent to balancer: returns an opening packet that the upstream does not accept now.
		load,        ///< Agent to balancer: load report without a flow.
		query_reply, ///< Agent to balancer: answers a query.
		held_flows,  ///< Agent to balancers of a zone: flows of that zone that the upstream holds.
		accepted     ///< Agent to balancer: the upstream answered the opening packet; the flow may open elsewhere.
	};

	/// Number of values that a message's kind can have on the wire, including the unused 0.
	inline constexpr std::size_t message_kind_count = static_cast<std::size_t>(message_kind::accepted) + 1;

	/// Returns the name for metrics.
	[[nodiscard]] std::string_view to_string(message_kind kind) noexcept;

	/// Messages of a process by kind. Searches multiply messages without a trace in the log, so both directions are
	/// counted.
	struct message_counts
	{
		std::array<std::uint64_t, message_kind_count> sent{};
		std::array<std::uint64_t, message_kind_count> received{};
	};

	/// Whether an agent accepts opening packets, and if not, why.
	enum class admission_status : std::uint8_t
	{
		accepting,
		other_service,        ///< The agent's upstream belongs to another service.
		draining,             ///< The upstream accepts no new flows.
		evacuated,            ///< The upstream's availability zone is evacuated.
		cold,                 ///< The upstream is in cold start; new flows are limited to a rate.
		full,                 ///< The upstream bounced the opening packet, its slots were taken for too long, or the
							  ///< agent's flow table is full.
		upstream_unreachable, ///< The upstream refuses or does not answer packets.
		stopping,             ///< The agent is shutting down.
		drained               ///< The agent is shutting down and its upstream holds no flow.
	};

	/// Returns the name for logs and metrics.
	[[nodiscard]] std::string_view to_string(admission_status state) noexcept;

	/// Load of an agent's upstream. Every message from an agent contains it.
	struct load_report
	{
		admission_status admission = admission_status::accepting;
		std::uint16_t requests_in_progress = 0; ///< Requests in progress, queued ones included.
		std::uint16_t open_flows = 0;           ///< Flows that the upstream holds.
		std::uint8_t failure_percent = 0;       ///< Percentage of recent requests that the upstream reset.
		std::uint16_t cold_admissions_left = 0; ///< New flows that a cold upstream still accepts in this second.
	};

	/// Message between two processes. Fields that a kind does not use keep their defaults. Names are sent in full: a
	/// shorter form of a name may be that of another name too, and the receiver could not tell. A name that is longer
	/// than `max_sent_name_size` is sent as the empty one, which names nothing.
	struct message
	{
		message_kind kind = message_kind::subscribe;
		std::string_view service;       ///< `open`: service chosen for the flow.
		std::uint64_t version = 0;      ///< Newest configuration version known to the sender.
		store_revision orders_revision; ///< Newest revision of `operator_orders` known to the sender.
		flow_id flow;                   ///< `held`, `not_held`, `accepted`.
		load_report load;               ///< All messages from agents.
		ipv4 other_balancer{};          ///< All messages from agents: a balancer other than the receiver, or zero.
		ipv4 reply_to{};                ///< `probe`: balancer that gets the reply.
		std::string_view zone;          ///< `subscribe`: the balancer's availability zone.
		bool just_started = false;      ///< `subscribe`: the balancer has just started and has an empty flow table.

		/// `open`, `flow_packet`, `probe`, `declined`, `not_held`: the caller's packet.
		/// `held_flows`, `query`: encoded flows. `query_reply`: encoded answers.
		/// `probe_relay`: the agents to probe and the caller's packet.
		/// `subscribe`, `load`: encoded `store_knowledge`. `load`: followed by an encoded `work_report`.
		std::span<const std::byte> packet;
	};

	/// Size of an encoded flow, in bytes.
	inline constexpr std::size_t encoded_flow_size = 12;

	/// Largest number of flows in one message, which keeps it within the usual datagram size.
	inline constexpr std::size_t max_flows_per_message = 100;

	/// Whether an upstream holds a flow, according to its agent.
	enum class flow_presence : std::uint8_t
	{
		held,
		not_held,
		unknown ///< The agent has not seen all flows of its upstream; only a probe can tell.
	};

	/// Answer for one flow of a query.
	struct flow_answer
	{
		flow_id flow;
		flow_presence presence = flow_presence::unknown;
	};

	/// Size of an encoded answer, in bytes.
	inline constexpr std::size_t encoded_answer_size = encoded_flow_size + 1;

	/// Encodes answers for a `query_reply` message.
	/// \param out	At least `encoded_answer_size` bytes per answer.
	void encode_answers(std::span<const flow_answer> answers, std::span<std::byte> out) noexcept;

	/// Decodes the answers of a `query_reply` message. Undefined presence values decode to `unknown`; bytes after the
	/// last whole answer are ignored.
	[[nodiscard]] std::vector<flow_answer> decode_answers(std::span<const std::byte> bytes);

	/// Encodes flows for a `held_flows` or `query` message.
	/// \param out	At least `encoded_flow_size` bytes per flow.
	void encode_flows(std::span<const flow_id> flows, std::span<std::byte> out) noexcept;

	/// Decodes the flows of a `held_flows` or `query` message; bytes after the last whole flow are ignored.
	[[nodiscard]] std::vector<flow_id> decode_flows(std::span<const std::byte> bytes);

	/// Payload of a `probe_relay` message.
	struct probe_relay_request
	{
		std::vector<ipv4> agents;
		std::span<const std::byte> packet; ///< The caller's packet.
	};

	/// Largest number of agents in one `probe_relay` message, which keeps it within the receiver's buffer.
	inline constexpr std::size_t max_probe_targets = 100;

	/// Encodes the payload of a `probe_relay` message.
	/// \param agents	At most `max_probe_targets`.
	[[nodiscard]] std::vector<std::byte> encode_probe_relay(std::span<const ipv4> agents,
															std::span<const std::byte> packet);

	/// Decodes the payload of a `probe_relay` message. Has no agents if the list is truncated.
	[[nodiscard]] probe_relay_request decode_probe_relay(std::span<const std::byte> bytes);

	/// What the sender of a `subscribe` or `load` message knows of the metadata store.
	struct store_knowledge
	{
		store_revision entry; ///< Newest known revision of the entry of the agent's upstream, or zero.
		record_evidence orders;
		record_evidence upstreams; ///< Of the whole group.
		bool pass_on = false;      ///< `subscribe`: the agent is to tell the other balancers at once.
	};

	/// Size of encoded knowledge, in bytes.
	inline constexpr std::size_t encoded_knowledge_size = 29;

	/// Encodes knowledge. Times are sent as ages, since processes share no clock. Evidence that is older than a minute
	/// or whose revision is too large for the field is left out.
	[[nodiscard]] std::array<std::byte, encoded_knowledge_size> encode_knowledge(const store_knowledge& knowledge,
																				 monotonic_time now) noexcept;

	/// Decodes knowledge. What the message lacks decodes to zero; processes of earlier releases send the entry's
	/// revision only.
	/// \param arrived	Time before which the message did not arrive. The decoded times are late by the time that it
	/// took
	///					on its way.
	[[nodiscard]] store_knowledge decode_knowledge(std::span<const std::byte> bytes, monotonic_time arrived) noexcept;

	/// Size of an encoded work report, in bytes.
	inline constexpr std::size_t encoded_work_report_size = 12;

	/// Largest outstanding work that is decoded. A false report thereby has a bounded effect on placements.
	inline constexpr std::chrono::milliseconds max_outstanding_work{60'000};

	/// Encodes a work report for the packet of a `load` message, where it follows the encoded knowledge. Values that do
	/// not fit their field are sent as the largest or smallest one that does.
	[[nodiscard]] std::array<std::byte, encoded_work_report_size>
	encode_work_report(const work_report& report) noexcept;

	/// Decodes the work report of a `load` message. An undefined priority decodes to none, and outstanding work is
	/// limited to `max_outstanding_work`.
	/// \param load_payload	Packet of the message.
	/// \returns				Nothing if the message has no whole report, as those of earlier releases.
	[[nodiscard]] std::optional<work_report> decode_work_report(std::span<const std::byte> load_payload) noexcept;

	/// Largest size of a message without its names and its `packet`, in bytes.
	inline constexpr std::size_t max_message_header_size = 48;

	/// Returns an upper bound of the encoded size of a message, in bytes.
	[[nodiscard]] std::size_t encoded_size_bound(const message& msg) noexcept;

	/// Encodes a message.
	/// \param out	At least `encoded_size_bound` bytes.
	/// \returns	Number of bytes written.
	std::size_t encode_message(const message& msg, std::span<std::byte> out) noexcept;

	/// Decodes a message.
	/// \returns	The message, whose packet and names refer to `bytes`, or nothing if it is malformed.
	[[nodiscard]] std::optional<message> decode_message(std::span<const std::byte> bytes) noexcept;
}
