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

	/// Control plane of one process, as the daemons run it.
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

	/// Watch of the configuration service that is under way.
	struct pending_watch
	{
		process_index reader = 0;
		std::uint64_t generation = 0;
		revision after{};
		monotonic_time deadline{};
	};

	/// What surrounds the control planes of all processes.
	struct control_environment
	{
		bool enabled = false;
		key_ring keys;
		std::vector<pending_watch> watches;
		std::vector<bool> cut_off;        ///< By process: the configuration service cannot be reached.
		monotonic_time reachable_since{}; ///< When the service last became reachable for more processes.
		std::uint64_t balancer_bytes = 0; ///< Control bytes that balancers sent and received.
		monotonic_time measured_since{};
	};

	/// Starts the control plane of a process that starts.
	void start_control(world& w, process_index i);

	/// Announces the liveness and the upstream state of a process.
	void announce_self(world& w, process_index i);

	/// Lets the configuration service answer the watches that have something new.
	void answer_watches(world& w);

	/// Notes a revision that a packet named.
	void observe_packet_revision(world& w, process_index i, revision rev);

	/// Hands the outcome of a read to the process that started it, unless it has been restarted since.
	void finish_read(world& w, process_index i, std::uint64_t generation, const read_result& result);

	/// Returns whether a process may forward on its view now.
	[[nodiscard]] bool may_forward(const world& w, const process& it);
}
