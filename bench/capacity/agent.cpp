#include "nutmegturn/agent_flows.hpp"
#include "nutmegturn/balancer.hpp"
#include "nutmegturn/control_codec.hpp"
#include "nutmegturn/random.hpp"

#include "measurement.hpp"

#include <array>
#include <deque>
#include <memory>
#include <utility>
#include <variant>

namespace capacity
{
	namespace
	{
		using namespace nutmegturn;
		using std::chrono::milliseconds;
		using std::chrono::seconds;

		constexpr std::array<std::size_t, 4> flow_counts{10'000, 30'000, 100'000, 300'000};
		constexpr std::size_t header_bytes = 28; // IP and UDP

		/// Agents of one service, connected by a simulated network without delay or loss.
		struct service_fleet
		{
			deployment records;
			member_view members;
			std::shared_ptr<const routing_view> view;
			std::vector<agent_state> agents;
			monotonic_time now{std::chrono::hours{1}};
			random_source random{1};
			std::uint64_t delivered = 0;
			std::uint64_t forwarded_packets = 0; ///< Packets forwarded from one agent to another.
			std::uint64_t announced = 0;         ///< Flow hashes in redirect announcements.

			service_fleet(std::size_t n, std::uint32_t connections)
			{
				records.rev = revision{1};
				records.zones.resize(1);
				records.zones[0].id = zone_id{1};
				auto& service = records.services.emplace_back();
				service.id = service_id{1};
				service.addresses = {*parse_endpoint("192.0.2.1:80")};
				for (std::size_t i = 0; i < n; ++i)
				{
					auto& it = records.upstreams.emplace_back();
					it.id = upstream_id{i + 1};
					it.service = service.id;
					it.zone = zone_id{1};
					it.agent = {*parse_address("127.0.0.1"), static_cast<std::uint16_t>(7000 + i)};
					it.connections = connections;
					auto& agent_member = members.members.emplace_back();
					agent_member.id = member_id{i + 1};
					agent_member.role = member_role::agent;
					agent_member.data = it.agent;
				}
				publish();
				for (std::size_t i = 0; i < n; ++i)
				{
					agents.push_back(make_agent(i));
				}
			}

			[[nodiscard]] agent_state make_agent(std::size_t i) const
			{
				const auto& it = records.upstreams[i];
				return agent_state{
					{.upstream = it.id, .service = it.service, .agent = it.agent, .connections = it.connections}, now};
			}

			void publish()
			{
				records.rev = revision{to_number(records.rev) + 1};
				view = std::make_shared<const routing_view>(build_routing_view(records, members, view.get()));
			}

			[[nodiscard]] packet_header header_of(std::uint32_t client) const
			{
				packet_header header;
				header.flow = {*parse_endpoint("198.51.100.1:1"), records.services[0].addresses[0]};
				header.flow.client.ip.bytes[13] = static_cast<std::uint8_t>(client >> 16U);
				header.flow.client.port = static_cast<std::uint16_t>(client);
				header.rev = view->rev;
				return header;
			}

			/// Routes one packet of a flow as a balancer does, and processes the packets and announcements that agents
			/// send as a result.
			void send(std::uint32_t client)
			{
				auto header = header_of(client);
				const auto outcome = route_packet(*view, header.flow);
				const auto* to = std::get_if<route>(&outcome);
				if (to == nullptr)
				{
					return;
				}
				header.service = to->service;
				header.upstream = to->upstream;
				std::deque<std::pair<endpoint, packet_header>> packets{{to->agent, header}};
				action_list actions;
				while (!packets.empty())
				{
					const auto [destination, each] = packets.front();
					packets.pop_front();
					auto& agent = agents[destination.port - 7000U];
					actions.clear();
					agent_on_packet(agent, {each, {}}, *view, now, random, actions);
					for (const auto& it : actions)
					{
						if (const auto* sent = std::get_if<send_packet>(&it);
							sent != nullptr && sent->header.kind == packet_kind::forward)
						{
							++forwarded_packets;
							packets.emplace_back(sent->destination, sent->header);
						}
						delivered += std::holds_alternative<deliver>(it) ? 1 : 0;
					}
					deliver_announcements(agent);
				}
			}

