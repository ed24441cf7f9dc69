#pragma once

#include "nutmegturn/steering/catalog.hpp"
#include "nutmegturn/steering/segment.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace nutmegturn::steering
{
	/// Messages between balancers and agents. All fit in one datagram.
	enum class message_kind : std::uint8_t
	{
		open = 1,    ///< Balancer to agent: opening packet for the agent's upstream.
		flow_packet, ///< Balancer to agent: packet of a flow that the upstream holds as far as the balancer knows.
		probe,       ///< To an agent: packet of a flow whose holder a balancer does not know.
		probe_relay, ///< Balancer to agent: send the packet as `search` to these agents.
		query,       ///< Balancer to agents: which of these flows does the upstream hold?
		subscribe,   ///< Balancer to agent: asks for load reports and for the flows of the balancer's zone.
		held,        ///< Agent to balancer: the upstream holds the flow.
		not_held,    ///< Agent to balancer: the upstream does not hold the flow.
		declined,    ///< Agent to balancer: the upstream takes no opening packet now; carries that packet.
		load,        ///< Agent to balancer: load report without a flow.
		query_reply, ///< Agent to balancer: answers to a query.
		held_flows   ///< Agent to the balancers of a zone: flows of that zone that the upstream holds.
	};

	/// Whether an agent takes opening packets, and if not, why.
	enum class admission_status : std::uint8_t
	{
		accepting,
		other_service,        ///< The agent's upstream belongs to another service.
		draining,             ///< The upstream takes no new work.
		evacuated,            ///< Its availability zone is evacuated.
		cold,                 ///< It bears no more new flows at the moment.
		full,                 ///< It returned opening packets.
		upstream_unreachable, ///< It refuses or does not answer.
		stopping,             ///< The agent is about to end.
		drained               ///< So is it, and its upstream holds no flow.
	};

	/// Returns the name for logs and metrics.
	[[nodiscard]] std::string_view to_string(admission_status state) noexcept;

	/// Load of an agent's upstream; part of every message from an agent.
	struct load_report
	{
		admission_status admission = admission_status::accepting;
		std::uint16_t requests_in_progress = 0; ///< Requests in progress, queued ones included.
		std::uint16_t open_flows = 0;           ///< Flows that it holds.
		std::uint8_t failure_percent = 0;       ///< Percentage of its last requests that it reset.
		std::uint16_t cold_admissions_left = 0; ///< New flows that it still bears in this second while it is cold.
	};

	/// Message between two processes. What a kind does not use stays at its default.
	struct message
	{
		message_kind kind = message_kind::subscribe;
		service_key service{};             ///< open: service chosen for the flow.
		std::uint64_t version = 0;         ///< Newest configuration that the sender knows.
		std::uint64_t orders_revision = 0; ///< Newest order of the operator that the sender knows.
		flow_id flow;                      ///< held, not_held.
		load_report load;                  ///< From agents.
		ipv4 other_balancer{};             ///< From agents: a balancer that is not the receiver, or zero.
		ipv4 reply_to{};                   ///< search: balancer that gets the answer.
		std::uint32_t zone = 0;            ///< greeting: key of the balancer's availability zone.
		bool just_started = false;         ///< greeting: the balancer has just started and knows no flows.

		/// open, carry, search, declined, not_held: the caller's packet. holdings, query: encoded flows. answers:
		/// encoded flows with a verdict each. spread: the agents and the caller's packet.
		std::span<const std::byte> packet;
	};

	/// Size of an encoded flow in a `holdings` message, in bytes.
	inline constexpr std::size_t encoded_flow_size = 12;

	/// Largest number of flows in one message, so that it fits in a usual datagram.
	inline constexpr std::size_t max_flows_per_message = 100;

	/// Whether an upstream holds a flow, as far as its agent knows.
	enum class flow_presence : std::uint8_t
	{
		held,
		not_held,
		unknown ///< The agent has not seen all flows of its upstream; only a packet of the flow tells.
	};

	/// Answer for one flow of a query.
	struct flow_answer
	{
		flow_id flow;
		flow_presence presence = flow_presence::unknown;
	};

	/// Size of an encoded answer, in bytes.
	inline constexpr std::size_t encoded_answer_size = encoded_flow_size + 1;

	/// Writes the answers of an `answers` message.
	/// \param out	At least `encoded_answer_size` bytes an answer.
	void encode_answers(std::span<const flow_answer> answers, std::span<std::byte> out) noexcept;

	/// Reads the answers of an `answers` message; an unknown verdict counts as unsure.
	[[nodiscard]] std::vector<flow_answer> decode_answers(std::span<const std::byte> bytes);

	/// Writes flows for a `holdings` or `query` message.
	/// \param out	At least `encoded_flow_size` bytes a flow.
	void encode_flows(std::span<const flow_id> flows, std::span<std::byte> out) noexcept;

	/// Reads the flows of a `holdings` or `query` message; bytes after the last whole flow are ignored.
	[[nodiscard]] std::vector<flow_id> decode_flows(std::span<const std::byte> bytes);

	/// Contents of a `spread` message.
	struct probe_relay_request
	{
		std::vector<ipv4> agents;
		std::span<const std::byte> packet; ///< The caller's.
	};

	/// Largest number of agents in one `spread` message, so that it fits into the receiver's buffer.
	inline constexpr std::size_t max_probe_targets = 100;

	/// Returns the contents of a `spread` message.
	/// \param agents	At most `max_probe_targets`.
	[[nodiscard]] std::vector<std::byte> encode_probe_relay(std::span<const ipv4> agents,
															std::span<const std::byte> packet);

	/// Reads the contents of a `spread` message; without agents when the list is cut.
	[[nodiscard]] probe_relay_request decode_probe_relay(std::span<const std::byte> bytes);

	/// Returns the key of an availability zone.
	[[nodiscard]] std::uint32_t key_of_zone(std::string_view name) noexcept;

	/// Largest size of a message without its packet, in bytes.
	inline constexpr std::size_t max_message_header_size = 48;

	/// Writes a message.
	/// \param out	At least `max_message_header_size` and the packet's size.
	/// \returns	Bytes written.
	std::size_t encode_message(const message& it, std::span<std::byte> out) noexcept;

	/// Reads a message.
	/// \returns	The message, whose packet points into `bytes`; nothing when it is malformed.
	[[nodiscard]] std::optional<message> decode_message(std::span<const std::byte> bytes) noexcept;
}
