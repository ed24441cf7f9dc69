#pragma once

#include "nutmegturn/steering/node_settings.hpp"

#include "node/status_server.hpp"
#include "node/store_reader.hpp"

namespace nutmegturn::node
{
	/// What both roles share: settings, log, loop, catalog and the readers of the metadata store.
	struct node
	{
		/// Creates the parts; nothing is started.
		node(const steering::node_settings& given, node_log& out);

		/// Makes this the node of an agent, which follows only its own upstream's entry.
		void follow_own_upstream();

		/// Starts to read the metadata store.
		void start();

		/// Returns whether everything was read once.
		[[nodiscard]] bool loaded() const noexcept;

		/// Returns whether an unknown route can be refused: the configuration is up to date.
		[[nodiscard]] bool configuration_current() const noexcept;

		/// Returns whether the catalog names all upstreams: the store has answered without a gap for a while.
		[[nodiscard]] bool upstreams_complete() const noexcept;

		steering::node_settings settings;
		node_log& log;
		event_loop loop;
		steering::catalog known;
		store_reader orders;
		store_reader upstreams;
	};

	/// Returns the seed for this process's random choices.
	[[nodiscard]] std::uint64_t process_seed(const steering::node_settings& settings) noexcept;

	/// Serves callers: takes their packets and steers them to agents.
	/// \returns	Exit status.
	int run_balancer(const steering::node_settings& settings, node_log& log);

	/// Serves one upstream: the gate in front of it and its way back to callers.
	/// \returns	Exit status.
	int run_agent(const steering::node_settings& settings, node_log& log);
}