			void deliver_announcements(agent_state& from)
			{
				action_list actions;
				for (const auto& it : std::exchange(from.announcements, {}))
				{
					announced += it.hashes.size();
					agent_on_redirects(agents[it.destination.port - 7000U], it, now, actions);
				}
			}

			/// Advances virtual time by 100 ms and runs the tick of each agent.
			void tick()
			{
				now += milliseconds{100};
				action_list actions;
				for (auto& it : agents)
				{
					actions.clear();
					agent_on_tick(it, *view, now, random, actions);
					deliver_announcements(it);
				}
			}

			void advance(seconds time)
			{
				for (const auto end = now + time; now < end;)
				{
					tick();
				}
			}
		};

		std::vector<measurement> measure_flows()
		{
			constexpr auto source = "src/agent_flows.cpp";
			const std::string unit = "flows";
			measurement bytes{"held flows", unit, "bytes", "src/flow_table.cpp", {}};
			measurement admission{"new flows", unit, "us of processor time", source, {}};
			measurement packets{"packets of held flows", unit, "us of processor time", source, {}};
			measurement ticks{"ticks of a second with held flows", unit, "us of processor time", source, {}};
			for (const auto n : flow_counts)
			{
				const auto x = static_cast<double>(n);
				service_fleet fleet{1, static_cast<std::uint32_t>(n + n / 8)};
				fleet.advance(seconds{30});
				const auto before_empty = heap_in_use();
				const auto empty_agent = std::make_unique<agent_state>(fleet.make_agent(0));
				const auto empty_bytes = heap_in_use() - before_empty;
				auto& agent = fleet.agents[0];
				std::vector<packet_header> headers;
				for (std::uint32_t i = 0; i < n; ++i)
				{
					headers.push_back(fleet.header_of(i));
					headers.back().service = service_id{1};
					headers.back().upstream = upstream_id{1};
				}
				action_list actions;
				const auto send_all = [&]
				{
					const auto start = thread_cpu_time();
					for (const auto& it : headers)
					{
						actions.clear();
						agent_on_packet(agent, {it, {}}, *fleet.view, fleet.now, fleet.random, actions);
					}
					return microseconds(thread_cpu_time() - start);
				};
				const auto before = heap_in_use();
				const auto admitting = send_all();
				bytes.points.push_back({static_cast<double>(agent.flows.size()),
										static_cast<double>(empty_bytes + heap_in_use() - before)});
				admission.points.push_back({static_cast<double>(agent.counters.admitted), admitting});
				packets.points.push_back({x, send_all()});
				const auto start = thread_cpu_time();
				fleet.advance(seconds{1});
				ticks.points.push_back({x, microseconds(thread_cpu_time() - start)});
			}
			return {bytes, admission, packets, ticks};
		}

		double encoded_size(const wire::control_envelope& envelope)
		{
			std::uint64_t sequence = 0;
			const auto encoded = encode_control(envelope, sequence, key_ring{});
			return static_cast<double>(std::get<std::vector<std::byte>>(encoded).size() + header_bytes);
		}

