#pragma once

#include "nutmegturn/config_store.hpp"
#include "nutmegturn/packet.hpp"

#include "scenario/callers.hpp"
#include "scenario/control.hpp"
#include "scenario/event_queue.hpp"
#include "scenario/fake_config_service.hpp"
#include "scenario/flow_ledger.hpp"
#include "scenario/network.hpp"
#include "scenario/process.hpp"
#include "scenario/report.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegturn::scenario
{
	/// Packet between two processes.
	struct in_flight_packet
	{
		packet_header header;
		std::vector<std::byte> payload;
	};

	/// Propagation delays of views in runs without a control plane.
	struct view_delays
	{
		std::chrono::milliseconds records{8'000}; ///< Longest delay of a new configuration (invariant 10).
		std::chrono::milliseconds deaths{3'000};  ///< Longest time until a dead member is detected.
	};

	/// Simulated deployment of one run in virtual time: processes, network, configuration service, upstreams and
	/// callers.
	struct world
	{
		explicit world(std::uint64_t seed) : random{seed} {}

		event_queue queue;
		random_source random;
		network net;
		run_counts counts;
		flow_ledger ledger;
		std::vector<sample> samples;

		fake_config_service service;
		config_store records; ///< All accepted records, resolved.
		std::vector<std::unique_ptr<process>> processes;
		std::map<endpoint, process_index> by_data_endpoint;
		std::map<endpoint, process_index> by_control_endpoint;
		control_environment control;
		std::vector<endpoint> seeds; ///< Control endpoints of the first balancers, at which members join.
		std::size_t balancers = 0;
		std::vector<upstream_config> upstreams; ///< All that ever had a record, indexed by `process::upstream`.

		/// \name Views without a control plane
		/// @{
		view_delays delays;
		std::vector<std::shared_ptr<const routing_view>> views;
		/// @}

		caller_state callers;
		std::map<reason, std::uint64_t> drops;

		/// \name Trace
		/// @{
		std::deque<std::string> trace; ///< Most recent trace lines.
		bool print_trace = false;
		std::string first_violation;
		/// @}

		/// Returns the platform's list of running instances.
		[[nodiscard]] std::vector<listed_instance> instance_list() const;

		/// Returns whether a process can reach the configuration service directly or through one other process.
		[[nodiscard]] bool reaches_service_through_peers(process_index i) const;
	};

	/// Appends a line to the trace.
	void append_trace(world& w, std::string_view text);

	/// Records the first violation of an invariant and adds it to the trace; later ones are ignored.
	void record_violation(world& w, const std::string& text);

	/// Returns the process with a name, or null.
	[[nodiscard]] process* find_process(world& w, std::string_view name) noexcept;

	/// Returns the index of the process with a data endpoint, or the number of processes if there is none.
	[[nodiscard]] process_index process_at(const world& w, const endpoint& data) noexcept;

	/// \name Deployment
	/// @{

	/// Publishes all records of a folder and starts their agents.
	/// \returns	An error message, or an empty text.
	[[nodiscard]] std::string deploy(world& w, const std::filesystem::path& records);

	/// Publishes a record; an absent value deletes it. Starts the agents of new upstreams.
	void publish(world& w, const std::string& key, std::optional<std::string> value);

	/// Starts additional balancers, distributed over the zones.
	void add_balancers(world& w, std::size_t n);
	/// @}

	/// \name Lifecycle of processes
	/// @{

	/// Ends a process abruptly.
	void kill_process(world& w, process& it);

	/// Starts a process with empty memory.
	void start_process(world& w, process& it);

	/// Begins a planned stop. An agent exits when it has no flows or requests left, a balancer after 1 s.
	void stop_process(world& w, process& it);

	/// Suspends a process for a duration.
	void pause_process(world& w, process& it, std::chrono::milliseconds duration);

	/// Defers a callback to the end of the pause, if the process is paused.
	/// \returns	False if the process is not paused.
	bool defer_if_paused(world& w, process& it, const std::function<void()>& callback);

	/// Runs a callback in a process: immediately, after its pause, or not at all if it is dead.
	template <typename Callback>
	void run_in_process(world& w, process_index i, const Callback& callback)
	{
		auto& it = *w.processes[i];
		const bool paused = it.paused_until > w.queue.now();
		if (it.alive && !(paused && defer_if_paused(w, it, callback)))
		{
			callback();
		}
	}
	/// @}

	/// \name Views
	/// @{

	/// Builds a view from the current records and members and applies it in each process after a random delay of up to
	/// `longest`. Does nothing if the run has a control plane.
	void propagate_view(world& w, std::chrono::milliseconds longest);
	/// @}

	/// \name Packets
	/// @{

	/// Sends a datagram of a caller to a random balancer, as the network fabric does.
	void send_from_caller(world& w, const flow_key& key, std::vector<std::byte> payload);

	/// Processes a packet that arrives at a process.
	void receive_packet(world& w, process_index i, const endpoint& sender, const in_flight_packet& it);

	/// Executes the actions that an agent's modules returned.
	void execute_actions(world& w, process_index i, const action_list& actions);

	/// Sends the pending redirect announcements of an agent.
	void send_announcements(world& w, process_index i);

	/// Starts the periodic ticks of an agent.
	void start_agent_ticks(world& w, process_index i);
	/// @}

	/// Flow load of a set of callers.
	struct flow_load
	{
		std::size_t count = 0;
		double rate = 1'000; ///< New flows per second.
		std::chrono::milliseconds interval{1'000};
		std::chrono::milliseconds lifetime{0}; ///< 0: until the end of the run.
	};

	/// Starts flows to a service address.
	void start_flows(world& w, const endpoint& address, service_id service, const flow_load& load);

	/// Returns the maximum ratio of open flows to weight among the serving upstreams of a service, divided by the
	/// weighted mean of that ratio.
	[[nodiscard]] double flow_imbalance(const world& w, service_id service);
}
