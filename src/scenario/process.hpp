#pragma once

#include "nutmegturn/agent.hpp"
#include "nutmegturn/member.hpp"
#include "nutmegturn/random.hpp"
#include "nutmegturn/routing_view.hpp"
#include "nutmegturn/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace nutmegturn::scenario
{
	struct control_state;
	struct request_host;

	/// Position of a process in its world.
	using process_index = std::size_t;

	/// Balancer or agent of a run with the state that the decisions keep for it.
	struct process
	{
		process();
		~process();
		process(const process&) = delete;
		process(process&&) = delete;
		process& operator=(const process&) = delete;
		process& operator=(process&&) = delete;

		member info;
		random_source random{0};

		/// \name Life
		/// @{
		bool alive = false;
		bool stopping = false;        ///< A planned stop has begun.
		std::uint64_t generation = 0; ///< Tells callbacks of an earlier life apart.
		monotonic_time paused_until{};
		std::vector<std::function<void()>> deferred; ///< What arrived during a pause.
		/// @}

		/// \name View
		/// @{
		std::shared_ptr<const routing_view> view;
		std::size_t view_number = 0;            ///< Position among the views handed out without a control plane.
		revision highest_revision{};            ///< Highest revision of a view in any life.
		revision required_revision{};           ///< In force everywhere when the process woke up from its last pause.
		monotonic_time last_tick{};             ///< Of the control plane.
		std::unique_ptr<control_state> control; ///< Null when the run has no control plane.
		/// @}

		/// \name Agents only
		/// @{
		std::size_t upstream = 0; ///< Position in the list of upstreams of the world.
		std::optional<agent_state> agent;
		std::unique_ptr<request_host> requests; ///< Null when the run has no requests to this service.
		std::vector<std::uint64_t> sockets;     ///< Socket of each flow slot, 0 for none.
		/// Flows on sockets up to this one may end: their agent died or paused, or their zone was taken out.
		std::uint64_t exempt_through_socket = 0;
		std::optional<monotonic_time> leaving_since; ///< First signal that the upstream leaves.
		std::optional<monotonic_time> zone_out_since;
		monotonic_time zone_changed_at{}; ///< Last time at which the zone left or returned.
										  /// @}
	};
}
