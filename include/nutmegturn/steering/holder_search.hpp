#pragma once

#include "nutmegturn/steering/message.hpp"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace nutmegturn::steering
{
	/// Flow whose holder is being looked for, with the newest packet of its caller.
	struct pending_search
	{
		std::vector<std::byte> packet;
		std::uint32_t acknowledgement = 0;  ///< Newest one of the caller; a reset must be near it.
		std::vector<ipv4> candidates;       ///< Instances that may hold the flow.
		std::vector<ipv4> probe_targets;    ///< Instances that are to get the packet as a trial.
		std::vector<ipv4> probed;           ///< Instances that got it.
		std::vector<ipv4> query_recipients; ///< Instances that the next query goes to.
		std::vector<ipv4> unresponsive;     ///< Those whose answer is needed and that have said nothing yet.
		std::vector<ipv4> awaiting_denial;  ///< Those whose answer is still needed to call the flow gone.
		monotonic_time started_at;
		monotonic_time last_query_at;            ///< When the last query became due.
		std::optional<monotonic_time> denied_at; ///< When the last needed answer came and nobody held the flow.
	};

	/// Searches for the holders of flows that this balancer does not know.
	///
	/// Load pattern: after a power loss or a restart of many processes all callers go on with flows of which no process
	/// knows anything. Flows are asked for together, in short messages without their packets, so that links of a few
	/// Mbit/s bear it; a caller whose flow nobody holds is told at once.
	struct holder_search
	{
		std::unordered_map<flow_id, pending_search, flow_id_hash> pending;
		std::vector<flow_id> unsent_queries; ///< Searches whose queries have not been sent.
		std::vector<flow_id> unsent_probes;  ///< Searches with trials that have not been sent.
	};

	/// Largest number of flows that are searched at the same time; packets of others are dropped.
	inline constexpr std::size_t max_searches = 1'024;

	/// Time for which packets are collected before the agents are asked.
	inline constexpr milliseconds query_delay{10};

	/// A search without a result is begun anew by a packet that comes later than this.
	inline constexpr milliseconds search_timeout{150};

	/// What follows from an answer.
	struct search_step
	{
		/// Kinds of steps.
		enum class action : std::uint8_t
		{
			none,
			deliver, ///< The agent's upstream holds the flow: send the packet there.
			probe,   ///< Only the packet tells whether the agent's upstream holds the flow: a trial is due.
			reset    ///< Nobody holds the flow: reset it.
		};

		action what = action::none;
		flow_id flow;
		std::vector<std::byte> packet;
		std::uint32_t acknowledgement = 0;
	};

	/// Returns whether no further search can begin, so that a packet of this flow has to be dropped.
	[[nodiscard]] bool search_table_full(const holder_search& search, const flow_id& id);

	/// Begins or joins the search for a flow.
	/// \param candidates	Instances that may hold it.
	/// \param required	Those whose answer is needed to call it gone.
	/// \returns		Whether a query has to be sent.
	bool begin_search(holder_search& search, const flow_id& id, std::span<const std::byte> packet,
					  std::uint32_t acknowledgement, std::vector<ipv4> candidates, std::vector<ipv4> required,
					  monotonic_time now);

	/// Returns the queries that are due, by instance.
	[[nodiscard]] std::map<ipv4, std::vector<flow_id>> take_queries(holder_search& search);

	/// Makes queries due again for searches whose needed answers did not come, to those instances alone. Processes that
	/// start together miss each other's first messages, and callers repeat a packet only after up to 1.6 s.
	/// \returns	Whether queries have to be sent.
	bool repeat_queries(holder_search& search, monotonic_time now);

	/// Takes one answer.
	/// \param complete	Whether the catalog names all upstreams, so that a flow without holder is gone.
	[[nodiscard]] search_step handle_query_answer(holder_search& search, ipv4 agent, const flow_answer& it,
												  monotonic_time now, bool complete);

	/// Packet that is tried at some upstreams because their agents cannot know whether they hold its flow.
	struct holder_probe
	{
		ipv4 relay{};             ///< Agent that gets the packet and passes it on to the others.
		std::vector<ipv4> agents; ///< Agents of the upstreams to try, the receiver included.
		std::vector<std::byte> packet;
	};

	/// Time for which answers are collected before a packet is tried.
	inline constexpr milliseconds probe_delay{5};

	/// Returns the trials that are due.
	///
	/// Load pattern: when all agents restart beside living upstreams, each flow has to be tried at all of them. A small
	/// balancer with a link of 11 Mbit/s cannot send every packet to 53 instances, but an agent can.
	[[nodiscard]] std::vector<holder_probe> take_probes(holder_search& search);

	/// Ends the search for a flow whose holder became known otherwise. The packet goes there unless a trial brought it.
	[[nodiscard]] search_step finish_search(holder_search& search, const flow_id& id, ipv4 agent);

	/// Returns the flows that all have denied.
	[[nodiscard]] std::vector<flow_id> denied_flows(const holder_search& search);

	/// Decides about a flow that all have denied: asks upstreams that were not asked yet, or gives the flow up.
	/// \param required	Instances whose answer is needed by the present catalog.
	/// \param current	Whether the catalog is known to be up to date since the denial.
	[[nodiscard]] search_step confirm_denied(holder_search& search, const flow_id& id,
											 const std::vector<ipv4>& required, monotonic_time now, bool current);

	/// Search that ended without a result.
	struct expired_search
	{
		flow_id flow;
		std::vector<ipv4> unanswered; ///< Instances whose answer was missing.
	};

	/// Forgets searches that got no result.
	/// \returns	Those searches, whose callers are left without an answer.
	std::vector<expired_search> expire_searches(holder_search& search, monotonic_time now);
}
