#pragma once

#include "nutmegturn/metrics.hpp"
#include "nutmegturn/steering/node_settings.hpp"

#include "node/status_server.hpp"
#include "node/store_reader.hpp"

#include <memory>

namespace nutmegturn::node
{
	/// Where the settings come from.
	struct settings_file
	{
		std::string path;
		bool require_upstream_fields = false; ///< Fields of a process beside an upstream are required.
	};

	/// What both roles share: settings, log, loop, catalog and the readers of the metadata store.
	struct node
	{
		/// Port on the instance's address at which metrics are served, besides the address of the readiness check.
		static constexpr std::uint16_t metrics_port = 9'464;

		/// Creates the parts; nothing is started.
		/// \param file	Where the settings came from, to read them again.
		node(const steering::node_settings& given, settings_file file, node_log& out);

		/// Answers what both roles serve at the status server.
		/// \param ready	Answer to the readiness check.
		/// \param flows	Number of open flows.
		[[nodiscard]] status_response respond(std::string_view path, bool ready, std::size_t flows);

		/// Reads the settings file again and takes over what can change while the process runs. Settings that cannot be
		/// used leave those in force.
		void reload();

		/// Starts to read the metadata store.
		void start();

		/// Hears which orders of the operator a process knows. While the store is out of reach, newer ones are read
		/// from it, and the entries of the upstreams if none have been read yet.
		///
		/// Load pattern: the store turns some instances away for seconds while the operator changes routes or processes
		/// restart; without this they place flows by an old configuration, which agents decline, or serve nobody.
		/// \param balancer	A balancer that knows all entries, or zero.
		void note_orders_revision(steering::ipv4 instance, std::uint64_t revision, steering::ipv4 balancer);

		/// Makes the status server listen.
		/// \returns	Empty, or why the readiness check cannot be served.
		[[nodiscard]] std::string listen(status_server& server) const;

		/// Returns the metrics in the text form of Prometheus.
		[[nodiscard]] std::string metrics_text();

		/// Returns whether everything was read once.
		[[nodiscard]] bool loaded() const noexcept;

		/// Returns whether an unknown route can be refused: the configuration is up to date.
		[[nodiscard]] bool configuration_current() const noexcept;

		/// Returns whether the catalog names all upstreams: the store has answered without a gap for a while.
		[[nodiscard]] bool upstreams_complete() const noexcept;

		steering::node_settings settings;
		node_log& log;
		event_loop loop;
		steering::catalog catalog;
		metrics_shard metrics;
		store_reader orders_reader;
		store_reader upstreams_reader;
		std::unique_ptr<http_connection> orders_relay;    ///< Connection to another process.
		std::unique_ptr<http_connection> upstreams_relay; ///< Connection to another process.
		monotonic_time last_relay_request;
		std::uint64_t datagrams_refused = 0; ///< Datagrams that the system did not take.
		settings_file file;
		std::int64_t file_modified_at = 0; ///< Time stamp of the settings file, in nanoseconds.

	private:
		void watch_settings();
		void read_from(steering::ipv4 instance, std::unique_ptr<http_connection>& connection, std::string_view path,
					   store_reader& reader);
	};

	/// Path at which a process serves the operator's orders to others.
	inline constexpr std::string_view orders_path = "/orders";

	/// Path at which a balancer serves the entries of all upstreams to others.
	inline constexpr std::string_view upstreams_path = "/upstreams";

	/// Returns the seed for this process's random choices.
	[[nodiscard]] std::uint64_t process_seed(const steering::node_settings& settings) noexcept;

	/// Serves callers: takes their packets and steers them to agents.
	/// \returns	Exit status.
	int run_balancer(const steering::node_settings& settings, const settings_file& file, node_log& log);

	/// Serves one upstream: the gate in front of it and its way back to callers.
	/// \returns	Exit status.
	int run_agent(const steering::node_settings& settings, const settings_file& file, node_log& log);
}
