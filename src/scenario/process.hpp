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

	/// Index of a process in `world::processes`.
	using process_index = std::size_t;

	/// Simulated balancer or agent with the state of its modules.
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

		/// \name Lifecycle
		/// @{
		bool alive = false;
		bool stopping = false;        ///< A planned stop has begun.
		std::uint64_t generation = 0; ///< Incremented at each start; callbacks of earlier generations are ignored.
		monotonic_time paused_until{};
		std::vector<std::function<void()>> deferred; ///< Callbacks that arrived during a pause.
		/// @}

		/// \name View
		/// @{
		std::shared_ptr<const routing_view> view;
		std::size_t view_number = 0;  ///< Index of the view in `world::views`.
		revision highest_revision{};  ///< Highest revision of a view in any generation.
		revision required_revision{}; ///< Revision in force everywhere when the process last resumed from a pause.
		monotonic_time last_tick{};   ///< Last tick of the control plane.
		std::unique_ptr<control_state> control; ///< Null if the run has no control plane.
		/// @}

		/// \name Agents only
		/// @{
		std::size_t upstream = 0; ///< Index in `world::upstreams`.
		std::optional<agent_state> agent;
		std::unique_ptr<request_host> requests; ///< Null if the run has no requests to this service.
		std::vector<std::uint64_t> sockets;     ///< Upstream socket of each flow slot; 0 for none.
		/// Flows on sockets up to this one may end without a violation: their agent died or paused, or their zone was
		/// taken out of rotation.
		std::uint64_t exempt_through_socket = 0;
		std::optional<monotonic_time> leaving_since; ///< Begin of a drain or planned stop, or removal of the record.
		std::optional<monotonic_time> zone_out_since;
		monotonic_time zone_changed_at{}; ///< Last time at which the zone was taken out of rotation or returned.
										  /// @}
	};
}
