#include "nutmegturn/agent_flows.hpp"
#include "nutmegturn/balancer.hpp"

#include "scenario/world.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace nutmegturn::scenario
{
	namespace
	{
		constexpr std::chrono::microseconds caller_one_way_delay{3'000};
		constexpr std::chrono::microseconds process_one_way_delay{500};
		constexpr std::chrono::milliseconds agent_tick_interval{100};
		/// Maximum number of peers that receive one load report.
		constexpr std::size_t load_report_fan_out = 16;

		/// Returns the payload of a flow datagram: the index of the flow in the ledger.
		std::vector<std::byte> encode_flow_index(std::uint64_t flow)
		{
			std::vector<std::byte> out(sizeof flow);
			std::memcpy(out.data(), &flow, sizeof flow);
			return out;
		}

		std::size_t decode_flow_index(std::span<const std::byte> payload)
		{
			std::uint64_t flow = 0;
			std::memcpy(&flow, payload.data(), sizeof flow);
			return flow;
		}

		/// Sends a message to a process through the simulated network and calls `arrive` there.
		template <typename Arrive>
		void send_to(world& w, process_index from, process_index to, Arrive arrive)
		{
			if (to >= w.processes.size() || !w.net.connected(from, to))
			{
				return;
			}
			w.net.transmit(process_one_way_delay, w.random,
						   [&](std::chrono::microseconds delay)
						   { w.queue.after(delay, [&w, to, arrive] { run_in_process(w, to, arrive); }); });
		}

		/// Counts a violation if a process that was paused forwards with a view older than the one in force at its
		/// resume.
		void check_stale_forward(world& w, const process& it)
		{
			if (it.control && it.view->rev < it.required_revision)
			{
				++w.counts.stale_forwards;
				record_violation(w,
								 fmt::format("{} forwards at revision {} although {} was in force when it resumed",
											 it.info.name, to_number(it.view->rev), to_number(it.required_revision)));
			}
		}

		void balancer_forward(world& w, process_index i, const flow_key& key, const std::vector<std::byte>& payload)
		{
			const auto& it = *w.processes[i];
			if (!may_forward(w, it))
			{
				++w.drops[reason::not_current];
				return;
			}
			check_stale_forward(w, it);
			const auto chosen = route_packet(*it.view, key);
			const auto* to = std::get_if<route>(&chosen);
			if (to == nullptr)
			{
				++w.drops[std::get<reason>(chosen)];
				return;
			}
			in_flight_packet out{{}, payload};
			out.header.service = to->service;
			out.header.upstream = to->upstream;
			out.header.rev = it.view->rev;
			out.header.flow = key;
			out.header.balancer = it.info.data;
			const auto target = process_at(w, to->agent);
			send_to(w, i, target,
					[&w, target, sender = it.info.data, out = std::move(out)]
					{ receive_packet(w, target, sender, out); });
		}

		void deliver_datagram(world& w, process_index i, const deliver& it)
		{
			auto& here = *w.processes[i];
			const auto slot = static_cast<std::size_t>(it.flow);
			if (slot >= first_delegated_slot)
			{
				deliver_to_upstream(w, i, slot, it.payload);
				return;
			}
			if (here.sockets.size() <= slot)
			{
				here.sockets.resize(slot + 1);
			}
			if (here.sockets[slot] == 0)
			{
				here.sockets[slot] = ++w.ledger.last_socket;
			}
			const auto& key = here.agent->flows.at(it.flow).key;
			if (w.callers.by_endpoint.contains(key.client))
			{
				deliver_to_upstream(w, i, here.sockets[slot], it.payload);
				return;
			}
			const flow_delivery delivery{.flow = decode_flow_index(it.payload),
										 .agent = i,
										 .service = w.upstreams[here.upstream].service,
										 .socket = here.sockets[slot],
										 .now = w.queue.now(),
										 .reachable = !here.control || w.reaches_service_through_peers(i),
										 .reachable_since = w.control.reachable_since,
										 .net = &w.net};
			const auto violation = ledger_on_delivery(w.ledger, delivery, w.processes, w.counts);
			if (!violation.empty())
			{
				record_violation(w, violation);
			}
		}

		void send_load_report(world& w, process_index i)
		{
			const auto& here = *w.processes[i];
			std::vector<process_index> peers;
			for (process_index k = 0; k < w.processes.size(); ++k)
			{
				const auto& it = *w.processes[k];
				if (k != i && it.agent && it.agent->settings.service == here.agent->settings.service)
				{
					peers.push_back(k);
				}
			}
			if (peers.size() > load_report_fan_out)
			{
				std::shuffle(peers.begin(), peers.end(), w.random);
				peers.resize(load_report_fan_out);
			}
			const load_report report{0, {agent_load(*here.agent)}};
			const auto& load = report.loads.front();
			const bool serves = load.state == upstream_run_state::serving || load.state == upstream_run_state::warming;
			const request_peer peer{load.upstream, here.info.data, here.info.process_incarnation,
									serves ? load.limit - std::min(load.in_progress, load.limit) : 0};
			for (const auto k : peers)
			{
				send_to(w, i, k,
						[&w, k, report, peer]
						{
							agent_on_load_report(*w.processes[k]->agent, report, w.queue.now());
							update_peer_load(w, k, peer);
						});
			}
			// Removes the peers that are dead in the view.
			for (const auto& it : here.view->find(here.agent->settings.service)->candidates)
			{
				if (it.state == candidate_state::dead)
				{
					remove_peer(w, i, it.id);
				}
			}
		}

		void tick_agent(world& w, process_index i, std::uint64_t generation, std::uint64_t n)
		{
			auto& it = *w.processes[i];
			if (!it.alive || it.generation != generation)
			{
				return;
			}
			if (it.paused_until <= w.queue.now() && it.view)
			{
				action_list actions;
				agent_on_tick(*it.agent, *it.view, w.queue.now(), it.random, actions);
				execute_actions(w, i, actions);
				// 4 reports per second, alternately after 200 ms and 300 ms.
				if (n % 5 == 0 || n % 5 == 2)
				{
					send_load_report(w, i);
				}
				if (it.stopping && it.agent->flows.size() == 0 && (!it.requests || requests_idle(it.requests->state)))
				{
					kill_process(w, it);
					return;
				}
			}
			w.queue.after(agent_tick_interval, [&w, i, generation, n] { tick_agent(w, i, generation, n + 1); });
		}

		void send_flow(world& w, std::size_t flow, const flow_load& load, monotonic_time end)
		{
			auto& it = w.ledger.flows[flow];
			if (load.lifetime.count() > 0 && w.queue.now() >= end)
			{
				it.open = false;
				return;
			}
			++it.undelivered;
			send_from_caller(w, it.key, encode_flow_index(flow));
			const auto jitter = std::chrono::microseconds{w.random.below(load.interval.count() * 200 + 1)};
			w.queue.after(load.interval * 9 / 10 + jitter, [&w, flow, load, end] { send_flow(w, flow, load, end); });
		}
	}

	void send_from_caller(world& w, const flow_key& key, std::vector<std::byte> payload)
	{
		std::vector<process_index> targets;
		for (process_index i = 0; i < w.processes.size(); ++i)
		{
			const auto& it = *w.processes[i];
			const auto caller_side = static_cast<int>(key.client.port % 2) + 1;
			if (it.alive && !it.stopping && it.info.role == member_role::balancer &&
				(w.net.side_of(i) == 0 || w.net.side_of(i) == caller_side))
			{
				targets.push_back(i);
			}
		}
		if (targets.empty())
		{
			return;
		}
		const auto i = targets[w.random.below(targets.size())];
		w.net.transmit(caller_one_way_delay, w.random,
					   [&](std::chrono::microseconds delay)
					   {
						   w.queue.after(delay,
										 [&w, i, key, payload] {
											 run_in_process(
												 w, i, [&w, i, key, payload] { balancer_forward(w, i, key, payload); });
										 });
					   });
	}

	void receive_packet(world& w, process_index i, const endpoint& sender, const in_flight_packet& it)
	{
		auto& here = *w.processes[i];
		observe_packet_revision(w, i, it.header.rev);
		if (!may_forward(w, here))
		{
			return;
		}
		if (!here.agent)
		{
			if (it.header.kind == packet_kind::answer)
			{
				w.net.transmit(caller_one_way_delay, w.random,
							   [&](std::chrono::microseconds delay)
							   { w.queue.after(delay, [&w, it] { receive_answer(w, it.header.flow, it.payload); }); });
			}
			return;
		}
		if (it.header.kind == packet_kind::request_delegate || it.header.kind == packet_kind::delegate_result)
		{
			receive_delegation(w, i, sender, {it.header, it.payload});
			return;
		}
		if (it.header.kind != packet_kind::forward)
		{
			return;
		}
		action_list actions;
		check_stale_forward(w, here);
		agent_on_packet(*here.agent, {it.header, it.payload}, *here.view, w.queue.now(), here.random, actions);
		execute_actions(w, i, actions);
	}

	void execute_actions(world& w, process_index i, const action_list& actions)
	{
		auto& here = *w.processes[i];
		for (const auto& it : actions)
		{
			if (const auto* out = std::get_if<send_packet>(&it))
			{
				const auto to = process_at(w, out->destination);
				send_to(w, i, to,
						[&w, to, sender = here.info.data,
						 moving = in_flight_packet{out->header, {out->payload.begin(), out->payload.end()}}]
						{ receive_packet(w, to, sender, moving); });
			}
			else if (const auto* delivery = std::get_if<deliver>(&it))
			{
				deliver_datagram(w, i, *delivery);
			}
			else if (const auto* closed = std::get_if<close_flow>(&it))
			{
				here.sockets[static_cast<std::size_t>(closed->flow)] = 0;
			}
			else if (const auto* lost = std::get_if<drop>(&it))
			{
				++w.drops[lost->why];
			}
		}
		send_announcements(w, i);
	}

	void send_announcements(world& w, process_index i)
	{
		auto& announcements = w.processes[i]->agent->announcements;
		for (auto& it : announcements)
		{
			const auto to = process_at(w, it.destination);
			send_to(w, i, to,
					[&w, to, it = std::move(it)]
					{
						action_list actions;
						agent_on_redirects(*w.processes[to]->agent, it, w.queue.now(), actions);
						execute_actions(w, to, actions);
					});
		}
		announcements.clear();
	}

	void start_agent_ticks(world& w, process_index i)
	{
		// Random start, so that the ticks of processes are not synchronized.
		w.queue.after(std::chrono::microseconds{w.random.below(100'000)},
					  [&w, i, generation = w.processes[i]->generation] { tick_agent(w, i, generation, 0); });
	}

	void start_flows(world& w, const endpoint& address, service_id service, const flow_load& load)
	{
		const auto first = w.ledger.flows.size();
		for (std::size_t n = 0; n < load.count; ++n)
		{
			const auto flow = first + n;
			caller_flow it;
			it.key.service = address;
			it.key.client = *parse_endpoint(fmt::format("10.{}.{}.{}:{}", flow >> 16U & 0xffU, flow >> 8U & 0xffU,
														flow & 0xffU, 1024 + w.random.below(60'000)));
			it.service = service;
			w.ledger.flows.push_back(it);
			const auto at = std::chrono::duration_cast<monotonic_clock::duration>(
				std::chrono::duration<double>{static_cast<double>(n) / load.rate});
			const auto end = w.queue.now() + at + load.lifetime;
			w.queue.after(at, [&w, flow, load, end] { send_flow(w, flow, load, end); });
		}
	}

	double flow_imbalance(const world& w, service_id service)
	{
		double sum = 0;
		double largest = 0;
		double weights = 0;
		for (const auto& it : w.processes)
		{
			const bool counts = it->agent && it->alive && it->agent->settings.service == service &&
								!it->leaving_since && !it->zone_out_since;
			if (counts)
			{
				const double weight = w.upstreams[it->upstream].connections;
				const auto flows = static_cast<double>(it->agent->flows.size());
				sum += flows;
				weights += weight;
				largest = std::max(largest, flows / weight);
			}
		}
		return sum == 0 ? 1 : largest / (sum / weights);
	}
}
