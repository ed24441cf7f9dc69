#pragma once

#include "nutmegturn/audit_log.hpp"
#include "nutmegturn/config_relay.hpp"
#include "nutmegturn/config_store.hpp"
#include "nutmegturn/control_codec.hpp"
#include "nutmegturn/control_send.hpp"
#include "nutmegturn/key_ring.hpp"
#include "nutmegturn/membership.hpp"
#include "nutmegturn/metrics.hpp"
#include "nutmegturn/random.hpp"
#include "nutmegturn/replay_filter.hpp"
#include "nutmegturn/settings.hpp"

#include "runtime/balancer_worker.hpp"
#include "runtime/chart.hpp"
#include "runtime/clock.hpp"
#include "runtime/config_client.hpp"
#include "runtime/log_sink.hpp"
#include "runtime/udp.hpp"

#include <QHttpServer>
#include <QJsonObject>
#include <QSocketNotifier>
#include <QTimer>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace nutmegturn::runtime
{
	/// Callbacks through which a daemon extends the control plane.
	struct control_hooks
	{
		/// Called after the records or the member list change.
		std::function<void(const deployment&, const member_view&)> on_change;
		/// Called for each valid message of another process, after the control plane has processed it.
		std::function<void(const endpoint&, const wire::control_envelope&)> on_message;
		/// Called every 100 ms.
		std::function<void(monotonic_time)> on_tick;
		/// Adds fields to the `/status` document.
		std::function<void(QJsonObject&)> add_status;
	};

	/// Control thread of a daemon: records, member list, HTTP endpoint, audit trail, log and process state chart.
	class control_plane
	{
	public:
		/// Interval between ticks.
		static constexpr std::chrono::milliseconds tick_interval{100};

		/// Initializes everything that can fail: sockets, keys and state charts.
		/// \returns	The control plane, or the reason why the daemon cannot start.
		[[nodiscard]] static result<std::unique_ptr<control_plane>, std::string>
		open(const settings& config, traffic_shared_state& traffic, control_hooks hooks);

		/// Starts reading the configuration, probing members and processing control messages.
		void start();

		/// Announces the state of this process and its upstreams to the other members.
		void announce(member_liveness liveness, std::vector<upstream_report> upstreams);

		/// Sends a message on behalf of the daemon.
		void send(const endpoint& destination, const wire::control_envelope& message);

		/// Returns an envelope with the sender fields of this process; the caller adds the message.
		[[nodiscard]] wire::control_envelope envelope();

		/// Adds an entry to the audit trail and logs it.
		void audit(audit_event event);

		/// Writes an event to the log.
		void log(log_level level, std::string_view name, std::string text,
				 std::vector<std::pair<std::string_view, std::string>> fields = {});

		/// Submits an event to the process state chart.
		void submit_process_event(const char* event);

		/// Returns the active state of the process state chart.
		[[nodiscard]] std::string process_state() const;

		/// Includes the metrics of a traffic thread in `/metrics`.
		void add_shard(const metrics_shard* shard);

		/// Returns the metrics of the control thread.
		[[nodiscard]] metrics_shard& metrics() noexcept
		{
			return metrics_;
		}

		/// Returns the incarnation of this process.
		[[nodiscard]] incarnation process_incarnation() const noexcept
		{
			return process_incarnation_;
		}

		/// Returns the id of this process.
		[[nodiscard]] member_id self() const noexcept
		{
			return self_;
		}

		/// Returns the active keys.
		[[nodiscard]] const key_ring& keys() const noexcept
		{
			return keys_;
		}

		/// Returns the member list.
		[[nodiscard]] const member_view& members() const noexcept
		{
			return members_;
		}

		/// Returns the active records.
		[[nodiscard]] const deployment& records() const noexcept
		{
			return store_.current;
		}

		/// Returns the random number generator of this process.
		[[nodiscard]] random_source& random() noexcept
		{
			return random_;
		}

	private:
		control_plane(const settings& config, traffic_shared_state& traffic, control_hooks hooks);

		void add_routes();
		void read_socket();
		void tick();
		void check_pause(monotonic_time now);
		void process_output(const relay_output& out);
		void read_config(const start_read& read);
		void count_unreadable(std::size_t records);
		void read_instances();
		void apply_changes(const store_changes& changes);
		void process_output(const membership_output& out);
		void update_view();
		[[nodiscard]] QJsonObject status() const;

		settings settings_;
		traffic_shared_state& traffic_;
		control_hooks hooks_;
		key_ring keys_;
		member_id self_;
		incarnation process_incarnation_;
		random_source random_;
		log_sink log_;
		audit_log audit_;
		metrics_shard metrics_;
		std::vector<const metrics_shard*> shards_;
		chart process_;
		std::string zone_chart_directory_;
		std::map<zone_id, chart> zones_;

		config_store store_;
		config_client client_;
		relay_state relay_;
		record_source source_;
		monotonic_time next_instance_list_read_{};

		membership_state membership_;
		member_view members_;
		bool members_changed_ = false;

		file_descriptor socket_;
		receive_batch receive_batch_;
		replay_filter replays_;
		std::uint64_t next_message_number_ = 0;
		std::unique_ptr<QSocketNotifier> notifier_;
		std::unique_ptr<QSocketNotifier> revision_notifier_;
		QTimer timer_;
		pause_detector pause_;
		QHttpServer http_;
	};

	/// Reads a settings file.
	/// \returns	The settings, or an error with file, path, actual value and expected value.
	[[nodiscard]] result<settings> read_settings(const std::string& path);
}
