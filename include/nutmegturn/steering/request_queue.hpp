#pragma once

#include "nutmegturn/steering/admission_order.hpp"
#include "nutmegturn/steering/message.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace nutmegturn::steering
{
	/// Packet of an open flow that waits at the agent. It carries data or FIN.
	struct queued_packet
	{
		flow_id flow;
		std::uint32_t sequence = 0;
		std::uint16_t payload_size = 0;
		bool fin = false;
		bool starts_request = false; ///< Its data begins a request.
		bool repeatable = false;     ///< The caller repeats the request if it gets no response.
		std::uint8_t priority = lowest_priority;
		std::uint32_t zone = 0; ///< Key of the zone of the balancer that sent it.
		monotonic_time queued_at{};
		monotonic_time since{}; ///< Arrival of the first copy of the request's first packet.
		std::vector<std::byte> bytes;
	};

	/// Requests on open flows that wait until the agent's upstream can start them, with the packets that follow them.
	///
	/// Load pattern: most requests arrive on flows that are open already, so that the order of opening packets alone
	/// leaves urgent requests behind those of a route that sends several times its usual rate. Upstreams start requests
	/// in the order of their delivery, so the less urgent ones wait before it. The newest goes first, since in an
	/// overload of open flows the oldest ones are late already.
	struct request_queue
	{
		std::deque<queued_packet> waiting; ///< In order of arrival. The first packet of each flow starts a request.
	};

	/// Capacity of the queue. The packets of a flow that exceeds it are delivered at once.
	inline constexpr std::size_t max_waiting_packets = 256;

	/// Longest time that a request waits. Callers retransmit data after 200 ms, so the copy of a request that was
	/// dropped arrives shortly after.
	inline constexpr milliseconds max_request_wait{150};

	/// What became of a packet that was to wait.
	enum class queue_result : std::uint8_t
	{
		added,
		duplicate, ///< The same packet waits already.
		full
	};

	/// Returns whether packets of a flow wait.
	[[nodiscard]] bool has_waiting_packets(const request_queue& queue, const flow_id& flow);

	/// Adds a packet behind those of its flow, unless it waits already or the queue is full.
	queue_result add_packet(request_queue& queue, queued_packet packet);

	/// Removes and returns the packets of a flow, in order of arrival.
	std::vector<queued_packet> take_packets(request_queue& queue, const flow_id& flow);

	/// Returns the flow whose request goes to the upstream next, by `choose_next`.
	[[nodiscard]] std::optional<flow_id> choose_waiting_flow(const request_queue& queue, const admission_usage& usage,
															 std::uint32_t slots, monotonic_time now);

	/// Returns the flow of the oldest request that has waited for `max_request_wait`.
	[[nodiscard]] std::optional<flow_id> find_overdue_flow(const request_queue& queue, monotonic_time now);

	/// Returns when the oldest request will have waited for `max_request_wait`.
	[[nodiscard]] std::optional<monotonic_time> next_request_deadline(const request_queue& queue);

	/// Returns the priorities of the waiting requests.
	[[nodiscard]] std::vector<std::uint8_t> priorities_of_requests(const request_queue& queue);
}
