#include "nutmegturn/steering/settings_change.hpp"

namespace nutmegturn::steering
{
	namespace
	{
		template <typename T>
		void apply(T& current, const T& read, std::string_view name, settings_change& change)
		{
			if (current != read)
			{
				current = read;
				change.applied.push_back(name);
			}
		}

		template <typename T>
		void compare(const T& current, const T& read, std::string_view name, settings_change& change)
		{
			if (current != read)
			{
				change.after_restart.push_back(name);
			}
		}
	}

	settings_change apply_settings(node_settings& current, const node_settings& read)
	{
		settings_change change;
		apply(current.stop_grace, read.stop_grace, "stop_grace", change);
		apply(current.store, read.store, "store", change);
		compare(current.name, read.name, "name", change);
		compare(current.zone, read.zone, "zone", change);
		compare(current.instance, read.instance, "instance", change);
		compare(current.caller_packets, read.caller_packets, "caller_packets", change);
		compare(current.readiness, read.readiness, "readiness", change);
		compare(current.peer_port, read.peer_port, "peer_port", change);
		compare(current.service, read.service, "service", change);
		compare(current.upstream, read.upstream, "upstream", change);
		compare(current.upstream_outbound, read.upstream_outbound, "upstream_outbound", change);
		return change;
	}
}
