#include "nutmegturn/balancer.hpp"

#include "nutmegturn/config_store.hpp"
#include "nutmegturn/random.hpp"
#include "nutmegturn/routing_view.hpp"

#include "measurement.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <memory>
#include <span>
#include <thread>
#include <utility>
#include <variant>

namespace capacity
{
	namespace
	{
		using namespace nutmegturn;

		// Design size: 70,000 upstreams behind 6,300 service addresses, on 11,000 daemons in 18 zones.
		constexpr std::size_t upstreams_per_service = 11;
		constexpr std::size_t upstreams_per_agent = 6;
		constexpr std::size_t zone_count = 18;
		constexpr std::array<std::size_t, 5> sizes{1'000, 3'000, 10'000, 30'000, 70'000};

		std::string upstream_json(std::size_t n, std::string_view state)
		{
			const auto service = n / upstreams_per_service;
			const auto host = n / upstreams_per_agent;
			const auto zone = host % zone_count;
			return fmt::format(
				R"({{"schema":3,"kind":"upstream","name":"/fleet/zone-{0}/service-{1}/{2}","service":"/fleet/service-{1}",)"
				R"("zone":"/fleet/zone-{0}","endpoint":"10.{3}.{4}.{5}:{6}","agent":"10.{3}.{4}.{5}:7300","slots":5,)"
				R"("state":"{7}"}})",
				zone, service, n % upstreams_per_service + 1, host >> 16U, (host >> 8U) & 255U, host & 255U,
				5'000 + n % upstreams_per_agent, state);
		}

		std::vector<record_version> all_records(std::size_t upstreams)
		{
			std::vector<record_version> all;
			const auto add = [&all](std::string key, std::string value) {
				all.push_back({std::move(key), revision{all.size() + 1}, std::move(value)});
			};
			for (std::size_t i = 0; i < zone_count; ++i)
			{
				add(fmt::format("zone-{}", i),
					fmt::format(R"({{"schema":3,"kind":"availability_zone","name":"/fleet/zone-{}"}})", i));
			}
			for (std::size_t n = 0; n < upstreams; ++n)
			{
				const auto service = n / upstreams_per_service;
				if (n % upstreams_per_service == 0)
				{
					add(fmt::format("service-{}", service),
						fmt::format(
							R"({{"schema":3,"kind":"service","name":"/fleet/service-{}","addresses":["11.0.{}.{}:80"]}})",
							service, service >> 8U, service & 255U));
				}
				add(fmt::format("upstream-{}", n), upstream_json(n, "serving"));
			}
			return all;
		}

		member_view members_of(const deployment& records)
		{
			member_view members;
			std::vector<endpoint> agents;
			for (const auto& it : records.upstreams)
			{
				agents.push_back(it.agent);
			}
			std::ranges::sort(agents);
			agents.erase(std::unique(agents.begin(), agents.end()), agents.end());
			for (const auto& it : agents)
			{
				auto& added = members.members.emplace_back();
				added.id = member_id{members.members.size()};
				added.role = member_role::agent;
				added.data = it;
			}
			return members;
		}

		std::vector<flow_key> make_keys(const deployment& records, random_source& random)
		{
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

		/// Routes all keys one by one. Returns a checksum of the decisions, so that none is optimized away.
		std::uint64_t route_all(const routing_view& view, const std::vector<flow_key>& keys)
		{
			std::uint64_t sum = 0;
			for (const auto& it : keys)
			{
				const auto outcome = route_packet(view, it);
				if (const auto* to = std::get_if<route>(&outcome))
				{
					sum += to_number(to->upstream);
				}
			}
			return sum;
		}

		/// Same as `route_all`, but in batches, as a traffic thread reads packets from its socket.
		std::uint64_t route_batches(const routing_view& view, const std::vector<flow_key>& keys)
		{
			constexpr std::size_t batch = 64;
			std::array<route_outcome, batch> outcomes;
			std::uint64_t sum = 0;
			for (std::size_t i = 0; i + batch <= keys.size(); i += batch)
			{
				route_packets(view, std::span{keys}.subspan(i, batch), outcomes);
				for (const auto& it : outcomes)
				{
					const auto* to = std::get_if<route>(&it);
					sum += to != nullptr ? to_number(to->upstream) : 0;
				}
			}
			return sum;
		}

		/// Returns the packets that one traffic thread routes per second of its processor time.
		/// \param replace_view	Whether the view is replaced continuously meanwhile.
		double packets_per_second(const deployment& records, const member_view& members,
								  const std::vector<flow_key>& keys, bool replace_view)
		{
			auto copy = records;
			std::atomic<std::shared_ptr<const routing_view>> current{
				std::make_shared<const routing_view>(build_routing_view(copy, members, nullptr))};
			std::atomic<bool> stop = false;
			std::atomic<std::uint64_t> routed = 0;
			std::chrono::nanoseconds cpu_time{};
			std::thread traffic{[&]
								{
									const auto start = thread_cpu_time();
									std::uint64_t n = 0;
									while (!stop)
									{
										const auto view = current.load();
										n += route_batches(*view, keys) != 0 ? keys.size() : 0;
									}
									cpu_time = thread_cpu_time() - start;
									routed = n;
								}};
			const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds{500};
			while (std::chrono::steady_clock::now() < end)
			{
				if (replace_view)
				{
					auto& state = copy.upstreams.front().state;
					state = state == upstream_admin_state::serving ? upstream_admin_state::draining
																   : upstream_admin_state::serving;
					const auto previous = current.load();
					current = std::make_shared<const routing_view>(build_routing_view(copy, members, previous.get()));
				}
				else
				{
					std::this_thread::sleep_for(std::chrono::milliseconds{10});
				}
			}
			stop = true;
			traffic.join();
			return static_cast<double>(routed.load()) / std::chrono::duration<double>(cpu_time).count();
		}
	}

	std::vector<measurement> measure_balancer()
	{
		constexpr auto store_source = "src/config_store.cpp";
		constexpr auto view_source = "src/routing_view.cpp";
		const std::string unit = "upstreams";
		measurement record_bytes{"record text", unit, "bytes", "src/record.cpp", {}};
		measurement store_bytes{"record store", unit, "bytes", store_source, {}};
		measurement store_time{"record store from nothing", unit, "us of processor time", store_source, {}};
		measurement change_time{"record store, one change", unit, "us of processor time", store_source, {}};
		measurement view_bytes{"routing view", unit, "bytes", view_source, {}};
		measurement view_change_bytes{"bytes of a second view after one change", unit, "bytes", view_source, {}};
		measurement view_time{"routing view from nothing", unit, "us of processor time", view_source, {}};
		measurement view_change_time{"routing view, one change", unit, "us of processor time", view_source, {}};
		measurement route_time{"routing decision", unit, "ns of processor time", "src/balancer.cpp", {}};
		measurement batch_time{"routing decision, batches of 64", unit, "ns of processor time", "src/balancer.cpp", {}};
		measurement stable_view_rate{
			"packets routed a second, view unchanged", unit, "packets", "src/balancer.cpp", {}};
		measurement changing_view_rate{
			"packets routed a second, view replaced without pause", unit, "packets", view_source, {}};
		random_source random{1};
		for (const auto n : sizes)
		{
			const auto x = static_cast<double>(n);
			auto versions = all_records(n);
			double text = 0;
			for (const auto& it : versions)
			{
				text += static_cast<double>(it.key.size() + it.value->size());
			}
			record_bytes.points.push_back({x, text});

			const auto before_store = heap_in_use();
			config_store store;
			auto start = thread_cpu_time();
			config_store_apply(store, versions, versions.back().rev);
			store_time.points.push_back({x, microseconds(thread_cpu_time() - start)});
			store_bytes.points.push_back({x, static_cast<double>(heap_in_use() - before_store)});
			if (config_store_deployment(store).upstreams.size() != n)
			{
				// Rejected records would make the later values too small.
				return {};
			}

			constexpr int changes = 20;
			start = thread_cpu_time();
			for (int i = 0; i < changes; ++i)
			{
				const revision rev{to_number(versions.back().rev) + static_cast<std::uint64_t>(i) + 1};
				const std::vector change{
					record_version{"upstream-0", rev, upstream_json(0, i % 2 == 0 ? "draining" : "serving")}};
				config_store_apply(store, change, rev);
			}
			change_time.points.push_back({x, microseconds(thread_cpu_time() - start) / changes});

			auto records = config_store_deployment(store);
			const auto members = members_of(records);
			const auto before_view = heap_in_use();
			start = thread_cpu_time();
			auto view = std::make_unique<routing_view>(build_routing_view(records, members, nullptr));
			view_time.points.push_back({x, microseconds(thread_cpu_time() - start)});
			const auto after_view = heap_in_use();
			view_bytes.points.push_back({x, static_cast<double>(after_view - before_view)});

			start = thread_cpu_time();
			for (int i = 0; i < changes; ++i)
			{
				records.upstreams.front().state =
					i % 2 == 0 ? upstream_admin_state::draining : upstream_admin_state::serving;
				view = std::make_unique<routing_view>(build_routing_view(records, members, view.get()));
			}
			view_change_time.points.push_back({x, microseconds(thread_cpu_time() - start) / changes});

			records.upstreams.front().state = upstream_admin_state::draining;
			const auto before_second = heap_in_use();
			const auto second = build_routing_view(records, members, view.get());
			view_change_bytes.points.push_back({x, static_cast<double>(heap_in_use() - before_second)});

			const auto keys = make_keys(records, random);
			const auto shortest_time_per_key = [&](auto route_keys)
			{
				auto best = std::chrono::nanoseconds::max();
				std::uint64_t sum = 0;
				for (int i = 0; i < 10; ++i)
				{
					start = thread_cpu_time();
					sum += route_keys(*view, keys);
					best = std::min(best, thread_cpu_time() - start);
				}
				return sum == 0 ? 0 : static_cast<double>(best.count()) / static_cast<double>(keys.size());
			};
			route_time.points.push_back({x, shortest_time_per_key(route_all)});
			batch_time.points.push_back({x, shortest_time_per_key(route_batches)});
			stable_view_rate.points.push_back({x, packets_per_second(records, members, keys, false)});
			changing_view_rate.points.push_back({x, packets_per_second(records, members, keys, true)});
		}
		return {record_bytes, store_bytes,      store_time, change_time, view_bytes,       view_change_bytes,
				view_time,    view_change_time, route_time, batch_time,  stable_view_rate, changing_view_rate};
	}
}
