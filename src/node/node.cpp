#include "node/node.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <array>

namespace nutmegturn::node
{
	using steering::record_group;
	using steering::to_endpoint;

	namespace
	{
		/// Between attempts to read orders from another process.
		constexpr std::chrono::milliseconds relay_interval{500};

		constexpr std::chrono::milliseconds relay_timeout{400};
	}

	node::node(const steering::node_settings& given, node_log& out)
		: settings{given}, log{out},
		  orders{loop, log, known, to_endpoint(given.store), record_group::operator_orders, process_seed(given)},
		  upstreams{loop, log, known, to_endpoint(given.store), record_group::upstreams, process_seed(given) + 1}
	{
	}

	void node::start()
	{
		orders.start();
		upstreams.start();
	}

	void node::hear_of_orders(steering::ipv4 instance, std::uint64_t revision, steering::ipv4 balancer)
	{
		const auto now = loop.now();
		if (now - relay_asked < relay_interval)
		{
			return;
		}
		const bool orders_wanted = orders.state().away && revision > known.orders_revision;
		const bool upstreams_wanted =
			upstreams.state().away && !upstreams.state().listed_once && balancer != steering::ipv4{};
		if (orders_wanted)
		{
			read_from(instance, orders_relay, orders_path, orders);
		}
		if (upstreams_wanted)
		{
			read_from(balancer, upstreams_relay, upstreams_path, upstreams);
		}
	}

	void node::read_from(steering::ipv4 instance, std::unique_ptr<http_connection>& connection, std::string_view path,
						 store_reader& reader)
	{
		relay_asked = loop.now();
		// Addresses of the status servers differ in the instance only.
		connection =
			std::make_unique<http_connection>(loop, to_endpoint({.ip = instance, .port = settings.readiness.port}));
		connection->get(std::string{path}, relay_timeout,
						[&reader](const http_outcome& outcome) { reader.take_relayed(outcome); });
	}

	std::string node::listen(status_server& server) const
	{
		const auto why = server.listen(to_endpoint({.ip = settings.instance, .port = metrics_port}));
		if (!why.empty())
		{
			log.write(log_level::warning, "metrics_not_served", why);
		}
		return server.listen(to_endpoint(settings.readiness));
	}

	std::string node::metrics_text()
	{
		const auto age = loop.now() - orders.state().answered;
		metrics.set(gauge::config_revision, static_cast<std::int64_t>(known.version));
		metrics.set(gauge::config_age_milliseconds, std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
		metrics.set(gauge::view_current, configuration_current() ? 1 : 0);
		metrics_snapshot snapshot{std::array<const metrics_shard*, 1>{&metrics}};
		return fmt::format("{}nutmegturn_store_calls_total {}\nnutmegturn_log_lines_dropped_total {}\n",
						   snapshot.to_prometheus(), orders.calls() + upstreams.calls(), log.dropped());
	}

	bool node::loaded() const noexcept
	{
		return orders.state().listed_once && upstreams.state().listed_once && known.version != 0;
	}

	bool node::configuration_current() const noexcept
	{
		return known.version != 0 && is_current(orders.state(), loop.now());
	}

	bool node::upstreams_complete() const noexcept
	{
		return loaded() && is_current(upstreams.state(), loop.now()) && !is_settling(upstreams.state(), loop.now());
	}

	std::uint64_t process_seed(const steering::node_settings& settings) noexcept
	{
		const auto time = static_cast<std::uint64_t>(runtime::read_clock().time_since_epoch().count());
		return time ^ (std::uint64_t{static_cast<std::uint32_t>(settings.instance)} << 32U) ^
			   static_cast<std::uint64_t>(::getpid());
	}
}
