#pragma once

#include "nutmegturn/agent_flows.hpp"
#include "nutmegturn/balancer.hpp"
#include "nutmegturn/handover.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nutmegturn::test
{
	/// Simulates the agents and balancers of one service in virtual time, with a packet queue that adds random delay,
	/// loss and duplication. Each process has its own view and applies changes after its own delay.
	struct flow_network
	{
		using view_ptr = std::shared_ptr<const routing_view>;

		struct node
		{
			agent_state state;
			view_ptr view;
			monotonic_time offline_until{};   ///< The node neither sends nor receives before.
			bool import_pending = false;      ///< Process after a planned restart that has not begun its import.
			bool paused = false;              ///< Gets a confirmation of its revision once it is back online.
			monotonic_time may_break_until{}; ///< It died or paused, or its zone is out: its flows may move.
			std::vector<std::uint16_t> ports; ///< Local port of each flow slot.
			handover_store store{};
			std::optional<handover_import> import{};
		};

		struct in_flight
		{
			monotonic_time due;
			endpoint destination;
			packet_header header;
		};

		struct pending_view
		{
			monotonic_time due;
			std::size_t process; ///< Agents first, then balancers.
			view_ptr view;
			std::size_t number; ///< A view is never replaced by an older one.
		};

		struct pending_announcement
		{
			monotonic_time due;
			redirect_announcement announcement;
		};

		random_source random;
		double loss = 0;
		double duplication = 0;
		monotonic_time now{std::chrono::hours{1}};
		std::chrono::milliseconds longest_view_delay{8000};
		deployment records;
		member_view members;
		view_ptr newest;
		std::vector<node> nodes;
		std::vector<view_ptr> balancer_views;
		std::vector<std::size_t> view_numbers; ///< Number of each process's view.
		std::size_t published = 0;
		std::vector<in_flight> packets;
		std::vector<pending_view> views;
		std::vector<pending_announcement> announcements;
		std::map<flow_key, std::size_t> holder; ///< Upstream that first received a packet of the flow.
		std::set<flow_key> may_break;           ///< Flows that may move because their holder died or its zone is out.
		std::size_t delivered = 0;
		std::size_t broken = 0;
		std::size_t misdelivered = 0;
		std::size_t dropped = 0;
		std::size_t closed_flows = 0;
		std::size_t changed_ports = 0;
		std::size_t restored = 0;
		std::uint16_t next_port = 1;
		std::map<flow_key, std::pair<std::size_t, std::uint16_t>> ports; ///< Upstream and local port of a flow.
		std::set<std::size_t> removed;                                   ///< Upstreams without a record.
		std::size_t partition_boundary = 0; ///< Agents with a lower index cannot reach the others; 0: no partition.
		std::string first_failure;

		flow_network(std::uint64_t seed, std::size_t upstreams, std::size_t balancers, std::uint32_t connections = 2000)
			: random{seed}
		{
			records.zones.resize(4);
			for (std::size_t i = 0; i < 4; ++i)
			{
				records.zones[i].id = zone_id{i + 1};
			}
			auto& service = records.services.emplace_back();
			service.id = service_id{1};
			service.addresses = {*parse_endpoint("192.0.2.1:80")};
			for (std::size_t i = 0; i < upstreams; ++i)
			{
				auto& it = records.upstreams.emplace_back();
				it.id = upstream_id{i + 1};
				it.service = service_id{1};
				it.zone = zone_id{i % 4 + 1};
				it.agent = {*parse_address("127.0.0.1"), static_cast<std::uint16_t>(7000 + i)};
				it.connections = connections;
				auto& who = members.members.emplace_back();
				who.id = member_id{i + 1};
				who.role = member_role::agent;
				who.data = it.agent;
			}
			balancer_views.resize(balancers);
			publish(true);
			for (std::size_t i = 0; i < upstreams; ++i)
			{
				nodes.push_back({make_agent(i, now), newest, {}, false, false, {}, {}});
			}
			std::ranges::fill(balancer_views, newest);
		}

		agent_state make_agent(std::size_t i, monotonic_time start) const
		{
			const auto& it = records.upstreams[i];
			return agent_state{
				{.upstream = it.id, .service = it.service, .agent = it.agent, .connections = 4 * it.connections},
				start};
		}

		/// Publishes the records as a new revision, which each process applies after its own delay.
		void publish(bool changes_records = true)
		{
			records.rev = revision{to_number(records.rev) + (changes_records ? 1 : 0)};
			++published;
			view_numbers.resize(nodes.size() + balancer_views.size());
			auto visible = records;
			std::erase_if(visible.upstreams, [&](const auto& it) { return removed.contains(to_number(it.id) - 1); });
			newest = std::make_shared<routing_view>(build_routing_view(visible, members, newest.get()));
			for (std::size_t i = 0; i < nodes.size() + balancer_views.size() && !nodes.empty(); ++i)
			{
				views.push_back(
					{now + std::chrono::milliseconds{random.below(longest_view_delay.count())}, i, newest, published});
			}
		}

		/// Replaces an agent process by one without flows, which starts half a second later.
		void restart(std::size_t i)
		{
			allow_breaks_of(i);
			nodes[i].offline_until = now + std::chrono::milliseconds{500};
			nodes[i].state = make_agent(i, nodes[i].offline_until);
			nodes[i].store = {};
			nodes[i].ports.clear();
		}

		/// Replaces an agent process by one that imports its flows.
		/// \returns	The peers that store the hand-over.
		std::vector<std::size_t> planned_restart(std::size_t i)
		{
			auto& it = nodes[i];
			if (it.offline_until > now || !it.state.service || it.import_pending || it.import)
			{
				return {};
			}
			const auto backups = choose_handover_backups(*it.state.service, it.state.settings.upstream);
			const auto chunks = export_handover(it.state, nullptr, {.process_incarnation = incarnation{random() | 1U}},
												it.ports, static_cast<std::uint8_t>(backups.size()), now);
			std::vector<std::size_t> stored_at;
			for (const auto* backup : backups)
			{
				const auto k = static_cast<std::size_t>(to_number(backup->id)) - 1;
				for (const auto& chunk : chunks)
				{
					if (nodes[k].offline_until <= now)
					{
						handover_on_store(nodes[k].store, chunk, now);
					}
				}
				stored_at.push_back(k);
			}
			it.offline_until = now + std::chrono::milliseconds{500};
			it.state = make_agent(i, it.offline_until);
			it.ports.clear();
			it.import_pending = true;
			return stored_at;
		}

		/// Runs one step of the import after a planned restart.
		void import_flows(std::size_t i)
		{
			auto& it = nodes[i];
			if (it.import_pending)
			{
				action_list actions;
				agent_on_view(it.state, *it.view, now, actions);
				std::vector<upstream_id> peers;
				for (const auto* peer : handover_sources(*it.state.service, it.state.settings.upstream))
				{
					peers.push_back(peer->id);
				}
				it.import = begin_handover(it.state, peers, now);
				it.import_pending = false;
				return;
			}
			for (const auto& answer : std::vector{it.import->answers})
			{
				auto& peer = nodes[static_cast<std::size_t>(to_number(answer.peer)) - 1];
				if (!answer.done && peer.offline_until <= now)
				{
					for (auto& chunk :
						 handover_on_fetch(peer.store, peer.state, it.state.settings.upstream, incarnation{i + 1}, now))
					{
						handover_on_chunk(*it.import, answer.peer, std::move(chunk));
					}
				}
			}
			if (handover_ready(*it.import, now))
			{
				for (const auto& flow : finish_handover(*it.import, it.state, nullptr, now).flows)
				{
					it.ports.resize(std::max<std::size_t>(it.ports.size(), static_cast<std::size_t>(flow.slot) + 1));
					it.ports[static_cast<std::size_t>(flow.slot)] = flow.local_port;
					++restored;
				}
				it.import.reset();
			}
		}

		/// Records the local port of a delivery; like the host program, it assigns a port to each new slot.
		void record_port(std::size_t i, flow_slot slot, const flow_key& key)
		{
			auto& bound = nodes[i].ports;
			bound.resize(std::max<std::size_t>(bound.size(), static_cast<std::size_t>(slot) + 1));
			auto& port = bound[static_cast<std::size_t>(slot)];
			port = port == 0 ? next_port++ : port;
			auto& known = ports.try_emplace(key, i, port).first->second;
			changed_ports += known.first == i && known.second != port && !may_break.contains(key) ? 1 : 0;
			known = {i, port};
		}

		void allow_breaks_of(std::size_t i)
		{
			std::erase_if(holder, [&](const auto& it) { return it.second == i && (may_break.insert(it.first), true); });
		}

		/// Sends a caller's datagram through a random balancer.
		void send(std::uint32_t client)
		{
			flow_key key{*parse_endpoint("198.51.100.1:1"), records.services[0].addresses[0]};
			key.client.ip.bytes[13] = static_cast<std::uint8_t>(client >> 16U);
			key.client.port = static_cast<std::uint16_t>(client);
			const auto b = random.below(balancer_views.size());
			const auto chosen = route_packet(*balancer_views[b], key);
			if (const auto* to = std::get_if<route>(&chosen))
			{
				packet_header header;
				header.service = to->service;
				header.upstream = to->upstream;
				header.flow = key;
				header.rev = balancer_views[b]->rev;
				transmit({now, to->agent, header});
			}
		}

		void transmit(const in_flight& it)
		{
			for (auto copies = random.uniform() < duplication ? 2 : 1; copies > 0; --copies)
			{
				if (random.uniform() >= loss)
				{
					packets.push_back(it);
					packets.back().due = now + std::chrono::microseconds{random.below(20'000)};
				}
			}
		}

		void execute_actions(std::size_t i, const action_list& actions, const packet_header& cause)
		{
			for (const auto& it : actions)
			{
				if (const auto* out = std::get_if<send_packet>(&it);
					out != nullptr && out->header.kind == packet_kind::forward)
				{
					transmit({now, out->destination, out->header});
				}
				else if (std::holds_alternative<deliver>(it))
				{
					++delivered;
					misdelivered +=
						records.upstreams[i].service == cause.service && cause.upstream == records.upstreams[i].id ? 0
																												   : 1;
					record_port(i, std::get<deliver>(it).flow, cause.flow);
					const auto [first, inserted] = holder.try_emplace(cause.flow, i);
					if (!inserted && (nodes[first->second].may_break_until > now || nodes[i].may_break_until > now))
					{
						first->second = i;
					}
					if (!inserted && first->second != i)
					{
						++broken;
						if (first_failure.empty())
						{
							first_failure = "flow " + std::to_string(cause.flow.client.port) + " moved from " +
											std::to_string(first->second) + " to " + std::to_string(i) + " flags " +
											std::to_string(cause.flags) + " hops " + std::to_string(cause.hops);
						}
					}
				}
				else if (const auto* lost = std::get_if<drop>(&it))
				{
					dropped += lost->why != reason::none ? 1 : 0;
				}
				else if (const auto* closed = std::get_if<close_flow>(&it))
				{
					nodes[i].ports[static_cast<std::size_t>(closed->flow)] = 0;
					++closed_flows;
				}
			}
			for (auto& it : nodes[i].state.announcements)
			{
				if (random.uniform() >= loss)
				{
					announcements.push_back({now + std::chrono::microseconds{random.below(20'000)}, std::move(it)});
				}
			}
			nodes[i].state.announcements.clear();
		}

		/// Takes the items that are due, in random order.
		template <typename T>
		std::vector<T> take_due(std::vector<T>& queue)
		{
			const auto split = std::partition(queue.begin(), queue.end(), [&](const T& it) { return it.due > now; });
			std::vector<T> due(split, queue.end());
			queue.erase(split, queue.end());
			std::shuffle(due.begin(), due.end(), random);
			return due;
		}

		/// Advances by 10 ms.
		void step()
		{
			now += std::chrono::milliseconds{10};
			action_list actions;
			for (auto& it : take_due(views))
			{
				auto& target =
					it.process < nodes.size() ? nodes[it.process].view : balancer_views[it.process - nodes.size()];
				if (it.number > view_numbers[it.process])
				{
					view_numbers[it.process] = it.number;
					target = it.view;
				}
			}
			for (const auto& it : take_due(packets))
			{
				const auto i = static_cast<std::size_t>(it.destination.port - 7000);
				const auto from = static_cast<std::size_t>(to_number(it.header.origin));
				const bool cut =
					partition_boundary != 0 && from != 0 && (from - 1 < partition_boundary) != (i < partition_boundary);
				if (nodes[i].offline_until <= now && !cut)
				{
					actions.clear();
					agent_on_packet(nodes[i].state, {it.header, {}}, *nodes[i].view, now, random, actions);
					execute_actions(i, actions, it.header);
				}
			}
			for (const auto& it : take_due(announcements))
			{
				const auto i = static_cast<std::size_t>(it.announcement.destination.port - 7000);
				if (nodes[i].offline_until <= now)
				{
					actions.clear();
					agent_on_redirects(nodes[i].state, it.announcement, now, actions);
					execute_actions(i, actions, {});
				}
			}
			const auto ms = now.time_since_epoch() / std::chrono::milliseconds{1};
			for (std::size_t i = 0; i < nodes.size(); ++i)
			{
				if (nodes[i].offline_until <= now && (nodes[i].import_pending || nodes[i].import))
				{
					import_flows(i);
				}
				if (nodes[i].offline_until <= now && nodes[i].paused && nodes[i].state.paused)
				{
					agent_on_confirmation(nodes[i].state, newest->rev, now);
					nodes[i].paused = nodes[i].state.paused;
				}
				if (nodes[i].offline_until <= now && ms % 100 == 0)
				{
					actions.clear();
					agent_on_tick(nodes[i].state, *nodes[i].view, now, random, actions);
					execute_actions(i, actions, {});
				}
				for (std::size_t k = 0; nodes[i].offline_until <= now && k < nodes.size() && ms % 250 == 0; ++k)
				{
					agent_on_load_report(nodes[k].state, {.sequence = 0, .loads = {agent_load(nodes[i].state)}}, now);
				}
			}
		}

		void run(std::chrono::milliseconds duration)
		{
			for (const auto end = now + duration; now < end;)
			{
				step();
			}
		}
	};
}
