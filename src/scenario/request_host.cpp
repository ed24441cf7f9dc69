#include "nutmegturn/agent_flows.hpp"

#include "scenario/callers.hpp"
#include "scenario/world.hpp"

#include <algorithm>

namespace nutmegturn::scenario
{
	namespace
	{
		constexpr std::chrono::milliseconds tick_interval{50};

		request_host* host_of(world& w, process_index i)
		{
			return w.processes[i]->requests.get();
		}

		/// Replaces the adaptive concurrency limit by the actual capacity, if the run uses the oracle.
		void apply_oracle(const world& w, request_host& host)
		{
			if (w.callers.oracle)
			{
				host.state.admission.limit = host.upstream->capacity(w.queue.now());
				host.state.admission.balance = host.state.admission.limit;
			}
		}

		bool is_request_flow(const request_host& host, const flow_key& key)
		{
			return host.owner->callers.by_endpoint.contains(key.client);
		}

		void set_hooks(request_host& host, agent_state& agent)
		{
			agent.requests.context = &host;
			agent.requests.on_caller_datagram = [](void* context, agent_state& state, flow_slot slot, const packet& it,
												   monotonic_time now, random_source& random, action_list& actions)
			{
				auto& here = *static_cast<request_host*>(context);
				if (!is_request_flow(here, it.header.flow))
				{
					// Datagrams of flow callers are not CoAP messages.
					actions.emplace_back(deliver{state.settings.upstream, slot, it.payload});
					return;
				}
				apply_oracle(*here.owner, here);
				requests_on_caller_datagram(here.state, it, slot, now, random, actions);
			};
			agent.requests.on_upstream_datagram = [](void* context, agent_state&, flow_slot slot,
													 std::span<const std::byte> it, monotonic_time now,
													 action_list& actions)
			{ requests_on_upstream_datagram(static_cast<request_host*>(context)->state, slot, it, now, actions); };
			agent.requests.on_release =
				[](void* context, agent_state&, flow_slot slot, reason, monotonic_time now, action_list& actions)
			{ requests_on_flow_closed(static_cast<request_host*>(context)->state, slot, now, actions); };
		}

		/// Delivers a datagram from the upstream to the agent, if its socket is still open.
		void deliver_from_upstream(world& w, process_index i, std::uint64_t generation, std::uint64_t socket,
								   const std::vector<std::byte>& datagram)
		{
			auto& it = *w.processes[i];
			if (it.generation != generation)
			{
				return;
			}
			run_in_process(w, i,
						   [&w, &it, i, socket, datagram]
						   {
							   action_list actions;
							   const auto open = std::ranges::find(it.sockets, socket);
							   if (open != it.sockets.end())
							   {
								   const flow_slot slot{static_cast<std::uint32_t>(open - it.sockets.begin())};
								   agent_on_upstream_datagram(*it.agent, slot, datagram, w.queue.now(), actions);
							   }
							   else if (socket >= first_delegated_slot)
							   {
								   const flow_slot slot{static_cast<std::uint32_t>(socket)};
								   requests_on_upstream_datagram(it.requests->state, slot, datagram, w.queue.now(),
																 actions);
							   }
							   execute_actions(w, i, actions);
						   });
		}

		void update_suspension(request_host& host, const agent_state& agent, monotonic_time now, action_list& actions)
		{
			if (agent.paused && !host.suspended)
			{
				host.suspended = true;
				requests_on_pause(host.state, now, actions);
			}
			if (!agent.paused && host.suspended)
			{
				host.suspended = false;
				requests_on_resume(host.state);
			}
		}

		void tick(world& w, process_index i, std::uint64_t generation)
		{
			auto& it = *w.processes[i];
			if (!it.alive || it.generation != generation)
			{
				return;
			}
			w.queue.after(tick_interval, [&w, i, generation] { tick(w, i, generation); });
			if (it.paused_until > w.queue.now())
			{
				return;
			}
			auto& host = *it.requests;
			const auto now = w.queue.now();
			action_list actions;
			update_suspension(host, *it.agent, now, actions);
			execute_actions(w, i, actions);
			actions.clear();
			apply_oracle(w, host);
			std::vector<request_peer> peers;
			for (const auto& [id, peer] : host.peers)
			{
				peers.push_back(peer);
			}
			requests_set_peers(host.state, peers);
			requests_on_tick(host.state, now, it.random, actions);
			execute_actions(w, i, actions);
			it.agent->requests_in_progress = static_cast<std::uint32_t>(host.state.admission.start_times.size());
			it.agent->request_limit = static_cast<std::uint32_t>(host.state.admission.limit);
			if (it.stopping && !host.state.draining)
			{
				requests_begin_drain(host.state);
			}
		}
	}

