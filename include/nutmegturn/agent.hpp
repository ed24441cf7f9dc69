#pragma once

#include "nutmegturn/action.hpp"
#include "nutmegturn/endpoint.hpp"
#include "nutmegturn/flow_table.hpp"
#include "nutmegturn/ids.hpp"
#include "nutmegturn/load_report.hpp"
#include "nutmegturn/member.hpp"
#include "nutmegturn/packet.hpp"
#include "nutmegturn/placement.hpp"
#include "nutmegturn/random.hpp"
#include "nutmegturn/reason.hpp"
#include "nutmegturn/redirect_table.hpp"
#include "nutmegturn/routing_view.hpp"
#include "nutmegturn/time.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace nutmegturn
{
	struct agent_state;

	/// What an agent is told at its start about one of its upstreams.
	struct agent_settings
	{
		upstream_id upstream{};
		service_id service{};
		endpoint agent;                   ///< Own data endpoint.
		std::uint32_t connections = 2000; ///< Largest number of held flows.
		std::size_t redirects = 65'536;   ///< Largest number of redirects.
		/// More than twice the 8 s in which a configuration is in force everywhere: with a second change 8 s after the
		/// first, a holder may skip the first one and never announce its flows to the primary of that view.
		std::chrono::seconds search_window{18};
		std::chrono::seconds redirect_lifetime{15}; ///< Three announcement intervals.
		std::chrono::seconds announce_interval{5};
		std::chrono::seconds pause_limit{2}; ///< Time without a tick after which the agent stops forwarding.
	};

	/// Decides about new flows beside the agent's own rules.
	struct admission_hook
	{
		/// Returns whether the upstream accepts one more flow now; null accepts always.
		bool (*may_admit)(void* context, upstream_id upstream, monotonic_time now) = nullptr;
		void* context = nullptr;
	};

	/// Functions of the requests module. When set, they take the place of delivering and answering for admitted flows.
	struct request_hooks
	{
		void (*on_caller_datagram)(void* context, agent_state&, flow_slot, const packet&, monotonic_time,
								   random_source&, action_list&) = nullptr;
		void (*on_upstream_datagram)(void* context, agent_state&, flow_slot, std::span<const std::byte>, monotonic_time,
									 action_list&) = nullptr;
		void (*on_tick)(void* context, agent_state&, monotonic_time, random_source&, action_list&) = nullptr;
		/// Called before a flow's entry goes; the entry is still readable.
		void (*on_release)(void* context, agent_state&, flow_slot, reason, monotonic_time, action_list&) = nullptr;
		void* context = nullptr;
	};

	/// Flow hashes that a holder announces to the agent of their primary.
	struct redirect_announcement
	{
		service_id service{};
		upstream_id holder{};
		endpoint holder_agent;
		upstream_id primary{};
		endpoint destination;              ///< Data endpoint of the primary's agent.
		bool possibly_stale = false;       ///< Not used since a pause or partition; a newer copy may exist elsewhere.
		std::vector<std::uint64_t> hashes; ///< At most `max_announced_hashes`.
	};

	/// Largest number of hashes in one announcement.
	inline constexpr std::size_t max_announced_hashes = 1000;

	/// Counts of what an agent did, by reason where there is one.
	struct agent_counters
	{
		std::uint64_t delivered = 0;
		std::uint64_t admitted = 0;
		std::uint64_t forwarded = 0;
		std::uint64_t redirected = 0;
		std::uint64_t searched = 0;
		std::uint64_t placed = 0;
		std::uint64_t answered = 0;
		std::array<std::uint64_t, static_cast<std::size_t>(reason::count)> dropped{};
		std::array<std::uint64_t, static_cast<std::size_t>(reason::count)> released{};
	};

	/// Where an agent stands in the hand-over from one process of its instance to the next.
	enum class handover_phase : std::uint8_t
	{
		none,
		exported, ///< Its flows belong to the next process; it drops all packets.
		importing ///< It drops packets until it has the flows of the earlier process, or the wait is over.
	};

	/// A service's earlier view whose primaries may still hold flows.
	struct earlier_service_view
	{
		std::shared_ptr<const service_view> service;
		monotonic_time until;
	};

	/// State of an agent for one upstream; an agent process holds one of these for each of its upstreams.
	struct agent_state
	{
		/// Creates the state of an agent that starts now and holds nothing.
		explicit agent_state(const agent_settings& config, monotonic_time now);

		agent_settings settings;
		upstream_run_state run_state = upstream_run_state::serving; ///< Set by the host program.
		std::uint32_t requests_in_progress = 0;                     ///< Set by the requests module.
		std::uint32_t request_limit = 0;                            ///< Set by the requests module.
		admission_hook admission;
		request_hooks requests;

		flow_table flows;
		redirect_table redirects;
		placement_state placement;
		agent_counters counters;

		/// Announcements to be sent; the host program takes them after each call.
		std::vector<redirect_announcement> announcements;

		/// \name Knowledge of the view
		/// @{
		revision rev{};
		std::shared_ptr<const service_view> service;
		std::vector<earlier_service_view> earlier_views;
		std::vector<endpoint> balancers;
		bool zone_out = false;
		/// @}

		/// \name Times
		/// @{
		monotonic_time last_tick;
		/// Copies of flows that were last used before this may have a newer one elsewhere, after a pause or partition.
		monotonic_time possibly_stale_before;
		monotonic_time search_window_end; ///< End of the search window.
		monotonic_time view_changed_at;   ///< Last change of the service's view, or last resumption.
		monotonic_time next_announcement;
		monotonic_time next_revision_notice; ///< Earliest time of the next `newer_revision`.
		monotonic_time tokens_refilled_at;   ///< Last refill of the tokens for new flows.
		/// @}

		double new_flow_tokens = 0;         ///< New flows that a cold upstream may admit now.
		std::size_t idle_scan_position = 0; ///< Next position of the idle scan.
		bool paused = false;                ///< Nothing is forwarded until the revision is confirmed.
		revision confirmed_revision{};      ///< Revision that a paused agent has to reach.
		bool announce_now = false;
		handover_phase handover = handover_phase::none;
	};

	/// Returns the state of an upstream in a process's list, or null.
	[[nodiscard]] agent_state* find_agent(std::span<agent_state> agents, upstream_id upstream) noexcept;
}