		std::vector<measurement> measure_control()
		{
			measurement redirects{"redirects", "redirects", "bytes", "src/redirect_table.cpp", {}};
			measurement announcements{
				"announcement every 5 s", "displaced flows", "bytes per second", "src/agent_flows.cpp", {}};
			measurement reports{"load reports, four a second", "peers", "bytes per second", "proto/control.thrift", {}};
			measurement reports_to_all_peers{
				"load reports to 16 peers", "upstreams of the agent", "bytes per second", "proto/control.thrift", {}};
			random_source random{1};
			for (const std::size_t n : {1'000U, 4'000U, 16'000U, 65'536U})
			{
				const auto before = heap_in_use();
				redirect_table table{65'536, seconds{15}};
				for (std::size_t i = 0; i < n; ++i)
				{
					table.set(random(), upstream_id{1}, {}, redirect_kind::announced, monotonic_time{seconds{1}});
				}
				redirects.points.push_back({static_cast<double>(n), static_cast<double>(heap_in_use() - before)});
			}
			const agent_settings settings;
			for (const std::size_t n : {10U, 100U, 300U, 1'000U})
			{
				wire::control_envelope envelope;
				envelope.sender = static_cast<std::int64_t>(random());
				envelope.life = static_cast<std::int64_t>(random());
				envelope.newest = 1'000'000;
				wire::redirect_announce announcement;
				announcement.service_id = static_cast<std::int64_t>(random());
				announcement.holder = static_cast<std::int64_t>(random());
				announcement.holder_ip.resize(16);
				for (std::size_t i = 0; i < n; ++i)
				{
					announcement.flow_hashes.push_back(static_cast<std::int64_t>(random()));
				}
				envelope.__set_redirect_message(announcement);
				announcements.points.push_back(
					{static_cast<double>(n),
					 encoded_size(envelope) / static_cast<double>(settings.announce_interval.count())});
			}
			const auto load_report_size = [&random](std::size_t upstreams)
			{
				wire::control_envelope envelope;
				envelope.sender = static_cast<std::int64_t>(random());
				envelope.life = static_cast<std::int64_t>(random());
				envelope.newest = 1'000'000;
				wire::load_report report;
				report.sequence = 1'000'000;
				for (std::size_t i = 0; i < upstreams; ++i)
				{
					wire::upstream_load load;
					load.upstream = static_cast<std::int64_t>(random());
					load.flows = 1'500;
					load.in_progress = 4;
					load.limit = 5;
					report.loads.push_back(load);
				}
				envelope.__set_load_message(report);
				return encoded_size(envelope);
			};
			constexpr double reports_per_second = 4;
			for (const std::size_t peers : {1U, 4U, 10U, 16U})
			{
				reports.points.push_back({static_cast<double>(peers),
										  reports_per_second * static_cast<double>(peers) * load_report_size(1)});
			}
			constexpr double max_peers = 16;
			for (const std::size_t upstreams : {1U, 3U, 7U, 16U})
			{
				reports_to_all_peers.points.push_back(
					{static_cast<double>(upstreams), reports_per_second * max_peers * load_report_size(upstreams)});
			}
			return {redirects, announcements, reports, reports_to_all_peers};
		}

		/// Drains each agent in turn for 5 s, replaces it by an empty one and runs that for 5 s. Each flow sends one
		/// packet per second.
		std::vector<measurement> measure_rolling_restart()
		{
			constexpr auto source = "src/agent_flows.cpp";
			constexpr std::uint32_t flows = 2'000;
			measurement forwarded_share{
				"rolling restart, packets between agents", "agents", "share of delivered packets", source, {}};
			measurement announced{
				"rolling restart, announced hashes", "agents", "hashes per second and agent", source, {}};
			measurement undelivered{"rolling restart, packets not delivered", "agents", "packets", source, {}};
			for (const std::size_t n : {4U, 8U, 11U, 16U})
			{
				service_fleet fleet{n, 2'000};
				fleet.advance(seconds{30});
				const auto send_second = [&]
				{
					for (std::uint32_t i = 0; i < flows; ++i)
					{
						fleet.send(i);
						if (i % (flows / 10) == 0)
						{
							fleet.tick();
						}
					}
				};
				send_second();
				fleet.advance(seconds{30});
				fleet.delivered = fleet.forwarded_packets = fleet.announced = 0;
				std::uint64_t sent = 0;
				int time = 0;
				for (std::size_t i = 0; i < n; ++i)
				{
					for (const bool draining : {true, false})
					{
						fleet.records.upstreams[i].state =
							draining ? upstream_admin_state::draining : upstream_admin_state::serving;
						if (!draining)
						{
							fleet.agents[i] = fleet.make_agent(i);
						}
						fleet.publish();
						for (int s = 0; s < 5; ++s, ++time)
						{
							send_second();
							sent += flows;
						}
					}
				}
				const auto x = static_cast<double>(n);
				forwarded_share.points.push_back(
					{x, static_cast<double>(fleet.forwarded_packets) / static_cast<double>(fleet.delivered)});
				announced.points.push_back({x, static_cast<double>(fleet.announced) / time / x});
				undelivered.points.push_back({x, static_cast<double>(sent - fleet.delivered)});
			}
			return {forwarded_share, announced, undelivered};
		}
	}

	std::vector<measurement> measure_agent()
	{
		auto all = measure_flows();
		for (const auto& part : {measure_control(), measure_rolling_restart()})
		{
			all.insert(all.end(), part.begin(), part.end());
		}
		return all;
	}
}
