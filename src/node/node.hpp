#pragma once

#include "nutmegturn/metrics.hpp"
#include "nutmegturn/steering/message.hpp"
#include "nutmegturn/steering/node_settings.hpp"

#include "node/class_metrics.hpp"
#include "node/status_server.hpp"
#include "node/store_reader.hpp"
#include "platform/packet_format.hpp"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace nutmegturn::node
{
	/// Size of the largest datagram that a process receives, in bytes: a message with a name and a packet.
	inline constexpr std::size_t datagram_size =
		steering::max_message_header_size + steering::max_sent_name_size + platform::max_packet_size;

	/// Settings file of a process.
	struct settings_file
	{
		std::string path;
		bool require_upstream_fields = false; ///< Whether the fields of the process's own upstream are required.
	};

	/// State that both roles share: settings, log, event loop, catalog and the readers of the metadata store.
	struct node
	{
		/// Port on the instance's address that serves metrics, in addition to the address of the readiness check.
		static constexpr std::uint16_t metrics_port = 9'464;

		/// Creates the node without starting anything.
		/// \param source	File of the initial settings, for `reload`.
		node(const steering::node_settings& initial, settings_file source, node_log& logger);

		/// Returns the response of the status server for the paths that both roles serve.
		/// \param ready	Result of the readiness check.
		/// \param flows	Number of open flows.
		[[nodiscard]] status_response respond(std::string_view path, bool ready, std::size_t flows);

		/// Reloads the settings file and applies the settings that can change at run time. If the file is invalid, the
		/// current settings stay in force.
		void reload();

		/// Starts to read the metadata store and to watch the settings file.
		void start();

		/// Handles the newest revision of operator orders that another process reports. While the store is unreachable,
		/// newer orders are read from that process, and the upstream entries are read from `balancer` if none have been
		/// read yet. A newer configuration is also read there if the store has not delivered it for a while.
		///
		/// Load pattern: the store rejects some instances for seconds while the operator changes routes or processes
		/// restart; without this fallback they place flows by an outdated configuration, which agents decline, or
		/// serve no caller at all.
		/// \param instance	Instance of the reporting process.
		/// \param msg		Its message.
		/// \param balancer	Balancer that knows all upstream entries, or zero.
		void handle_reported_orders(steering::ipv4 instance, const steering::message& msg, steering::ipv4 balancer);

		/// Counts a datagram that is no message, for example one of a build with another layout of messages, and logs
		/// the first one of a minute.
		/// \param from	Its sender; nothing if the address is not an IPv4 one.
		void record_undecodable(const std::optional<steering::ipv4_endpoint>& from, std::span<const std::byte> bytes);

		/// Handles what another process knows of the store. An agent that watches only its upstream's entry compares
		/// the entry's revision instead of the group's.
		void handle_knowledge(const steering::store_knowledge& knowledge) noexcept;

		/// Returns whether the store has confirmed all records that were due for it; once for each time.
		[[nodiscard]] bool take_confirmed() noexcept;

		/// Makes the status server listen. Failure to serve metrics on `metrics_port` is only logged.
		/// \returns	An empty string, or the reason why the readiness check cannot be served.
		[[nodiscard]] std::string listen(status_server& server) const;

		/// Returns the metrics in the Prometheus text format.
		[[nodiscard]] std::string metrics_text();

		/// Returns the time in milliseconds, for logs, for which a reader's records may be behind the store.
		[[nodiscard]] std::string records_age_ms(const store_reader& reader) const;

		/// Returns whether the configuration and all records of the store have been read at least once.
		[[nodiscard]] bool loaded() const noexcept;

		/// Returns whether the configuration is up to date, so that flows to unknown routes can be rejected.
		[[nodiscard]] bool configuration_current() const noexcept;

		/// Returns whether the catalog contains all upstreams: the store has answered without interruption for a while.
		[[nodiscard]] bool upstreams_complete() const noexcept;

		steering::node_settings settings;
		node_log& log;
		event_loop loop;
		steering::catalog catalog;
		metrics_shard metrics;
		class_metrics metrics_by_class;
		store_reader orders_reader;
		store_reader upstreams_reader;
		std::unique_ptr<http_connection> orders_relay;    ///< Reads orders from another process.
		std::unique_ptr<http_connection> upstreams_relay; ///< Reads upstream entries from another process.
		monotonic_time last_relay_request;
		steering::newer_version newer_version;
		std::uint64_t datagrams_refused = 0;  ///< Datagrams that the operating system did not accept for sending.
		steering::message_counts messages;    ///< Exchanged with other processes.
		std::uint64_t undecodable = 0;        ///< Datagrams of other processes that were no message.
		std::uint64_t searches = 0;           ///< Searches for holders that were started.
		std::uint64_t handler_exceptions = 0; ///< Messages that were dropped because handling them threw.
		settings_file file;
		std::int64_t file_modified_at = 0; ///< Modification time of the settings file, in nanoseconds.
		steering::confirmation_ages confirmation_ages = steering::agent_confirmation_ages;

	private:
		/// Asks the store whether a change was missed as soon as the records of a reader may be too old.
		void confirm_due_records();

		random_source random_;
		std::chrono::milliseconds confirmation_age_{0};  ///< Age at which to ask next.
		monotonic_time confirmation_asked_at_;           ///< When the store was asked last.
		std::vector<const store_reader*> asked_readers_; ///< Readers that asked then; empty after `take_confirmed`.
		monotonic_time undecodable_logged_at_;           ///< Zero if there was none.
		void watch_settings();
		void fetch_records(steering::ipv4 instance, std::unique_ptr<http_connection>& connection, std::string_view path,
						   store_reader& reader);
	};

	/// Path at which a process serves the operator orders to other processes.
	inline constexpr std::string_view orders_path = "/orders";

	/// Path at which a balancer serves all upstream entries to other processes.
	inline constexpr std::string_view upstreams_path = "/upstreams";

	/// Returns a random seed that differs between processes and starts.
	[[nodiscard]] std::uint64_t process_seed(const steering::node_settings& settings) noexcept;

	/// Runs a balancer: receives packets of callers and steers them to agents.
	/// \returns	Exit status.
	int run_balancer(const steering::node_settings& settings, const settings_file& file, node_log& log);

	/// Runs an agent: admits flows to one upstream and forwards its packets to callers.
	/// \returns	Exit status.
	int run_agent(const steering::node_settings& settings, const settings_file& file, node_log& log);
}
