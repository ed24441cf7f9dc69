#include "fleet.hpp"
#include "measurement.hpp"

#include <array>
#include <chrono>
#include <string>

namespace capacity
{
	namespace
	{
		constexpr auto source = "src/membership.cpp";
		constexpr std::uint64_t seed = 1;
		constexpr std::array<std::size_t, 4> sizes{100, 300, 1'000, 3'000};
		constexpr double steady_seconds = 10;
		constexpr std::chrono::seconds one_second{1};
	}

	std::vector<measurement> measure_membership()
	{
		const std::string unit = "processes";
		measurement state_bytes{"member list", unit, "bytes per process", source, {}};
		measurement cpu{"membership at rest", unit, "us of processor time per second and process", source, {}};
		measurement tick_cpu{
			"membership ticks at rest", unit, "us of processor time per second and process", source, {}};
		measurement bytes{"membership at rest, sent", unit, "bytes per second and process", source, {}};
		std::vector<measurement> kinds;
		for (const auto name : message_kind_names)
		{
			kinds.push_back(
				{"messages at rest, " + std::string{name}, unit, "messages per second and process", source, {}});
			kinds.push_back({"bytes at rest, " + std::string{name}, unit, "bytes per second and process", source, {}});
		}
		measurement restart_bytes{"one restart, sent", unit, "bytes per process", source, {}};
		measurement restart_updates{"one restart, updates sent", unit, "updates per process", source, {}};
		measurement restart_cpu{"one restart", unit, "us of processor time per process", source, {}};
		measurement restart_fetch{"member list fetched by a restarted process", unit, "bytes", source, {}};
		measurement restart_time{"member list complete after a restart", unit, "ms of virtual time", source, {}};
		measurement copy_time{"member list copied for the other modules", unit, "us of processor time", source, {}};
		for (const auto n : sizes)
		{
			const auto x = static_cast<double>(n);
			const auto before = heap_in_use();
			fleet it{n, seed};
			state_bytes.points.push_back({x, static_cast<double>(heap_in_use() - before) / x});
			it.run(one_second);
			it.reset_counts();
			it.run(std::chrono::milliseconds{static_cast<int>(steady_seconds * 1'000)});
			const auto scale = 1 / (x * steady_seconds);
			const auto steady_bytes = static_cast<double>(it.sent.total_bytes()) * scale;
			const auto steady_updates = static_cast<double>(it.sent.updates) * scale;
			const auto steady_cpu = microseconds(it.cpu) * scale;
			cpu.points.push_back({x, steady_cpu});
			tick_cpu.points.push_back({x, microseconds(it.tick_cpu) * scale});
			bytes.points.push_back({x, steady_bytes});
			for (std::size_t k = 0; k < message_kind_names.size(); ++k)
			{
				kinds[2 * k].points.push_back({x, static_cast<double>(it.sent.messages[k]) * scale});
				kinds[2 * k + 1].points.push_back({x, static_cast<double>(it.sent.bytes[k]) * scale});
			}

			// Updates of the last restart are still disseminated after it, so the measurement continues for `settling`.
			it.reset_counts();
			constexpr std::size_t restarts = 10;
			constexpr std::chrono::seconds settling{10};
			for (std::size_t i = 0; i < restarts; ++i)
			{
				it.restart(11 + i);
				it.run(one_second);
			}
			it.run(settling);
			const auto duration = static_cast<double>(restarts) + static_cast<double>(settling.count());
			const auto per_restart = [&](double total, double steady_rate)
			{ return (total / x - steady_rate * duration) / restarts; };
			restart_bytes.points.push_back({x, per_restart(static_cast<double>(it.sent.total_bytes()), steady_bytes)});
			restart_updates.points.push_back({x, per_restart(static_cast<double>(it.sent.updates), steady_updates)});
			restart_cpu.points.push_back({x, per_restart(microseconds(it.cpu), steady_cpu)});

			const auto start = thread_cpu_time();
			const auto view = nutmegturn::make_member_view(it.processes[0].members);
			copy_time.points.push_back(
				{static_cast<double>(view.members.size()), microseconds(thread_cpu_time() - start)});

			it.restart(50);
			const auto time = it.run_until(std::chrono::seconds{60}, [&it] { return it.processes[50].members.synced; });
			restart_time.points.push_back({x, static_cast<double>(time.count())});
			restart_fetch.points.push_back({x, static_cast<double>(it.processes[50].bytes_received)});
		}
		std::vector<measurement> all{state_bytes,     cpu,         tick_cpu,      bytes,        restart_bytes,
									 restart_updates, restart_cpu, restart_fetch, restart_time, copy_time};
		all.insert(all.end(), kinds.begin(), kinds.end());
		return all;
	}
}
