#pragma once

#include "nutmegturn/steering/message.hpp"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace nutmegturn::steering
{
	/// Packet of a caller that waits for the result of a search.
	struct waiting_packet
	{
		std::vector<std::byte> bytes;
		bool probed = false; ///< It was sent to the instances in `pending_search::probed`.
	};

	/// Search for the holder of one flow, with the caller's packets.
	struct pending_search
	{
		std::vector<waiting_packet> packets; ///< In order of arrival, at most `max_search_packets`.
		std::uint32_t acknowledgement = 0;   ///< The caller's newest; a reset needs a sequence number near it.
		std::vector<ipv4> candidates;        ///< Instances that were queried; they may hold the flow.
		std::uint32_t rounds = 1;        ///< Rounds of queries; each includes instances that were not queried before.
		std::vector<ipv4> probe_targets; ///< Instances that the packet is still to be sent to as a probe.
		std::vector<ipv4> probed;        ///< Instances that were sent the packet as a probe.
		std::vector<ipv4> query_recipients; ///< Recipients of the next query.
		std::vector<ipv4> unresponsive;     ///< Required instances that have not answered at all.
		std::vector<ipv4> awaiting_denial;  ///< Required instances that have not denied the flow.
		monotonic_time searched_since; ///< Arrival of the packet that started the search; the flow was open by then.
		monotonic_time started_at;     ///< Start of the latest round.
		monotonic_time last_query_at;  ///< When the last query was queued.
		std::optional<monotonic_time> denied_at; ///< When the last required instance denied the flow.
	};

	/// Flow that is probed in other zones if its holder is not found in this balancer's zone.
	struct far_probe
	{
		flow_id flow;
		monotonic_time due;
	};

	/// Searches for the holders of flows that are missing in this balancer's flow table.
	///
	/// Load pattern: after a power loss or a restart of many processes, all callers continue flows that no process
	/// knows. Queries are batched and do not contain the packets, so that links of a few Mbit/s suffice. The caller of
	/// a flow that no upstream holds gets a reset at once.
	struct holder_search
	{
		std::unordered_map<flow_id, pending_search, flow_id_hash> pending;
		std::vector<flow_id> unsent_queries; ///< Flows whose queries have not been sent.
		std::vector<flow_id> unsent_probes;  ///< Flows whose probes have not been sent.
		std::vector<far_probe> far_probes;   ///< Flows that were probed in this balancer's zone only, oldest first.
	};

	/// Largest number of concurrent searches; packets that need another one are dropped.
	inline constexpr std::size_t max_searches = 1'024;

	/// Largest number of packets that wait for one search; the oldest is dropped for another one. A request with a
	/// body of a few kilobytes fits.
	inline constexpr std::size_t max_search_packets = 4;

	/// Shortest time between two batches of queries. A query that follows a pause is sent at once.
	inline constexpr milliseconds query_interval{10};

	/// Age from which the flow's next packet restarts a search, and interval at which queries are repeated.
	inline constexpr milliseconds search_timeout{150};

	/// Largest number of rounds of queries in one search. Upstreams that register one after the other during a search
	/// each start a round; a search that needs more of them expires, and the flow's next packet starts another one.
	inline constexpr std::uint32_t max_search_rounds = 8;

	/// Next action of a search.
	struct search_step
	{
		enum class action : std::uint8_t
		{
			none,
			deliver, ///< The agent's upstream holds the flow: forward the packets to it.
			probe,   ///< The agent cannot tell whether its upstream holds the flow: send the packet as a probe.
			reset    ///< No upstream holds the flow: send a reset to the caller.
		};

		action what = action::none;
		flow_id flow;
		std::vector<std::vector<std::byte>> packets; ///< `deliver`: packets to forward, in order of arrival.
		std::uint32_t acknowledgement = 0;
	};

	/// Returns whether a packet of this flow must be dropped because its search cannot be added.
	[[nodiscard]] bool search_table_full(const holder_search& search, const flow_id& id);

	/// Starts the search for a flow, or adds a packet to a running one.
	/// \param candidates	Instances that may hold the flow.
	/// \param required		Instances that must deny the flow before it is declared lost.
	/// \returns			Whether a query has to be sent.
	bool begin_search(holder_search& search, const flow_id& id, std::span<const std::byte> packet,
					  std::uint32_t acknowledgement, std::vector<ipv4> candidates, std::vector<ipv4> required,
					  monotonic_time now);

	/// Removes and returns the queries to send, by instance.
	[[nodiscard]] std::map<ipv4, std::vector<flow_id>> take_queries(holder_search& search);

	/// Queues queries again to the required instances that have not answered. Processes that start together miss each
	/// other's first messages, and callers retransmit only after up to 1.6 s.
	/// \returns	Whether queries have to be sent.
	bool repeat_queries(holder_search& search, monotonic_time now);

	/// Handles one agent's answer for a flow.
	/// \param complete	Whether the catalog lists all upstreams, so that a flow that all deny is lost.
	[[nodiscard]] search_step handle_query_answer(holder_search& search, ipv4 agent, const flow_answer& answer,
												  monotonic_time now, bool complete);

	/// Packet to send as a probe to upstreams whose agents cannot tell whether they hold its flow.
	struct holder_probe
	{
		ipv4 relay{};             ///< Agent that gets the packet and relays it to the others.
		std::vector<ipv4> agents; ///< Agents of the upstreams to probe, including the relay.
		std::vector<std::byte> packet;
	};

	/// Time for which answers are collected before probes are sent.
	inline constexpr milliseconds probe_delay{5};

	/// Time for which an answer from this balancer's zone is awaited before upstreams in other zones are probed.
	inline constexpr milliseconds far_probe_delay{15};

	/// Removes and returns the probes to send. A flow is probed at the instances in `near` first, if any of them is to
	/// be probed, since most flows are placed in their caller's zone and bandwidth between zones is scarce. The flow is
	/// then added to `far_probes`.
	///
	/// Load pattern: after all agents restart while their upstreams keep running, each flow has to be probed at all of
	/// them. A small balancer with a link of 11 Mbit/s cannot send every packet to 53 instances, but an agent can.
	///
	/// \param near	Instances in this balancer's zone; empty to probe everywhere at once.
	[[nodiscard]] std::vector<holder_probe> take_probes(holder_search& search, std::span<const ipv4> near,
														monotonic_time now);

	/// Removes and returns the due probes to other zones, for searches that did not end in this balancer's zone.
	[[nodiscard]] std::vector<holder_probe> take_far_probes(holder_search& search, monotonic_time now);

	/// Ends the search for a flow whose holder became known by another message.
	/// \returns	`deliver` with the packets that the holder did not get as a probe; `none` if there are none, or if
	/// there
	///				is no such search.
	[[nodiscard]] search_step finish_search(holder_search& search, const flow_id& id, ipv4 agent);

	/// Returns the flows that all required instances have denied.
	[[nodiscard]] std::vector<flow_id> denied_flows(const holder_search& search);

	/// Returns the latest start of a search whose flow was denied, or zero if there is none. A catalog that is complete
	/// as of then lists the upstreams of all denied flows.
	[[nodiscard]] monotonic_time latest_denied_search(const holder_search& search);

	/// Decides about a denied flow: queries required instances that were not queried yet, or resets the flow. Since a
	/// search queries each instance in one round only, it ends.
	///
	/// Load pattern: after a power loss upstreams register one after the other while all callers continue flows that no
	/// upstream holds, so every search meets upstreams that were added after its first round.
	/// \param required	Instances that must deny the flow according to the current catalog.
	/// \param current	Whether the catalog is known to be complete as of the start of the search or later.
	[[nodiscard]] search_step confirm_denied(holder_search& search, const flow_id& id,
											 const std::vector<ipv4>& required, monotonic_time now, bool current);

	/// Search that timed out.
	struct expired_search
	{
		flow_id flow;
		std::vector<ipv4> unanswered; ///< Required instances that did not deny the flow.
		std::uint32_t rounds = 0;     ///< Rounds of queries.
	};

	/// Removes searches that timed out.
	/// \returns	The removed searches; their callers get no reply.
	std::vector<expired_search> expire_searches(holder_search& search, monotonic_time now);
}
