#include "nutmegturn/balancer.hpp"
#include "nutmegturn/random.hpp"
#include "nutmegturn/routing_view.hpp"

#include <benchmark/benchmark.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace
{
	using namespace nutmegturn;

	deployment make_deployment(std::size_t upstreams, std::size_t services)
	{
		deployment records;
		records.rev = revision{1};
		records.zones.resize(18);
		for (std::size_t i = 0; i < records.zones.size(); ++i)
		{
			records.zones[i].id = zone_id{i + 1};
		}
		for (std::size_t i = 0; i < services; ++i)
		{
			auto& it = records.services.emplace_back();
			it.id = service_id{i + 1};
			it.addresses = {{*parse_address("10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250)), 80}};
		}
		for (std::size_t i = 0; i < upstreams; ++i)
		{
			auto& it = records.upstreams.emplace_back();
			it.id = upstream_id{i + 1};
			it.service = service_id{i % services + 1};
			it.zone = zone_id{i % 18 + 1};
			it.agent = {*parse_address("10.1." + std::to_string(i / 6 / 250) + "." + std::to_string(i / 6 % 250)),
						7000};
		}
		return records;
	}

	/// Returns one agent per six upstreams, as in a deployment of 11,000 daemons.
	member_view make_members(const deployment& records)
	{
		member_view members;
		for (std::size_t i = 0; i < records.upstreams.size(); i += 6)
		{
			auto& it = members.members.emplace_back();
			it.id = member_id{i};
			it.role = member_role::agent;
			it.data = records.upstreams[i].agent;
		}
		return members;
	}

	std::vector<flow_key> make_keys(const deployment& records)
	{
		random_source random{1};
		std::vector<flow_key> keys(1U << 16U);
		for (auto& it : keys)
		{
			const auto client = random();
			for (std::size_t i = 0; i < 4; ++i)
			{
				it.client.ip.bytes[12 + i] = static_cast<std::uint8_t>(client >> (8 * i));
			}
			it.client.port = static_cast<std::uint16_t>(client >> 32U);
			it.service = records.services[random.below(records.services.size())].addresses[0];
		}
		return keys;
	}

	/// Single routing decisions for random flows of random services.
	void routing_decision(benchmark::State& state)
	{
		const auto records =
			make_deployment(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
		const auto view = build_routing_view(records, make_members(records), nullptr);
		const auto keys = make_keys(records);
		std::size_t i = 0;
		for (auto _ : state)
		{
			benchmark::DoNotOptimize(route_packet(view, keys[i++ % keys.size()]));
		}
	}
	BENCHMARK(routing_decision)->Args({10, 1})->Args({1000, 90})->Args({70'000, 6300});

	/// Routing decisions for batches of 64 packets, the size of one batched socket read; the reported time is per
	/// packet.
	void routing_batch(benchmark::State& state)
	{
		const auto records =
			make_deployment(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
		const auto view = build_routing_view(records, make_members(records), nullptr);
		const auto keys = make_keys(records);
		constexpr std::size_t batch = 64;
		std::vector<route_outcome> outcomes(batch, reason::none);
		std::size_t i = 0;
		while (state.KeepRunningBatch(batch))
		{
			route_packets(view, std::span{keys}.subspan(i, batch), outcomes);
			benchmark::DoNotOptimize(outcomes.data());
			benchmark::ClobberMemory();
			i = (i + batch) % keys.size();
		}
	}
	BENCHMARK(routing_batch)->Args({10, 1})->Args({1000, 90})->Args({70'000, 6300});

	/// Build of a routing view from records and members, without a previous view.
	void view_from_scratch(benchmark::State& state)
	{
		const auto records =
			make_deployment(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
		const auto members = make_members(records);
		for (auto _ : state)
		{
			benchmark::DoNotOptimize(build_routing_view(records, members, nullptr));
		}
	}
	BENCHMARK(view_from_scratch)->Args({1000, 90})->Args({70'000, 6300})->Unit(benchmark::kMillisecond);

	/// Rebuild of a routing view from the previous one after one upstream started or stopped draining.
	void view_after_one_change(benchmark::State& state)
	{
		auto records =
			make_deployment(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
		const auto members = make_members(records);
		auto view = build_routing_view(records, members, nullptr);
		for (auto _ : state)
		{
			auto& changed = records.upstreams.front().state;
			changed = changed == upstream_admin_state::serving ? upstream_admin_state::draining
															   : upstream_admin_state::serving;
			view = build_routing_view(records, members, &view);
		}
	}
	BENCHMARK(view_after_one_change)
		->Args({10, 1})
		->Args({1000, 90})
		->Args({70'000, 6300})
		->Unit(benchmark::kMicrosecond);
}
