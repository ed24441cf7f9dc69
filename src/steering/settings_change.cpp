#include "nutmegturn/steering/settings_change.hpp"

namespace nutmegturn::steering
{
	namespace
	{
		template <typename T>
		void apply_if_changed(T& current, const T& read, std::string_view name, settings_change& change)
		{
			if (current != read)
			{
				current = read;
				change.applied.push_back(name);
			}
		}

		template <typename T>
		void report_if_changed(const T& current, const T& read, std::string_view name, settings_change& change)
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
		apply_if_changed(current.stop_grace, read.stop_grace, "stop_grace", change);
		apply_if_changed(current.placement, read.placement, "placement", change);
		apply_if_changed(current.store, read.store, "store", change);
		report_if_changed(current.name, read.name, "name", change);
		report_if_changed(current.zone, read.zone, "zone", change);
		report_if_changed(current.instance, read.instance, "instance", change);
		report_if_changed(current.caller_packets, read.caller_packets, "caller_packets", change);
		report_if_changed(current.readiness, read.readiness, "readiness", change);
		report_if_changed(current.peer_port, read.peer_port, "peer_port", change);
		report_if_changed(current.service, read.service, "service", change);
		report_if_changed(current.upstream, read.upstream, "upstream", change);
		report_if_changed(current.upstream_outbound, read.upstream_outbound, "upstream_outbound", change);
		return change;
	}
}
