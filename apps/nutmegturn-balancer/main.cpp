// Balancer daemon: forwards datagrams of callers to the agents, and answers of the agents to the fabric.

#include "nutmegturn/routing_view.hpp"

#include "runtime/balancer_worker.hpp"
#include "runtime/command_line.hpp"
#include "runtime/control_plane.hpp"
#include "runtime/daemon.hpp"
#include "runtime/signals.hpp"

#include <QCoreApplication>

#include <fmt/format.h>

#include <cstdio>
#include <memory>
#include <thread>
#include <vector>

namespace nutmegturn
{
	namespace
	{
		using namespace std::chrono_literals;

		/// A drain ends after this time without a packet, or after `max_drain_time`.
		constexpr auto drain_idle_time = 1s;
		constexpr auto max_drain_time = 10s;

		class balancer_daemon
		{
		public:
			explicit balancer_daemon(const settings& config) : settings_{config}, returns_(config.ingress.size()) {}

			balancer_daemon(const balancer_daemon&) = delete;
			balancer_daemon(balancer_daemon&&) = delete;
			balancer_daemon& operator=(const balancer_daemon&) = delete;
			balancer_daemon& operator=(balancer_daemon&&) = delete;

			~balancer_daemon()
			{
				traffic_.stop.store(true);
				threads_.clear();
			}

			/// Opens the control plane and the sockets, and starts the traffic threads.
			/// \returns	Nothing on success, otherwise the reason why the daemon cannot start.
			[[nodiscard]] std::optional<std::string> start()
			{
				runtime::control_hooks hooks;
				hooks.on_change = [this](const deployment& records, const member_view& members)
				{ publish(records, members); };
				hooks.on_tick = [this](monotonic_time now) { finish_drain_when_idle(now); };
				auto plane = runtime::control_plane::open(settings_, traffic_, std::move(hooks));
				if (!has_value(plane))
				{
					return std::get<1>(std::move(plane));
				}
				plane_ = std::get<0>(std::move(plane));
				const runtime::balancer_worker_config config{settings_.ingress, settings_.data, plane_->keys(),
															 returns_};
				for (std::uint32_t i = 0; i < settings_.traffic_threads; ++i)
				{
					shards_.push_back(std::make_unique<metrics_shard>());
					auto worker = runtime::balancer_worker::open(config, traffic_, *shards_.back());
					if (!has_value(worker))
					{
						return std::get<1>(std::move(worker));
					}
					plane_->add_shard(shards_.back().get());
					workers_.push_back(std::get<0>(std::move(worker)));
				}
				for (const auto& it : workers_)
				{
					threads_.emplace_back([worker = it.get()] { worker->run(); });
				}
				plane_->start();
				return std::nullopt;
			}

			/// Starts draining. A second signal, or one during start-up, ends the process at once.
			void stop(int signals)
			{
				if (signals > 1 || plane_->process_state() == "starting")
				{
					QCoreApplication::quit();
					return;
				}
				plane_->submit_process_event("signal.stop");
				plane_->announce(member_liveness::leaving, {});
				stopping_since_ = runtime::read_clock();
			}

		private:
			void publish(const deployment& records, const member_view& members)
			{
				const auto previous = traffic_.view.load();
				traffic_.view.store(
					std::make_shared<const routing_view>(build_routing_view(records, members, previous.get())));
			}

			void finish_drain_when_idle(monotonic_time now)
			{
				if (!stopping_since_)
				{
					return;
				}
				const auto last = std::max(traffic_.last_packet.load(), *stopping_since_);
				if (now - last > drain_idle_time || now - *stopping_since_ > max_drain_time)
				{
					plane_->submit_process_event("drain.done");
					QCoreApplication::quit();
				}
			}

			settings settings_;
			runtime::traffic_shared_state traffic_;
			std::vector<runtime::ingress_return_path> returns_;
			std::vector<std::unique_ptr<metrics_shard>> shards_;
			std::unique_ptr<runtime::control_plane> plane_;
			std::vector<std::unique_ptr<runtime::balancer_worker>> workers_;
			std::vector<std::jthread> threads_;
			std::optional<monotonic_time> stopping_since_;
		};
	}
}

int main(int argc, char** argv)
{
	using namespace nutmegturn;
	const auto config = runtime::read_daemon_arguments(argc, argv, member_role::balancer);
	if (const auto* status = std::get_if<int>(&config))
	{
		return *status;
	}
	runtime::block_stop_signals();
	QCoreApplication app{argc, argv};
	balancer_daemon daemon{std::get<settings>(config)};
	if (const auto error = daemon.start())
	{
		fmt::print(stderr, "{}\n", *error);
		return runtime::exit_failure;
	}
	const runtime::stop_signals signals{[&](int n) { daemon.stop(n); }};
	return QCoreApplication::exec();
}
