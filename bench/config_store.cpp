#include "nutmegturn/config_store.hpp"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <string>
#include <vector>

namespace
{
	using namespace nutmegturn;

	// At the design size of 70,000 upstreams behind 6,300 service addresses, a service has about 11 upstreams.
	constexpr int upstreams_per_service = 11;
	constexpr int zones = 18;

	std::string upstream_json(int service, int ordinal, const char* state)
	{
		const int host = service * upstreams_per_service + ordinal;
		return fmt::format(
			R"({{"schema":3,"kind":"upstream","name":"/d/z{0}/s{1}/{2}","service":"/d/s{1}","zone":"/d/z{0}",)"
			R"("endpoint":"10.{3}.{4}.{5}:5683","agent":"10.{3}.{4}.{5}:7300","slots":5,"state":"{6}"}})",
			ordinal % zones, service, ordinal + 1, host >> 16, (host >> 8) & 255, host & 255, state);
	}

	std::vector<record_version> snapshot(int upstreams)
	{
		std::vector<record_version> all;
		const auto add = [&all](std::string key, std::string value) {
			all.push_back({std::move(key), revision{all.size() + 1}, std::move(value)});
		};
		for (int z = 0; z < zones; ++z)
		{
			add(fmt::format("z{}", z), fmt::format(R"({{"schema":3,"kind":"availability_zone","name":"/d/z{}"}})", z));
		}
		for (int n = 0; n < upstreams; ++n)
		{
			const int service = n / upstreams_per_service;
			const int ordinal = n % upstreams_per_service;
			if (ordinal == 0)
			{
				add(fmt::format("s{}", service),
					fmt::format(R"({{"schema":3,"kind":"service","name":"/d/s{}","addresses":["11.0.{}.{}:80"]}})",
								service, service >> 8, service & 255));
			}
			add(fmt::format("u{}", n), upstream_json(service, ordinal, "serving"));
		}
		return all;
	}

	/// Applies all records to an empty store.
	void full_answer(benchmark::State& state)
	{
		const auto versions = snapshot(static_cast<int>(state.range(0)));
		for (auto _ : state)
		{
			config_store store;
			config_store_apply(store, versions, versions.back().rev);
			benchmark::DoNotOptimize(store.current.upstreams.data());
		}
	}

	/// Applies a change of one upstream to a filled store.
	void one_change(benchmark::State& state)
	{
		config_store store;
		const auto versions = snapshot(static_cast<int>(state.range(0)));
		config_store_apply(store, versions, versions.back().rev);
		auto rev = to_number(versions.back().rev);
		for (auto _ : state)
		{
			++rev;
			const std::vector change{
				record_version{"u0", revision{rev}, upstream_json(0, 0, rev % 2 == 0 ? "draining" : "serving")}};
			const auto changes = config_store_apply(store, change, revision{rev});
			if (!changes.deployment_changed)
			{
				state.SkipWithError("update did not change the deployment");
			}
		}
	}

	BENCHMARK(full_answer)->Arg(1'000)->Arg(70'000)->Unit(benchmark::kMillisecond);
	BENCHMARK(one_change)->Arg(1'000)->Arg(70'000)->Unit(benchmark::kMillisecond);
}
