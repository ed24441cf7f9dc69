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

	/// Configuration of an agent for one of its upstreams, fixed at start.
	struct agent_settings
	{
		upstream_id upstream{};
		service_id service{};
		endpoint agent;                   ///< Own data endpoint.
		std::uint32_t connections = 2000; ///< Largest number of held flows.
		std::size_t redirects = 65'536;   ///< Largest number of redirects.
		/// Time after a view change in which packets of unknown flows are searched for. It is more than twice the 8 s
		/// within which every process applies a configuration: with a second change 8 s after the first, a holder may
		/// never see the first view and so never announce its flows to the primary of that view.
		std::chrono::seconds search_window{18};
		std::chrono::seconds redirect_lifetime{15}; ///< Three announcement intervals.
		std::chrono::seconds announce_interval{5};
		std::chrono::seconds pause_limit{2}; ///< Longest gap between ticks; after a longer one forwarding stops.
	};

	/// Admission check for new flows in addition to the agent's own rules.
	struct admission_hook
	{
		/// Returns whether the upstream may accept another flow now; a null pointer accepts every flow.
		bool (*may_admit)(void* context, upstream_id upstream, monotonic_time now) = nullptr;
		void* context = nullptr;
	};

	/// Callbacks of the requests module. When set, they replace delivery to the upstream and answers to the caller for
	/// admitted flows.
	struct request_hooks
	{
		void (*on_caller_datagram)(void* context, agent_state&, flow_slot, const packet&, monotonic_time,
								   random_source&, action_list&) = nullptr;
		void (*on_upstream_datagram)(void* context, agent_state&, flow_slot, std::span<const std::byte>, monotonic_time,
									 action_list&) = nullptr;
		void (*on_tick)(void* context, agent_state&, monotonic_time, random_source&, action_list&) = nullptr;
		/// Called before a flow's entry is removed, while it is still readable.
		void (*on_release)(void* context, agent_state&, flow_slot, reason, monotonic_time, action_list&) = nullptr;
		void* context = nullptr;
	};

	/// Announcement of held flows, as flow hashes, to the agent of their primary or of another candidate of their
	/// chain.
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

	/// Counters of an agent; drops and releases are counted by reason.
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

	/// Phase of the hand-over from one process of an instance to the next.
	enum class handover_phase : std::uint8_t
	{
		none,
		exported, ///< The flows are exported to the next process; all packets are dropped.
		importing ///< Packets are dropped until the previous process's flows are imported or the wait times out.
	};

	/// A service's earlier view whose primaries may still hold flows.
	struct earlier_service_view
	{
		std::shared_ptr<const service_view> service;
		monotonic_time until;
	};

	/// State of an agent for one upstream; an agent process has one for each of its upstreams.
	struct agent_state
	{
		/// Creates the state of an agent that starts now without flows.
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

		/// Announcements to send; the host program takes them after each call.
		std::vector<redirect_announcement> announcements;

		/// \name Current and earlier views
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
		/// Flow copies last used before this time may be stale: after a pause or partition, another agent may hold a
		/// newer one.
		monotonic_time possibly_stale_before;
		monotonic_time search_window_end; ///< End of the search window.
		monotonic_time view_changed_at;   ///< Last change of the service's view, or last end of a pause or import.
		monotonic_time next_announcement;
		monotonic_time next_revision_notice; ///< Earliest time of the next `newer_revision`.
		monotonic_time tokens_refilled_at;   ///< Last refill of the tokens for new flows.
		/// @}

		double new_flow_tokens = 0;         ///< Tokens for new flows of a cold or warming upstream.
		std::size_t idle_scan_position = 0; ///< Last position visited by the idle scan.
		bool paused = false;                ///< Nothing is forwarded until the revision is confirmed.
		revision confirmed_revision{};      ///< Revision that a paused agent must reach to resume.
		bool announce_now = false;
		handover_phase handover = handover_phase::none;
	};

	/// Returns the state of an upstream in a process's list, or null.
	[[nodiscard]] agent_state* find_agent(std::span<agent_state> agents, upstream_id upstream) noexcept;
}
