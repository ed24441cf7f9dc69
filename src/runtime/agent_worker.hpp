#pragma once

#include "nutmegturn/agent.hpp"
#include "nutmegturn/agent_flows.hpp"
#include "nutmegturn/deployment.hpp"
#include "nutmegturn/key_ring.hpp"
#include "nutmegturn/metrics.hpp"
#include "nutmegturn/random.hpp"
#include "nutmegturn/requests.hpp"

#include "runtime/balancer_worker.hpp"
#include "runtime/clock.hpp"
#include "runtime/poller.hpp"
#include "runtime/published.hpp"
#include "runtime/retired_sockets.hpp"
#include "runtime/udp.hpp"

#include <boost/lockfree/spsc_queue.hpp>

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace nutmegturn::runtime
{
	/// Agent of a peer upstream, as recorded in the member list.
	struct peer_agent
	{
		endpoint agent;
		incarnation process_incarnation{};
		bool alive = true;

		/// Compares all members.
		[[nodiscard]] friend bool operator==(const peer_agent&, const peer_agent&) noexcept = default;
	};

	/// Configuration that the control thread of an agent publishes to the traffic thread, in addition to the routing
	/// view.
	struct agent_directory
	{
		std::vector<upstream_config> own_upstreams; ///< Active records of the upstreams that this agent serves.
		std::vector<service_config> services;       ///< Services of these upstreams.
		std::map<upstream_id, peer_agent> peers;    ///< Agents of the other upstreams of these services.
	};

	/// State of one upstream, shared between the control thread and the traffic thread.
	struct upstream_shared_state
	{
		upstream_id id{};
		/// Set by the control thread; `serving` if neither the records nor the process state override the observed
		/// state.
		std::atomic<upstream_run_state> admin_state{upstream_run_state::serving};
		/// Set by the traffic thread: `cold`, `warming` or `serving`, derived from the responses of the upstream.
		std::atomic<upstream_run_state> observed{upstream_run_state::cold};
		std::atomic<std::uint32_t> flows{0};
		std::atomic<std::uint32_t> in_progress{0};
		std::atomic<bool> idle{true}; ///< Neither flows nor requests remain.
	};

	/// Messages from the control thread to the traffic thread.
	using traffic_thread_message = std::variant<load_report, redirect_announcement>;

	/// Messages from the traffic thread to the control thread.
	using control_thread_message = std::variant<load_report, redirect_announcement, audit_event>;

	/// State shared between the two threads of an agent, in addition to `traffic_shared_state`.
	struct agent_shared_state
	{
		/// Capacity of each queue. Messages that do not fit are dropped; their senders repeat them.
		static constexpr std::size_t queue_size = 4'096;

		published<agent_directory> directory;
		std::vector<std::unique_ptr<upstream_shared_state>> upstreams;
		boost::lockfree::spsc_queue<traffic_thread_message, boost::lockfree::capacity<queue_size>> inbound;
		boost::lockfree::spsc_queue<control_thread_message, boost::lockfree::capacity<queue_size>> outbound;
		wakeup control_wakeup;
		std::atomic<std::uint64_t> queue_full{0};
	};

	/// Configuration of the traffic thread of an agent.
	struct agent_worker_config
	{
		member_id self{};
		incarnation process_incarnation{};
		endpoint data;
		key_ring keys;
		std::size_t redirects = 65'536;
		std::size_t request_outcomes = 65'536;
		std::uint64_t seed = 0;
	};

	/// Traffic thread of an agent. Exchanges packets with balancers and other agents on one data socket, and uses one
	/// connected socket per flow to the upstream.
	class agent_worker
	{
	public:
		/// Opens the data socket.
		/// \returns	The worker, or a description of the failed socket call.
		[[nodiscard]] static result<std::unique_ptr<agent_worker>, std::string> open(const agent_worker_config& config,
																					 traffic_shared_state& traffic,
																					 agent_shared_state& shared_state,
																					 metrics_shard& metrics);

		/// Runs the event loop until `traffic_shared_state::stop` is set. Call it on the worker's own thread.
		void run();

	private:
		/// State of one upstream that this agent serves.
		struct served_upstream
		{
			served_upstream(const upstream_config& record, const service_config& service_record,
							const agent_settings& limits, std::size_t at, upstream_shared_state& shared_state,
							monotonic_time now)
				: config{record}, service{service_record}, flows{limits, now}, index{at}, shared{shared_state}
			{
			}

			upstream_config config;
			service_config service;
			agent_state flows;
			request_state requests; ///< Used for CoAP services only.
			std::size_t index;
			upstream_shared_state& shared;
			std::vector<file_descriptor> sockets; ///< Indexed by flow slot.
			std::vector<file_descriptor> delegate_sockets;
			std::map<upstream_id, incarnation> known_incarnations;
			agent_counters reported; ///< Counter values already added to the metrics.
			std::array<std::uint64_t, static_cast<std::size_t>(reason::count)> reported_not_run{};
			std::array<std::uint64_t, static_cast<std::size_t>(reason::count)> reported_unknown{};
			monotonic_time first_answer{};
			upstream_run_state observed = upstream_run_state::cold;
			bool drain_started = false;
		};

		agent_worker(const agent_worker_config& config, traffic_shared_state& traffic, agent_shared_state& shared_state,
					 metrics_shard& metrics);

		void run_once();
		void apply_directory(monotonic_time now);
		void add_upstream(const upstream_config& record, const service_config& service_record,
						  upstream_shared_state& shared, monotonic_time now);
		void set_request_hooks(served_upstream& it);
		void process_messages(monotonic_time now);
		void read_data(const routing_view& view, monotonic_time now);
		void process_packet(const packet& datagram, const endpoint& sender, const routing_view& view,
							monotonic_time now);
		void read_upstream(std::uint64_t label, monotonic_time now);
		void tick(const routing_view& view, monotonic_time now);
		void report_load(monotonic_time now);
		void update_run_state(served_upstream& it, monotonic_time now);
		void update_peers(served_upstream& it, monotonic_time now);
		void report_metrics(served_upstream& it);
		void execute_actions(served_upstream& served);
		void send_to_upstream(const deliver& action);
		void retire_socket(file_descriptor& socket);
		[[nodiscard]] file_descriptor* upstream_socket(served_upstream& it, flow_slot slot);
		void post_to_control(const control_thread_message& message);

		agent_worker_config config_;
		traffic_shared_state& traffic_;
		agent_shared_state& shared_state_;
		metrics_shard& metrics_;
		random_source random_;
		poller poller_;
		file_descriptor data_;
		std::unique_ptr<send_batch> send_batch_;
		receive_batch receive_batch_;
		std::vector<std::byte> buffer_;
		retired_sockets retired_sockets_;
		std::vector<std::unique_ptr<served_upstream>> served_; ///< Indexed like `agent_shared_state::upstreams`.
		std::shared_ptr<const agent_directory> directory_;
		action_list actions_;
		pause_detector pause_;
		bool paused_ = false;
		std::array<std::byte, 32> token_key_{};
		monotonic_time next_tick_{};
		monotonic_time next_slow_tick_{};
		monotonic_time next_report_{};
		std::uint32_t report_sequence_ = 0;
	};
}
