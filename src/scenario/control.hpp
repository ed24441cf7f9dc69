#pragma once

#include "nutmegturn/config_relay.hpp"
#include "nutmegturn/config_store.hpp"
#include "nutmegturn/key_ring.hpp"
#include "nutmegturn/membership.hpp"
#include "nutmegturn/replay_filter.hpp"

#include "scenario/process.hpp"

#include <cstdint>
#include <vector>

namespace nutmegturn::scenario
{
	struct world;

	/// Control plane state of one process; the modules are those of the daemons.
	struct control_state
	{
		membership_state members;
		relay_state relay;
		config_store store;
		replay_filter replays;
		std::uint64_t last_message_number = 0;
		bool members_changed = true;
		bool view_changed = true;
		monotonic_time next_instance_list{};
		monotonic_time current_since{}; ///< When the view last became current.
		bool current = false;
	};

	/// Unanswered watch of the configuration service.
	struct pending_watch
	{
		process_index reader = 0;
		std::uint64_t generation = 0;
		revision after{};
		monotonic_time deadline{};
	};

	/// Simulated environment of the control planes of all processes.
	struct control_environment
	{
		bool enabled = false;
		key_ring keys;
		std::vector<pending_watch> watches;
		std::vector<bool> cut_off;        ///< By process: whether the configuration service is unreachable.
		monotonic_time reachable_since{}; ///< Last change of access to the service; ages count from it.
		std::uint64_t balancer_bytes = 0; ///< Control bytes that balancers sent and received.
		monotonic_time measured_since{};
	};

	/// Starts the control plane of a starting process.
	void start_control(world& w, process_index i);

	/// Announces the liveness and the upstream state of a process to the members.
	void announce_self(world& w, process_index i);

	/// Answers the watches that have newer records, have expired or fail because the service is down.
	void answer_watches(world& w);

	/// Processes the revision that a received packet names.
	void observe_packet_revision(world& w, process_index i, revision rev);

	/// Delivers the result of a read to the process that started it, unless it has restarted since.
	void finish_read(world& w, process_index i, std::uint64_t generation, const read_result& result);

	/// Returns whether a process may forward packets with its current view.
	[[nodiscard]] bool may_forward(const world& w, const process& it);
}