	void start_request_host(world& w, process_index i)
	{
		auto& it = *w.processes[i];
		const auto& record = w.upstreams[it.upstream];
		const auto service = std::ranges::find(w.records.current.services, record.service, &service_config::id);
		if (!w.callers.enabled || service == w.records.current.services.end() ||
			service->protocol != service_protocol::coap)
		{
			return;
		}
		request_config config;
		config.service = record.service;
		config.upstream = record.id;
		config.name = record.name;
		config.issuer = {it.info.id, it.info.process_incarnation, record.id, {}};
		std::ranges::generate(config.issuer.key, [&] { return static_cast<std::byte>(it.random.below(256)); });
		config.admission.slots = record.slots;
		config.admission.connections = record.connections;
		auto upstream = it.requests ? std::move(it.requests->upstream) : nullptr;
		it.requests = std::make_unique<request_host>(make_request_state(config, w.queue.now(), it.random));
		auto& host = *it.requests;
		host.owner = &w;
		host.agent = i;
		if (!upstream)
		{
			auto model = w.callers.model;
			model.slots = record.slots;
			upstream = std::make_unique<fake_upstream>(
				service->name, record.name, model, w.callers.executions,
				[&w, i](std::uint64_t socket, const std::vector<std::byte>& datagram)
				{ deliver_from_upstream(w, i, w.processes[i]->generation, socket, datagram); },
				[&w](monotonic_clock::duration delay, std::function<void()> callback)
				{ w.queue.after(delay, std::move(callback)); });
		}
		host.upstream = std::move(upstream);
		set_hooks(host, *it.agent);
		w.queue.after(tick_interval, [&w, i, generation = it.generation] { tick(w, i, generation); });
	}

	void receive_delegation(world& w, process_index i, const endpoint& sender, const packet& it)
	{
		auto* host = host_of(w, i);
		if (host == nullptr || it.header.upstream != w.processes[i]->agent->settings.upstream)
		{
			return;
		}
		auto& random = w.processes[i]->random;
		action_list actions;
		if (it.header.kind == packet_kind::delegate_result)
		{
			requests_on_delegate_result(host->state, it, w.queue.now(), random, actions);
		}
		else
		{
			const auto next = flow_slot{first_delegated_slot + static_cast<std::uint32_t>(host->delegated.size())};
			const auto slot = host->delegated.try_emplace(it.header.flow, next).first->second;
			apply_oracle(w, *host);
			requests_on_delegate(host->state, it, sender, slot, w.queue.now(), actions);
		}
		execute_actions(w, i, actions);
	}

	void update_peer_load(world& w, process_index i, const request_peer& peer)
	{
		auto* host = host_of(w, i);
		if (host == nullptr)
		{
			return;
		}
		const auto known = host->peers.find(peer.upstream);
		if (known != host->peers.end() && known->second.process_incarnation != peer.process_incarnation)
		{
			action_list actions;
			requests_on_peer_gone(host->state, peer.upstream, w.queue.now(), w.processes[i]->random, actions);
			execute_actions(w, i, actions);
		}
		host->peers[peer.upstream] = peer;
	}

	void remove_peer(world& w, process_index i, upstream_id peer)
	{
		auto* host = host_of(w, i);
		if (host != nullptr && host->peers.erase(peer) > 0)
		{
			action_list actions;
			requests_on_peer_gone(host->state, peer, w.queue.now(), w.processes[i]->random, actions);
			execute_actions(w, i, actions);
		}
	}

	void deliver_to_upstream(world& w, process_index i, std::uint64_t socket, std::span<const std::byte> datagram)
	{
		host_of(w, i)->upstream->on_coap_datagram(socket, datagram, w.queue.now());
	}
}
