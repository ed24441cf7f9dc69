#include "node/node.hpp"

#include <unistd.h>

namespace nutmegturn::node
{
	using steering::record_group;

	node::node(const steering::node_settings& given, node_log& out)
		: settings{given}, log{out},
		  orders{loop, log, known, to_endpoint(given.store), record_group::operator_orders, process_seed(given)},
		  upstreams{loop, log, known, to_endpoint(given.store), record_group::upstreams, process_seed(given) + 1}
	{
	}

	void node::follow_own_upstream()
	{
		upstreams.follow_instance(settings.instance);
		orders.check_only();
	}

	void node::start()
	{
		orders.start();
		upstreams.start();
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
