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
		std::uint32_t zone = 0; ///< Number of the zone of the balancer that sent it.
		monotonic_time queued_at{};
		std::uint32_t copies = 0; ///< Retransmissions that arrived since.
		milliseconds timeout{0};  ///< After which a response would come too late; 0 if none.
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

	/// Longest time that a request waits if its caller does not repeat it. Callers retransmit data after 200 ms; a
	/// shorter wait causes no copies.
	inline constexpr milliseconds max_request_wait{150};

	/// Returns the age, from its arrival, at which a request is taken to be abandoned if no further copy arrives.
	/// \param timeout	After which the caller gives up in any case; 0 if none.
	/// \param copies	Retransmissions so far. The next one is due 200 ms after the request, and each further one after
	///				twice the previous interval, at most 1.6 s.
	[[nodiscard]] milliseconds request_abandonment_age(std::uint32_t copies, milliseconds timeout) noexcept;

	/// What became of a packet that was to wait.
	enum class queue_result : std::uint8_t
	{
		added,
		duplicate, ///< The same packet waits already; its copies are counted.
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

	/// Returns the flow of the oldest request that has waited for `max_request_wait` and is not repeated.
	[[nodiscard]] std::optional<flow_id> find_overdue_flow(const request_queue& queue, monotonic_time now);

	/// Returns the flow of the oldest request whose caller has gone.
	[[nodiscard]] std::optional<flow_id> find_abandoned_flow(const request_queue& queue, monotonic_time now);

	/// Returns when the first of the waiting requests becomes overdue or abandoned.
	[[nodiscard]] std::optional<monotonic_time> next_request_deadline(const request_queue& queue);

	/// Returns the priorities of the waiting requests.
	[[nodiscard]] std::vector<std::uint8_t> priorities_of_requests(const request_queue& queue);
}
