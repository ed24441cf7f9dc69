#include "nutmegturn/steering/upstream_choice.hpp"

#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>

namespace
{
	using namespace nutmegturn;
	using namespace nutmegturn::steering;

	constexpr monotonic_time start{std::chrono::hours{1}};

	/// Zones of the benchmark's service.
	constexpr std::uint32_t zone_count = 5;

	[[nodiscard]] ipv4 instance(std::uint32_t number)
	{
		return ipv4{0x0a000000U + number};
	}

	/// Returns the catalog of one service.
	[[nodiscard]] catalog make_catalog(std::uint32_t upstreams)
	{
		catalog known;
		for (std::uint32_t i = 0; i < upstreams; ++i)
		{
			upstream_entry entry;
			entry.service = "desk";
			entry.address = {.ip = instance(i), .port = 8080};
			entry.zone = std::to_string(i % zone_count);
			entry.slots = 3;
			const auto key = std::to_string(1'000'000 + i);
			apply_record(known, record_group::upstreams,
						 {.key = key, .revision = {.number = 1}, .created = {}, .value = entry, .encoded = {}}, start);
		}
		return known;
	}

	/// Returns the loads of a balancer that has heard all agents within the last 100 ms.
	[[nodiscard]] load_table make_loads(std::uint32_t upstreams)
	{
		load_table loads;
		for (std::uint32_t i = 0; i < upstreams; ++i)
		{
			auto& load = loads[instance(i)];
			const auto requests = static_cast<std::uint16_t>(detail::mix_bits(i) % 5);
			load.report.admission = admission_status::accepting;
			load.report.requests_in_progress = requests;
			load.reported_at = start + milliseconds{900 + i % 100};
			load.work = {.outstanding = milliseconds{requests * 40 + i % 20},
						 .mean_cost = milliseconds{35 + i % 10},
						 .cost_deviation = milliseconds{30}};
			load.work_reported_at = load.reported_at;
		}
		return loads;
	}

	/// One placement in a service of `range(0)` upstreams in 5 zones.
	void placement(benchmark::State& state)
	{
		const auto upstreams = static_cast<std::uint32_t>(state.range(0));
		const auto known = make_catalog(upstreams);
		const auto loads = make_loads(upstreams);
		const std::string_view service = "desk";
		const auto now = start + milliseconds{1'000};
		std::uint64_t flow = 0;
		for (auto _ : state)
		{
			benchmark::DoNotOptimize(choose_upstream(known, service, loads, "1", {}, detail::mix_bits(++flow), 0,
													 placement_policy::request_cost, now));
		}
	}
	BENCHMARK(placement)->Arg(50)->Arg(64)->Arg(65)->Arg(1'000)->Arg(10'000)->Arg(70'000);
}
