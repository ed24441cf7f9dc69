#include "nutmegturn/agent_flows.hpp"
#include "nutmegturn/balancer.hpp"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cstddef>
#include <cstdint>

namespace
{
	using namespace nutmegturn;

	routing_view make_view()
	{
		deployment records;
		records.rev = revision{1};
		auto& service = records.services.emplace_back();
		service.id = service_id{1};
		service.addresses = {*parse_endpoint("192.0.2.1:80")};
		for (std::size_t i = 0; i < 11; ++i)
		{
			auto& it = records.upstreams.emplace_back();
			it.id = upstream_id{i + 1};
			it.service = service_id{1};
		}
		return build_routing_view(records, {}, nullptr);
	}

	/// Returns the header of a packet from the next client whose flow is routed to the first upstream.
	/// \param client	Number of the last client used; set to that of the returned packet.
	packet_header next_header(const routing_view& view, std::uint32_t& client)
	{
		packet_header header;
		header.service = service_id{1};
		header.upstream = upstream_id{1};
		header.rev = view.rev;
		header.flow.service = *parse_endpoint("192.0.2.1:80");
		do
		{
			++client;
			header.flow.client.ip.bytes[13] = static_cast<std::uint8_t>(client >> 16U);
			header.flow.client.ip.bytes[12] = static_cast<std::uint8_t>(client >> 24U);
			header.flow.client.port = static_cast<std::uint16_t>(client);
		} while (std::get<route>(route_packet(view, header.flow)).upstream != header.upstream);
		return header;
	}

	agent_state make_agent(const routing_view& view, std::uint32_t connections)
	{
		agent_state agent{
			{.upstream = upstream_id{1}, .service = service_id{1}, .agent = {}, .connections = connections},
			monotonic_time{}};
		agent.settings.pause_limit = std::chrono::hours{1};
		// The agent sees its first view at time 0, so that its search window has ended by the time of the packets.
		action_list actions;
		agent_on_view(agent, view, monotonic_time{}, actions);
		return agent;
	}

	/// Admission of 300,000 new flows by an empty agent; reports the heap bytes per flow at the end.
	void new_flows(benchmark::State& state)
	{
		constexpr std::uint32_t flow_count = 300'000;
		const auto view = make_view();
		std::uint32_t client = 0;
		std::vector<packet_header> headers;
		for (std::uint32_t i = 0; i < flow_count; ++i)
		{
			headers.push_back(next_header(view, client));
		}
		const monotonic_time now{std::chrono::seconds{60}};
		double bytes_per_flow = 0;
		for (auto _ : state)
		{
			const auto before = mallinfo2();
			auto agent = make_agent(view, flow_count);
			random_source random{1};
			action_list actions;
			for (const auto& header : headers)
			{
				actions.clear();
				agent_on_packet(agent, {header, {}}, view, now, random, actions);
			}
			const auto after = mallinfo2();
			const auto bytes = (after.uordblks + after.hblkhd) - (before.uordblks + before.hblkhd);
			bytes_per_flow = static_cast<double>(bytes) / static_cast<double>(agent.flows.size());
		}
		state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations()) * flow_count);
		state.counters["bytes_per_flow"] = bytes_per_flow;
	}
	BENCHMARK(new_flows)->Unit(benchmark::kMillisecond);

	/// Packets of 300,000 established flows, in random order.
	void held_flow_packets(benchmark::State& state)
	{
		const auto view = make_view();
		std::uint32_t client = 0;
		std::vector<packet_header> headers;
		auto agent = make_agent(view, 300'000);
		random_source random{1};
		action_list actions;
		const monotonic_time now{std::chrono::seconds{60}};
		for (std::uint32_t i = 0; i < 300'000; ++i)
		{
			headers.push_back(next_header(view, client));
			actions.clear();
			agent_on_packet(agent, {headers.back(), {}}, view, now, random, actions);
		}
		for (auto _ : state)
		{
			actions.clear();
			agent_on_packet(agent, {headers[random.below(headers.size())], {}}, view, now, random, actions);
		}
	}
	BENCHMARK(held_flow_packets);
}
