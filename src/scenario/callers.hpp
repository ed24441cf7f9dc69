#pragma once

#include "nutmegturn/coap_message.hpp"
#include "nutmegturn/requests.hpp"

#include "scenario/fake_upstream.hpp"
#include "scenario/process.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegturn::scenario
{
	struct world;

	/// Request handling of one agent: the state of the requests module, the simulated upstream, and the sockets between
	/// them.
	struct request_host
	{
		world* owner = nullptr;
		process_index agent = 0;
		request_state state;
		std::unique_ptr<fake_upstream> upstream;
		std::map<flow_key, flow_slot> delegated; ///< Slots of callers whose flows are held by other agents.
		std::map<upstream_id, request_peer> peers;
		bool suspended = false;

		request_host(request_state initial) : state{std::move(initial)} {}
	};

	/// First slot number that is reserved for callers of delegated requests.
	inline constexpr std::uint32_t first_delegated_slot = 0x4000'0000;

	/// One request of a caller. Its payload names request and attempt, so that each execution can be attributed to an
	/// attempt.
	struct caller_request
	{
		std::size_t caller = 0;
		std::string name;
		std::uint8_t method = 0;
		std::uint32_t attempt = 1;
		std::uint16_t message_id = 0;
		std::vector<std::byte> token;
		monotonic_time started{};
		bool acknowledged = false;
		bool done = false;
	};

	/// Caller of requests; it has its own flow.
	struct request_caller
	{
		flow_key key;
		std::size_t group = 0;
		service_id service{};
		std::string service_name;
		std::uint16_t last_message_id = 0;
		std::vector<std::byte> echo; ///< Last fencing token received.
	};

	/// Outcomes of the requests of a caller group.
	struct group_counts
	{
		std::uint64_t requests = 0;
		std::uint64_t answered = 0;
		std::uint64_t refused = 0;
		double total_wait_s = 0;
	};

	/// Callers of a run and the outcomes of their requests.
	struct caller_state
	{
		std::vector<request_caller> callers;
		std::map<endpoint, std::size_t> by_endpoint;
		std::vector<caller_request> requests;
		std::unordered_map<std::string, std::size_t> by_token; ///< Open requests by caller and token.
		execution_counts executions;                           ///< By name of the attempt.
		std::vector<std::string> reported_not_run;             ///< Attempts whose callers got "not run".
		std::map<std::size_t, group_counts> groups;
		upstream_model model;
		bool enabled = false;
		bool oracle = false;            ///< Admission uses the actual capacity of the upstream.
		bool had_planned_stop = false;  ///< At least one process was stopped as planned.
		bool only_planned_stops = true; ///< No injected fault can leave the outcome of a request unknown.
	};

	/// Request load of a set of callers.
	struct request_load
	{
		std::string method = "GET"; ///< GET, PUT, POST, or MIX of all.
		double rate = 10;           ///< Requests per second of all callers together.
		std::size_t callers = 8;
		std::vector<double> groups{1};         ///< Relative demand of each caller group (client address).
		std::chrono::milliseconds duration{0}; ///< 0: until the end of the run.
	};

	/// Creates the request handling of an agent that starts, if its service uses CoAP and the run has requests.
	void start_request_host(world& w, process_index i);

	/// Adds callers to a service and starts their requests.
	void start_requests(world& w, const service_config& service, const request_load& load);

	/// Processes a packet with a delegated request or its result at an agent.
	void receive_delegation(world& w, process_index i, const endpoint& sender, const packet& it);

	/// Updates the free capacity of a peer, which delegation uses.
	void update_peer_load(world& w, process_index i, const request_peer& peer);

	/// Removes a dead peer and ends the requests that were delegated to it.
	void remove_peer(world& w, process_index i, upstream_id peer);

	/// Delivers a datagram to the upstream of an agent.
	void deliver_to_upstream(world& w, process_index i, std::uint64_t socket, std::span<const std::byte> datagram);

	/// Processes a response datagram at its caller.
	void receive_answer(world& w, const flow_key& key, std::span<const std::byte> datagram);

	/// Counts executions that contradict the outcome reported to the caller, repeated executions and overloads.
	void count_request_violations(world& w);

	/// Returns Jain's index over all caller groups.
	/// \param of	`waiting` (mean response time), `rejections` (relative to the demand above an equal share) or
	///				`served`.
	[[nodiscard]] double fairness(const world& w, const std::string& of);
}
