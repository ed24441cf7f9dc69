#include "fleet.hpp"
#include "measurement.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <string>

namespace capacity
{
	namespace
	{
		using namespace nutmegturn;
		using std::chrono::milliseconds;
		using std::chrono::seconds;

		constexpr auto source = "src/membership.cpp";
		constexpr std::uint64_t seed = 2;
		constexpr std::array<std::size_t, 3> sizes{100, 200, 400};
		constexpr std::size_t zone_count = 18;
		constexpr std::size_t region_count = 5;
		constexpr std::size_t rack_size = 40;

		/// Returns whether `predicate` is true for each other process as seen by each running process. The check starts
		/// at the observer that failed last, which is the most likely to fail again.
		bool all_agree(const fleet& it, const std::function<bool(std::size_t, const process&)>& predicate)
		{
			static std::size_t first_observer = 0;
			const auto n = it.processes.size();
			for (std::size_t k = 0; k < n; ++k)
			{
				const auto observer = (first_observer + k) % n;
				for (std::size_t i = 0; i < n && !it.processes[observer].down; ++i)
				{
					if (i != observer && !predicate(i, it.processes[observer]))
					{
						first_observer = observer;
						return false;
					}
				}
			}
			return true;
		}

		/// Returns whether each running process considers exactly those processes dead that are down.
		bool failures_detected(const fleet& it)
		{
			return all_agree(it,
							 [&it](std::size_t i, const process& observer)
							 {
								 const auto found = observer.members.members.find(it.processes[i].members.self.id);
								 const bool dead = found == observer.members.members.end() ||
												   found->second.info.liveness == member_liveness::dead;
								 return dead == it.processes[i].down;
							 });
		}

		/// Returns whether each running process sees each other process alive with its current incarnation.
		bool incarnations_known(const fleet& it)
		{
			return all_agree(it,
							 [&it](std::size_t i, const process& observer)
							 {
								 const auto& self = it.processes[i].members.self;
								 const auto found = observer.members.members.find(self.id);
								 return found != observer.members.members.end() &&
										found->second.info.process_incarnation == self.process_incarnation &&
										found->second.info.liveness == member_liveness::alive;
							 });
		}

		/// Time until a membership event has reached all processes, and the load until then.
		struct event_cost
		{
			measurement time;
			measurement bytes;
			measurement max_bytes;
			measurement messages;
			measurement cpu;

			explicit event_cost(const std::string& name)
				: time{name + ", until all agree", "processes", "ms of virtual time", source, {}},
				  bytes{name + ", mean", "processes", "bytes per second and process", source, {}},
				  max_bytes{name + ", busiest process", "processes", "bytes per second", source, {}},
				  messages{name + ", mean", "processes", "messages per second and process", source, {}},
				  cpu{name + ", mean", "processes", "us of processor time per second and process", source, {}}
			{
			}

			/// Runs until `converged` is true or `limit` has passed, and records the rates over this time or 5 s,
			/// whichever is longer.
			void add(fleet& it, const std::function<bool(const fleet&)>& converged, seconds limit)
			{
				it.reset_counts();
				const auto until = it.run_until(limit, [&] { return converged(it); });
				const auto rest = std::max(milliseconds{0}, milliseconds{5'000} - until);
				it.run(rest);
				const auto x = static_cast<double>(it.processes.size());
				const auto duration = static_cast<double>((until + rest).count()) / 1e3;
				const auto running = static_cast<double>(std::ranges::count(it.processes, false, &process::down));
				std::uint64_t max_sent = 0;
				for (const auto& each : it.processes)
				{
					max_sent = std::max(max_sent, each.bytes_sent);
				}
				time.points.push_back({x, static_cast<double>(until.count())});
				bytes.points.push_back({x, static_cast<double>(it.sent.total_bytes()) / running / duration});
				max_bytes.points.push_back({x, static_cast<double>(max_sent) / duration});
				messages.points.push_back({x, static_cast<double>(it.sent.total_messages()) / running / duration});
				cpu.points.push_back({x, microseconds(it.cpu) / running / duration});
			}

			void append_to(std::vector<measurement>& all) const
			{
				all.insert(all.end(), {time, bytes, max_bytes, messages, cpu});
			}
		};

		bool is_in_zone(std::size_t i, std::size_t zone)
		{
			return i % zone_count == zone;
		}

		bool is_in_region(std::size_t i, std::size_t region)
		{
			return i % zone_count % region_count == region;
		}
	}

	std::vector<measurement> measure_events()
	{
		event_cost rack{"rack of 40 lost"};
		event_cost zone{"zone lost"};
		event_cost region{"region lost"};
		event_cost partitioned{"region cut off"};
		event_cost rejoined{"region joins again after 2 min"};
		event_cost restart{"zone restarts at once"};
		for (const auto n : sizes)
		{
			const auto measure_loss = [n](event_cost& cost, const std::function<bool(std::size_t)>& is_lost)
			{
				fleet it{n, seed};
				it.run(seconds{1});
				for (std::size_t i = 0; i < n; ++i)
				{
					it.processes[i].down = is_lost(i);
				}
				cost.add(it, failures_detected, seconds{60});
			};
			measure_loss(rack, [](std::size_t i) { return i >= rack_size && i < 2 * rack_size; });
			measure_loss(zone, [](std::size_t i) { return is_in_zone(i, 1); });
			measure_loss(region, [](std::size_t i) { return is_in_region(i, 1); });

			fleet split{n, seed};
			split.run(seconds{1});
			for (std::size_t i = 0; i < n; ++i)
			{
				split.processes[i].partition = is_in_region(i, 1) ? 1 : 0;
			}
			const auto partition_detected = [](const fleet& it)
			{
				return all_agree(it,
								 [&it](std::size_t i, const process& observer)
								 {
									 const auto found = observer.members.members.find(it.processes[i].members.self.id);
									 const bool dead = found == observer.members.members.end() ||
													   found->second.info.liveness == member_liveness::dead;
									 return dead == (it.processes[i].partition != observer.partition);
								 });
			};
			partitioned.add(split, partition_detected, seconds{60});
			split.run(seconds{110});
			for (auto& each : split.processes)
			{
				each.partition = 0;
			}
			rejoined.add(split, incarnations_known, seconds{120});

			fleet restarted{n, seed};
			restarted.run(seconds{1});
			for (std::size_t i = 0; i < n; ++i)
			{
				if (is_in_zone(i, 1))
				{
					restarted.restart(i);
				}
			}
			restart.add(restarted, incarnations_known, seconds{60});
		}
		std::vector<measurement> all;
		for (const auto* it : {&rack, &zone, &region, &partitioned, &rejoined, &restart})
		{
			it->append_to(all);
		}
		return all;
	}
}
