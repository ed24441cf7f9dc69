#pragma once

#include "nutmegturn/steering/admission_order.hpp"
#include "nutmegturn/steering/message.hpp"

#include <optional>
#include <vector>

namespace nutmegturn::steering
{
	/// Opening packet that waits until the agent's upstream can start its request.
	struct waiting_opening
	{
		flow_id flow;
		ipv4 balancer{};           ///< Balancer that sent the packet.
		std::string service;       ///< Service chosen by the balancer.
		std::uint64_t version = 0; ///< Configuration version of the balancer.
		std::vector<std::byte> packet;
		monotonic_time opened_at; ///< When the caller sent the first copy of the packet.
		monotonic_time queued_at;
		std::uint32_t copy = 0;  ///< Number of the newest copy that arrived, 0 for the first one.
		milliseconds timeout{0}; ///< After which the caller gives up, according to the route; 0 if none.
		std::uint8_t priority = lowest_priority; ///< The same for all packets of a service without priorities.
		std::uint32_t zone = 0;                  ///< Number of the balancer's zone.
	};

	/// Opening packets that wait for an upstream whose slots are all taken.
	///
	/// Load pattern: after a power loss the callers of a whole second come back together with those that call just
	/// then, and for the next second upstreams have more requests than slots. Served in order of arrival, every request
	/// of that second misses its latency target. The newest goes first: callers that have just opened their flow are
	/// answered in time, and those that are late already are served in the slots that remain. If the routes of the
	/// service differ in priority, the priority goes before the time.
	struct opening_queue
	{
		std::vector<waiting_opening> waiting; ///< In order of `opened_at`.
	};

	/// Work that an upstream does before waiting opening packets.
	struct work_ahead
	{
		std::uint32_t slots = 1;
		milliseconds mean_cost{0};                  ///< Mean slot time of a request; 0 if unknown.
		std::size_t requests = 0;                   ///< All of them: delivered, waiting, and due shortly.
		std::vector<std::uint8_t> delivered;        ///< Priorities of recently delivered requests.
		std::vector<std::uint8_t> waiting_requests; ///< Priorities of the requests that wait on open flows.
	};

	/// Requests in progress, as a multiple of the upstream's slots, from which opening packets wait at the agent:
	/// while it is not reached, an upstream has a request at hand for each slot that becomes free.
	inline constexpr std::size_t queued_requests_ratio = 2;

	/// The same for requests of all priorities, where opening packets do not wait for less urgent requests: besides
	/// those in its slots, an upstream queues about four times as many and rejects further requests.
	inline constexpr std::size_t all_requests_ratio = 5;

	/// Capacity of the queue; the oldest packet of the least urgent priority leaves it for another one.
	inline constexpr std::size_t max_waiting_openings = 128;

	/// Longest time that an opening packet waits. It is then returned to its balancer, which tries another upstream or
	/// rejects the flow, so that callers do not wait for their own timeout.
	inline constexpr milliseconds max_opening_wait{400};

	/// Returns how long ago the caller sent the first copy of an opening packet.
	/// \param copy	Number of the copy, 0 for the first one.
	[[nodiscard]] milliseconds age_of_copy(std::uint32_t copy) noexcept;

	/// Returns the age, from its first copy, at which an opening packet is taken to be abandoned if no further copy
	/// arrives: the next copy is overdue, or the caller's timeout has passed. A caller that gives up sends nothing.
	/// \param copy	Number of the newest copy that arrived.
	/// \param timeout	After which the caller gives up, according to the route; 0 if none.
	[[nodiscard]] milliseconds opening_abandonment_age(std::uint32_t copy, milliseconds timeout) noexcept;

	/// Adds an opening packet. A copy of one that waits already replaces it and keeps its times.
	/// \returns	A packet of the least urgent priority, the oldest of them, if the queue was full.
	std::optional<waiting_opening> add_opening(opening_queue& queue, waiting_opening opening);

	/// Removes the packet of a flow, if it waits.
	void remove_opening(opening_queue& queue, const flow_id& flow);

	/// Removes and returns the packet whose caller opened its flow last.
	std::optional<waiting_opening> take_newest_opening(opening_queue& queue);

	/// Returns whether opening packets of a priority wait.
	///
	/// Load pattern: in a flood of the lowest class on open flows, its requests alone are more than twice the slots for
	/// a second and longer. Urgent opening packets that wait for them are not answered in time, although the upstream
	/// would serve them after the few requests that it has.
	[[nodiscard]] bool is_saturated_for(const work_ahead& ahead, std::uint8_t priority);

	/// Removes and returns the packet that `choose_next` names among those whose request can start soon.
	std::optional<waiting_opening> take_next_opening(opening_queue& queue, const admission_usage& usage,
													 const work_ahead& ahead, monotonic_time now);

	/// Removes and returns the packets that have waited for `max_opening_wait`.
	std::vector<waiting_opening> take_overdue_openings(opening_queue& queue, monotonic_time now);

	/// Removes and returns the packets whose callers have gone.
	std::vector<waiting_opening> take_abandoned_openings(opening_queue& queue, monotonic_time now);

	/// Returns the time until an opening packet is forwarded, judging by the work before it. Packets that arrive later
	/// and go first are not foreseen, so it is a lower bound.
	/// \param newer	Waiting packets of the same priority that go first.
	[[nodiscard]] milliseconds expected_wait(const opening_queue& queue, const work_ahead& ahead, std::uint8_t priority,
											 std::size_t newer);

	/// Removes and returns the packets whose turn cannot come before they have waited for `max_opening_wait`. Their
	/// balancers have more time to try another upstream than after the whole wait.
	std::vector<waiting_opening> take_unservable_openings(opening_queue& queue, const work_ahead& ahead,
														  monotonic_time now);
}
