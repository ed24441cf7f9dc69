#include "nutmegturn/steering/agent_flows.hpp"
#include "nutmegturn/steering/balancer_flows.hpp"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <array>
#include <cstdint>
#include <string>

namespace
{
	using namespace nutmegturn;
	using namespace nutmegturn::steering;

	constexpr monotonic_time start{std::chrono::hours{1}};

	/// Size of an opening packet, in bytes.
	constexpr std::size_t opening_size = 31;

	[[nodiscard]] ipv4 instance(std::uint32_t number)
	{
		return ipv4{0x0a000000U + number};
	}

	[[nodiscard]] std::string service_name(std::uint32_t number)
	{
		return "desk-" + std::to_string(100'000 + number);
	}

	[[nodiscard]] ipv4_endpoint route_address(std::uint32_t number)
	{
		return {.ip = ipv4{0xc6120000U + number}, .port = 443};
	}

	/// Returns the catalog of a number of services with a route and two upstreams each.
	[[nodiscard]] catalog make_catalog(std::uint32_t services)
	{
		catalog known;
		configuration config;
		config.version = 1;
		for (std::uint32_t i = 0; i < services; ++i)
		{
			config.routes.push_back(
				{.address = route_address(i), .services = {{.service = service_name(i), .weight = 1}}});
			config.services.push_back(
				{.name = service_name(i), .cold_time = milliseconds{0}, .cold_requests_per_s = 0.0});
		}
		apply_record(known, record_group::operator_orders,
					 {.key = "config", .revision = {.number = 1}, .created = {}, .value = config, .encoded = {}},
					 start);
		for (std::uint32_t i = 0; i < 2 * services; ++i)
		{
			upstream_entry entry;
			entry.service = service_name(i / 2);
			entry.address = {.ip = instance(i), .port = 8080};
			entry.zone = "zone-a";
			const auto key = std::to_string(1'000'000 + i);
			apply_record(known, record_group::upstreams,
						 {.key = key, .revision = {.number = 1}, .created = {}, .value = entry, .encoded = {}}, start);
		}
		return known;
	}

	/// Steers one opening packet among `range(0)` services and has the agent decide on it: the balancer's decision, the
	/// message there, and the agent's.
	void steer_and_admit_opening(benchmark::State& run)
	{
		const auto services = static_cast<std::uint32_t>(run.range(0));
		const auto before = ::mallinfo2().uordblks;
		const auto known = make_catalog(services);
		const auto table_bytes = ::mallinfo2().uordblks - before;
		balancer_state balancer;
		balancer.zone = "zone-a";
		upstream_gate gate;
		gate.zone = "zone-a";
		const std::array<std::byte, opening_size> bytes{};
		std::array<std::byte, 2'048> buf{};
		std::size_t size = 0;
		std::uint32_t number = 0;
		for (auto _ : run)
		{
			segment packet;
			packet.syn = true;
			packet.source = {.ip = ipv4{0x64400000U + number % 1'000}, .port = 40'000};
			packet.destination = route_address(number++ % services);
			const auto decision = steer_packet(balancer, known, packet, start, true);
			message msg;
			msg.kind = decision.kind;
			msg.service = decision.service;
			msg.packet = bytes;
			size = encode_message(msg, buf);
			const auto got = decode_message(std::span{buf}.first(size));
			gate.service = decision.service;
			gate.instance = decision.agents.front();
			benchmark::DoNotOptimize(admit_opening(gate, known, got->service, got->version, packet.destination, start));
			balancer.flows.clear();
		}
		run.counters["message_bytes"] = static_cast<double>(size);
		run.counters["table_bytes_per_service"] = static_cast<double>(table_bytes) / services;
	}
	BENCHMARK(steer_and_admit_opening)->Arg(1)->Arg(30)->Arg(6'300);
}
