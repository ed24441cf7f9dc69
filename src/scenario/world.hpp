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
	/// Packet on its way between processes.
	struct in_flight_packet
	{
		packet_header header;
		std::vector<std::byte> payload;
	};

	/// Times after which processes learn of changes when no control plane runs.
	struct view_delays
	{
		std::chrono::milliseconds records{8'000}; ///< Longest time to a new configuration (invariant 10).
		std::chrono::milliseconds deaths{3'000};  ///< Longest time to the detection of a dead member.
	};

	/// One run: processes with the state of the decisions, and what surrounds them, in virtual time.
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
		config_store records; ///< What the configuration service has accepted, resolved.
		std::vector<std::unique_ptr<process>> processes;
		std::map<endpoint, process_index> by_data_endpoint;
		std::map<endpoint, process_index> by_control_endpoint;
		control_environment control;
		std::vector<endpoint> seeds; ///< Control endpoints of the first balancers.
		std::size_t balancers = 0;
		std::vector<upstream_config> upstreams; ///< All that ever had a record; agents refer to them by position.

		/// \name Views without a control plane
		/// @{
		view_delays delays;
		std::vector<std::shared_ptr<const routing_view>> views;
		/// @}

		caller_state callers;
		std::map<reason, std::uint64_t> drops;

		/// \name Trace
		/// @{
		std::deque<std::string> trace; ///< Most recent lines.
		bool print_trace = false;
		std::string first_violation;
		/// @}

		/// Returns the instance list of the platform.
		[[nodiscard]] std::vector<listed_instance> instance_list() const;

		/// Returns whether a process reaches one that reaches the configuration service, or reaches it itself.
		[[nodiscard]] bool reaches_service_through_peers(process_index i) const;
	};

	/// Adds a line to the trace.
	void append_trace(world& w, std::string_view text);

	/// Adds a line on a violated invariant.
	void record_violation(world& w, const std::string& text);

	/// Returns the process with this name, or null.
	[[nodiscard]] process* find_process(world& w, std::string_view name) noexcept;

	/// Returns the position of the process with this data endpoint, or the number of processes.
	[[nodiscard]] process_index process_at(const world& w, const endpoint& data) noexcept;

	/// \name Deployment
	/// @{

	/// Publishes all records of a folder and starts their agents.
	/// \returns	What is wrong, or an empty text.
	[[nodiscard]] std::string deploy(world& w, const std::filesystem::path& records);

	/// Publishes a record; absent deletes it. Agents of new upstreams are started.
	void publish(world& w, const std::string& key, std::optional<std::string> value);

	/// Starts more balancers, spread over the zones.
	void add_balancers(world& w, std::size_t n);
	/// @}

	/// \name Life of processes
	/// @{

	/// Ends a process without warning.
	void kill_process(world& w, process& it);

	/// Starts a process with empty memory.
	void start_process(world& w, process& it);

	/// Begins a planned stop; the process ends when it has nothing left to do.
	void stop_process(world& w, process& it);

	/// Keeps a process from running for a while.
	void pause_process(world& w, process& it, std::chrono::milliseconds duration);

	/// Keeps a callback until the end of a pause.
	/// \returns	False when the process is not paused.
	bool defer_if_paused(world& w, process& it, const std::function<void()>& callback);

	/// Runs a callback in a process: at once, after its pause, or not at all when it is dead.
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

	/// Builds a view of the current records and members and hands it to each process after its own delay.
	void propagate_view(world& w, std::chrono::milliseconds longest);
	/// @}

	/// \name Packets
	/// @{

	/// Sends a caller's datagram to a random balancer, as the fabric does.
	void send_from_caller(world& w, const flow_key& key, std::vector<std::byte> payload);

	/// Takes in a packet at a process.
	void receive_packet(world& w, process_index i, const endpoint& sender, const in_flight_packet& it);

	/// Carries out what an agent's decision asks for.
	void execute_actions(world& w, process_index i, const action_list& actions);

	/// Sends announcements that an agent has prepared.
	void send_announcements(world& w, process_index i);

	/// Starts the regular calls of an agent.
	void start_agent_ticks(world& w, process_index i);
	/// @}

	/// Load of callers with flows.
	struct flow_load
	{
		std::size_t count = 0;
		double rate = 1'000; ///< New flows a second.
		std::chrono::milliseconds interval{1'000};
		std::chrono::milliseconds lifetime{0}; ///< 0: until the end of the run.
	};

	/// Starts flows to a service address.
	void start_flows(world& w, const endpoint& address, service_id service, const flow_load& load);

	/// Returns the largest open flows over weight of the serving upstreams of a service, divided by their mean.
	[[nodiscard]] double flow_imbalance(const world& w, service_id service);
}
