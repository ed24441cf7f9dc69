#include "scenario/script_host.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <optional>

namespace nutmegturn::scenario
{
	void script_host::kill(const QString& name)
	{
		if (auto* it = require(name))
		{
			kill_process(world_, *it);
		}
	}

	void script_host::restart(const QString& name)
	{
		if (auto* it = require(name))
		{
			if (it->alive)
			{
				kill_process(world_, *it);
			}
			start_process(world_, *it);
		}
	}

	void script_host::stop(const QString& name)
	{
		if (auto* it = require(name))
		{
			stop_process(world_, *it);
		}
	}

	void script_host::pause(const QString& name, double seconds)
	{
		if (auto* it = require(name))
		{
			pause_process(world_, *it, std::chrono::milliseconds{static_cast<std::int64_t>(seconds * 1'000)});
		}
	}

	void script_host::cold(const QString& name)
	{
		if (auto* it = require_upstream(name))
		{
			append_trace(world_, "reset the warm-up of the upstream at " + name.toStdString());
			it->reset_warm_up(world_.queue.now());
		}
	}

	void script_host::silence(const QString& name, bool silent)
	{
		if (auto* it = require_upstream(name))
		{
			append_trace(world_, (silent ? "silence the upstream at " : "end the silence of the upstream at ") +
									 name.toStdString());
			world_.callers.only_planned_stops = false;
			it->set_silent(silent);
		}
	}

	void script_host::network(const QVariantMap& faults)
	{
		world_.callers.only_planned_stops =
			world_.callers.only_planned_stops && faults.value("loss", 0).toDouble() == 0;
		world_.net.faults = {.loss = faults.value("loss", 0).toDouble(),
							 .duplicate = faults.value("duplicate", 0).toDouble(),
							 .reorder = faults.value("reorder", 0).toDouble()};
	}

	void script_host::partition(const QStringList& one, const QStringList& other)
	{
		world_.net.sides.assign(world_.processes.size(), 0);
		for (std::size_t i = 0; i < world_.processes.size(); ++i)
		{
			const auto name = QString::fromStdString(world_.processes[i]->info.name);
			if (one.contains(name) || other.contains(name))
			{
				world_.net.sides[i] = one.contains(name) ? 1 : 2;
			}
		}
		append_trace(world_, "partition");
		world_.callers.only_planned_stops = false;
	}

	void script_host::heal()
	{
		world_.net.sides.clear();
		world_.control.reachable_since = world_.queue.now();
		append_trace(world_, "heal");
	}

	void script_host::cut_off_from_service(const QStringList& names)
	{
		append_trace(world_, "configuration service unreachable from: " + names.join(' ').toStdString());
		world_.control.reachable_since = world_.queue.now();
		world_.control.cut_off.assign(world_.processes.size(), false);
		for (std::size_t i = 0; i < world_.processes.size(); ++i)
		{
			world_.control.cut_off[i] = names.contains(QString::fromStdString(world_.processes[i]->info.name));
		}
	}

	void script_host::service_down(bool down)
	{
		append_trace(world_, down ? "configuration service down" : "configuration service up");
		world_.service.set_down(down);
		world_.control.reachable_since = world_.queue.now();
		answer_watches(world_);
	}

	void script_host::service_stale(bool stale)
	{
		service_stale_at(stale ? newest_revision() : -1);
	}

	void script_host::service_stale_at(double rev)
	{
		append_trace(world_, rev >= 0 ? fmt::format("configuration service stale at revision {}", rev)
									  : "configuration service no longer stale");
		world_.service.set_stale(rev >= 0 ? std::optional{revision{static_cast<std::uint64_t>(rev)}} : std::nullopt);
		world_.control.reachable_since = world_.queue.now();
		answer_watches(world_);
	}
}
