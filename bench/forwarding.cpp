// Compares one traffic thread of a balancer with a relay that forwards every datagram to one fixed destination with the
// same socket calls. Both run in turn within each iteration, so that other load on the machine affects both equally.

#include "runtime/balancer_worker.hpp"

#include <benchmark/benchmark.h>

#include <array>
#include <chrono>
#include <memory>
#include <string>

namespace nutmegturn::runtime
{
	namespace
	{
		using namespace std::chrono_literals;

		/// Datagrams per burst. A burst fits into a socket receive buffer of the default size, so that none are
		/// dropped.
		constexpr std::size_t burst = 64;

		[[nodiscard]] endpoint any_port()
		{
			auto ep = *parse_endpoint("127.0.0.1:1");
			ep.port = 0;
			return ep;
		}

		[[nodiscard]] file_descriptor open_socket()
		{
			return std::get<0>(open_udp(any_port()));
		}

		void send_burst(int fd, const endpoint& to, std::span<const std::byte> payload)
		{
			static send_batch out{fd, burst};
			for (std::size_t i = 0; i < burst; ++i)
			{
				out.add(to, payload);
			}
			out.flush();
		}

		void forward_a_burst(benchmark::State& state)
		{
			const std::vector<std::byte> payload(static_cast<std::size_t>(state.range(0)));
			const auto sender = open_socket();
			const auto sink = open_socket();
			const auto sink_endpoint = local_endpoint(sink.get());

			traffic_shared_state shared_state;
			metrics_shard metrics;
			std::array<ingress_return_path, 1> return_paths;
			const std::array<shared_key, 1> secret{{{1, {}}}};
			const auto keys = state.range(1) != 0 ? *make_key_ring(secret) : key_ring{};
			auto worker = std::get<0>(balancer_worker::open(
				{{{any_port(), ingress_mode::plain}}, any_port(), keys, return_paths}, shared_state, metrics));
			deployment records;
			records.rev = revision{1};
			records.zones = {{zone_id{1}, "/d/z", "", zone_admin_state::in}};
			records.services = {{service_id{2}, "/d/s", {worker->ingress(0)}}};
			for (std::uint64_t i = 1; i <= 11; ++i)
			{
				records.upstreams.push_back({upstream_id{i}, service_id{2}, zone_id{1}, "/d/z/s/" + std::to_string(i),
											 sink_endpoint, sink_endpoint, 5});
			}
			shared_state.view.store(std::make_shared<const routing_view>(build_routing_view(records, {}, nullptr)));

			const auto relay = open_socket();
			const auto relay_endpoint = local_endpoint(relay.get());
			poller relay_poller;
			if (!relay_poller.add(relay.get(), 0))
			{
				state.SkipWithError("epoll_ctl failed");
				return;
			}
			receive_batch in{64};
			send_batch out{relay.get()};

			std::chrono::nanoseconds balancer_time{0};
			std::chrono::nanoseconds relay_time{0};
			for (auto _ : state)
			{
				send_burst(sender.get(), worker->ingress(0), payload);
				const auto t0 = std::chrono::steady_clock::now();
				worker->run_once(0ns);
				const auto t1 = std::chrono::steady_clock::now();
				discard_pending(sink.get());

				send_burst(sender.get(), relay_endpoint, payload);
				const auto t2 = std::chrono::steady_clock::now();
				static_cast<void>(relay_poller.wait(0ns));
				const std::size_t n = in.receive(relay.get());
				for (std::size_t i = 0; i < n; ++i)
				{
					out.add(sink_endpoint, in.payload(i));
				}
				out.flush();
				const auto t3 = std::chrono::steady_clock::now();
				discard_pending(sink.get());

				balancer_time += t1 - t0;
				relay_time += t3 - t2;
				state.SetIterationTime(std::chrono::duration<double>(t1 - t0).count());
			}
			const auto datagrams = static_cast<double>(state.iterations() * burst);
			state.counters["balancer_ns"] = static_cast<double>(balancer_time.count()) / datagrams;
			state.counters["relay_ns"] = static_cast<double>(relay_time.count()) / datagrams;
			state.counters["rate_share"] =
				static_cast<double>(relay_time.count()) / static_cast<double>(balancer_time.count());
		}

		BENCHMARK(forward_a_burst)
			->ArgNames({"payload", "keys"})
			->Args({64, 0})
			->Args({64, 1})
			->Args({1'200, 0})
			->Args({1'200, 1})
			->UseManualTime();
	}
}
