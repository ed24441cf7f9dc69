#pragma once

#include "nutmegturn/steering/opening_queue.hpp"
#include "nutmegturn/steering/outstanding_work.hpp"
#include "nutmegturn/steering/request_queue.hpp"
#include "nutmegturn/steering/upstream_gate.hpp"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace nutmegturn::steering
{
	/// State of a flow at the agent's upstream, as far as the agent has seen.
	enum class flow_stage : std::uint8_t
	{
		unconfirmed, ///< A packet was forwarded; the upstream has not yet shown that it holds the flow.
		half_open,   ///< The upstream accepted the opening packet.
		open         ///< The upstream has sent data or acknowledgements.
	};

	/// Request that left the queue without being forwarded. A copy of it keeps its age.
	struct dropped_request
	{
		std::uint32_t sequence = 0; ///< Of its first packet.
		std::uint32_t copies = 0;   ///< Retransmissions that had arrived.
		monotonic_time arrived_at;
	};

	/// Flow table entry of an agent. The upstream's state is authoritative: a lost entry is rebuilt from its packets.
	struct agent_flow
	{
		flow_stage stage = flow_stage::unconfirmed;
		monotonic_time request_started;   ///< Arrival of the request in progress.
		bool request_in_progress = false; ///< The caller sent data and the upstream has not answered with data yet.
		bool request_delivered = false;   ///< The request in progress was forwarded to the upstream.
		bool slot_time_recorded = false;  ///< The first request is in `agent_state::usage` since the flow's admission.
		monotonic_time delivered_at;      ///< When the request in progress was forwarded.
		std::optional<dropped_request> last_dropped; ///< Latest request that left the queue without being forwarded.
		bool request_seen_from_start = false;        ///< Otherwise the cost of the request in progress is not learned.
		bool caller_closed = false;                  ///< The caller sent FIN.
		bool upstream_closed = false;                ///< The upstream sent FIN.
		bool sequence_known = false;                 ///< `highest_sequence` is valid.
		std::uint32_t highest_sequence = 0;          ///< End of the caller's newest data.
		std::uint32_t acknowledgement = 0;           ///< The caller's newest; a reset needs a sequence number near it.
		monotonic_time added_at;                     ///< Creation of this entry.
		monotonic_time last_used;
		std::vector<ipv4> waiting_balancers; ///< Balancers to notify whether the upstream holds the flow.
		ipv4 last_balancer{};                ///< Balancer that sent the last packet.
		bool opened_here = false;            ///< This process forwarded the opening packet.
		bool first_request_due = false;      ///< Opened here; the caller has not sent its first request yet.
		bool from_probe = false;             ///< Known from a probe only; another upstream may hold the flow.
		bool announced = false;              ///< The balancers of the caller's zone were notified of the holder.

		/// Opening packet that the upstream has not answered and that no packet of the caller has followed.
		std::vector<std::byte> opening_packet;
	};

	/// Availability zones by name, with the number that this process gave to each. Number 0 stands for no zone.
	struct zone_numbers
	{
		by_name<std::uint32_t> numbers; ///< At most `max_numbered_zones`.
	};

	/// Zones with a number of their own. Those beyond the bound are treated like balancers without a zone.
	inline constexpr std::size_t max_numbered_zones = 1'024;

	/// Returns the number of a zone, which is given one if it has none yet.
	/// \returns	0 for the empty name, and for a new zone at the bound.
	[[nodiscard]] std::uint32_t number_of_zone(zone_numbers& zones, std::string_view name);

	/// Balancer that subscribes to load reports.
	struct known_balancer
	{
		monotonic_time last_heard;
		std::uint32_t zone = 0; ///< Number of its availability zone in `agent_state::zones`.
	};

	/// Request that was forwarded and is not answered.
	struct unanswered_request
	{
		flow_id flow;
		std::uint8_t priority = lowest_priority;
		monotonic_time at;
	};

	/// Load report that was sent to a group of balancers.
	struct sent_report
	{
		load_report report;
		monotonic_time sent_at;
	};

	/// State of an agent.
	struct agent_state
	{
		upstream_gate gate;
		bool knows_all_flows = false;   ///< This process has seen every flow that the upstream can hold.
		monotonic_time watched_since{}; ///< Since then this process has seen every packet of its upstream's flows.
		monotonic_time last_sweep{};    ///< Last call of `sweep_flows`, or zero.
		bool upstream_is_older = false; ///< The upstream sent a packet of a flow from before this process started.
		std::unordered_map<flow_id, agent_flow, flow_id_hash> flows;
		std::size_t requests_in_progress = 0;       ///< Flows with a request in progress, waiting ones included.
		std::vector<unanswered_request> unanswered; ///< Recent ones, in order of time. Use `count_delivered_requests`.
		std::deque<monotonic_time> recent_openings; ///< Flows opened shortly before, without a request yet.
		opening_queue queue;
		request_queue requests;
		admission_usage usage;
		std::map<std::uint8_t, monotonic_time> returned_as_full{}; ///< Last return of an opening packet by priority.
		request_costs costs;                                       ///< Learned since this process started.
		outstanding_work work;                                     ///< Requests that were delivered to the upstream.
		std::uint32_t slots = 0; ///< Of the upstream, when the last request was delivered; 0 if unknown.
		std::unordered_map<ipv4, known_balancer> balancers; ///< Keyed by instance.
		zone_numbers zones;                                 ///< Of the balancers.
		double failure_ratio = 0;          ///< Moving average of the share of requests that the upstream reset.
		monotonic_time failure_ratio_at{}; ///< Last update of `failure_ratio`.
		sent_report near_report;           ///< Last one to the balancers of the agent's zone.
		sent_report far_report;            ///< Last one to those of other zones.
	};
}
