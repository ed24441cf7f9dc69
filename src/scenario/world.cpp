#include "scenario/world.hpp"

#include "nutmegturn/agent_flows.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>

namespace nutmegturn::scenario
{
	namespace
	{
		constexpr std::size_t max_trace_lines = 400;
		/// Time within which an accepted configuration is in force in every process (invariant 10).
		constexpr std::chrono::seconds config_propagation_limit{8};
		constexpr std::uint16_t control_port = 7200;
		constexpr std::uint16_t data_port = 7300;

		/// Returns the `SERVICE-ORDINAL` part of a canonical upstream name.
		std::string short_name(std::string_view canonical)
		{
			const auto service = canonical.rfind('/', canonical.rfind('/') - 1) + 1;
			std::string out{canonical.substr(service)};
			std::ranges::replace(out, '/', '-');
			return out;
		}

		void update_withdrawal_times(world& w, process& it)
		{
			const auto& upstream = w.upstreams[it.upstream];
			const auto& current = w.records.current;
			const auto zone = std::ranges::find(current.zones, upstream.zone, &zone_config::id);
			const bool zone_out = zone != current.zones.end() && zone->state == zone_admin_state::out;
			if (zone_out != it.zone_out_since.has_value())
			{
				it.zone_changed_at = w.queue.now();
			}
			if (zone_out && !it.zone_out_since)
			{
				it.zone_out_since = w.queue.now();
				it.exempt_through_socket = w.ledger.last_socket;
			}
			if (!zone_out && it.zone_out_since)
			{
				it.zone_out_since.reset();
				it.exempt_through_socket = w.ledger.last_socket;
			}
			const auto record = std::ranges::find(current.upstreams, upstream.id, &upstream_config::id);
			const bool leaving =
				it.stopping || record == current.upstreams.end() || record->state != upstream_admin_state::serving;
			if (!leaving)
			{
				it.leaving_since.reset();
			}
			else if (!it.leaving_since)
			{
				it.leaving_since = w.queue.now();
			}
		}

		void start_missing_agents(world& w)
		{
			for (const auto& it : w.records.current.upstreams)
			{
				const auto known = std::ranges::find(w.upstreams, it.id, &upstream_config::id);
				if (known != w.upstreams.end())
				{
					*known = it;
					continue;
				}
				w.upstreams.push_back(it);
				auto agent = std::make_unique<process>();
				agent->info.name = "agent-" + short_name(it.name);
				agent->info.id = make_id<member_id>(agent->info.name);
				agent->info.role = member_role::agent;
				const auto zone = std::ranges::find(w.records.current.zones, it.zone, &zone_config::id);
				agent->info.zone = zone->name;
				agent->info.data = it.agent;
				agent->info.control = {it.agent.ip, control_port};
				agent->upstream = w.upstreams.size() - 1;
				w.processes.push_back(std::move(agent));
				start_process(w, *w.processes.back());
			}
		}
	}

	process::process() = default;
	process::~process() = default;

	std::vector<listed_instance> world::instance_list() const
	{
		std::vector<listed_instance> out;
		for (const auto& it : processes)
		{
			if (it->alive)
			{
				out.push_back({it->info.name, it->info.control, it->stopping});
			}
		}
		return out;
	}

	bool world::reaches_service_through_peers(process_index i) const
	{
		if (service.is_down())
		{
			return false;
		}
		for (process_index k = 0; k < processes.size(); ++k)
		{
			const bool reads = processes[k]->alive && processes[k]->paused_until <= queue.now() &&
							   (k >= control.cut_off.size() || !control.cut_off[k]);
			if (reads && net.connected(i, k))
			{
				return true;
			}
		}
		return false;
	}

	void append_trace(world& w, std::string_view text)
	{
		const std::chrono::duration<double> at = w.queue.now().time_since_epoch() - std::chrono::hours{1};
		w.trace.push_back(fmt::format("{:10.4f} {}", at.count(), text));
		if (w.print_trace)
		{
			fmt::print(stderr, "{}\n", w.trace.back());
		}
		if (w.trace.size() > max_trace_lines)
		{
			w.trace.pop_front();
		}
	}

	void record_violation(world& w, const std::string& text)
	{
		if (w.first_violation.empty())
		{
			w.first_violation = text;
			append_trace(w, "violation: " + text);
		}
	}

	process* find_process(world& w, std::string_view name) noexcept
	{
		const auto it = std::ranges::find_if(w.processes, [&](const auto& p) { return p->info.name == name; });
		return it == w.processes.end() ? nullptr : it->get();
	}

	process_index process_at(const world& w, const endpoint& data) noexcept
	{
		const auto it = w.by_data_endpoint.find(data);
		return it == w.by_data_endpoint.end() ? w.processes.size() : it->second;
	}

	std::string deploy(world& w, const std::filesystem::path& records)
	{
		std::set<std::filesystem::path> files;
		std::error_code ec;
		for (const auto& it : std::filesystem::directory_iterator{records, ec})
		{
			files.insert(it.path());
		}
		if (ec || files.empty())
		{
			return fmt::format("{}: the folder is unreadable or has no records", records.string());
		}
		std::vector<record_version> versions;
		for (const auto& it : files)
		{
			std::ifstream in{it};
			std::string text{std::istreambuf_iterator<char>{in}, {}};
			const auto rev = w.service.publish(it.stem().string(), text, w.queue.now());
			versions.push_back({it.stem().string(), rev, std::move(text)});
		}
		config_store_apply(w.records, versions, w.service.newest());
		if (!w.records.unresolved.empty() || w.records.current.upstreams.empty())
		{
			return fmt::format(
				"{}: an upstream refers to a service or zone that is not in force, or there is no upstream",
				records.string());
		}
		start_missing_agents(w);
		propagate_view(w, {});
		return {};
	}

	void publish(world& w, const std::string& key, std::optional<std::string> value)
	{
		append_trace(w, fmt::format("publish {} {}", key, value.value_or("(deleted)")));
		const auto rev = w.service.publish(key, value, w.queue.now());
		const std::vector<record_version> versions{{key, rev, std::move(value)}};
		config_store_apply(w.records, versions, rev);
		start_missing_agents(w);
		for (auto& it : w.processes)
		{
			if (it->info.role == member_role::agent)
			{
				update_withdrawal_times(w, *it);
			}
		}
		answer_watches(w);
		propagate_view(w, w.delays.records);
	}

	void add_balancers(world& w, std::size_t n)
	{
		const auto& zones = w.records.current.zones;
		for (std::size_t i = 0; i < n; ++i)
		{
			const auto number = ++w.balancers;
			const auto ip = fmt::format("127.30.{}.{}", number / 250, number % 250 + 1);
			auto it = std::make_unique<process>();
			it->info.name = fmt::format("balancer-{}", number);
			it->info.id = make_id<member_id>(it->info.name);
			it->info.role = member_role::balancer;
			it->info.zone = zones[number % zones.size()].name;
			it->info.data = {*parse_address(ip), data_port};
			it->info.control = {it->info.data.ip, control_port};
			w.processes.push_back(std::move(it));
			start_process(w, *w.processes.back());
		}
		propagate_view(w, {});
	}

	void start_process(world& w, process& it)
	{
		append_trace(w, "start " + it.info.name);
		const auto i = static_cast<process_index>(
			std::ranges::find_if(w.processes, [&](const auto& p) { return p.get() == &it; }) - w.processes.begin());
		w.by_data_endpoint[it.info.data] = i;
		w.by_control_endpoint[it.info.control] = i;
		it.alive = true;
		it.stopping = false;
		++it.generation;
		it.paused_until = {};
		it.random = random_source{w.random()};
		it.info.process_incarnation = incarnation{it.random()};
		it.info.liveness = member_liveness::alive;
		it.info.sequence = 0;
		it.last_tick = w.queue.now();
		if (it.info.role == member_role::agent)
		{
			const auto& upstream = w.upstreams[it.upstream];
			agent_settings settings;
			settings.upstream = upstream.id;
			settings.service = upstream.service;
			settings.agent = it.info.data;
			settings.connections = upstream.connections;
			it.agent.emplace(settings, w.queue.now());
			it.sockets.clear();
			it.exempt_through_socket = w.ledger.last_socket;
			update_withdrawal_times(w, it);
			start_request_host(w, i);
			start_agent_ticks(w, i);
		}
		if (w.control.enabled)
		{
			start_control(w, i);
		}
		else if (!w.views.empty())
		{
			it.view = w.views.back();
			it.view_number = w.views.size() - 1;
			propagate_view(w, std::chrono::milliseconds{1'000});
		}
	}

	void kill_process(world& w, process& it)
	{
		append_trace(w, "kill " + it.info.name);
		it.alive = false;
		w.callers.only_planned_stops = w.callers.only_planned_stops && it.stopping;
		it.deferred.clear();
		it.exempt_through_socket = w.ledger.last_socket;
		it.info.liveness = member_liveness::dead;
		propagate_view(w, w.delays.deaths);
	}

	void stop_process(world& w, process& it)
	{
		append_trace(w, "stop " + it.info.name);
		it.stopping = true;
		w.callers.had_planned_stop = true;
		it.info.liveness = member_liveness::leaving;
		if (it.agent)
		{
			it.agent->run_state = upstream_run_state::draining;
			update_withdrawal_times(w, it);
		}
		if (it.control)
		{
			announce_self(w, w.by_data_endpoint[it.info.data]);
		}
		propagate_view(w, std::chrono::milliseconds{1'000});
		if (it.agent)
		{
			return;
		}
		w.queue.after(std::chrono::seconds{1},
					  [&w, &it, generation = it.generation]
					  {
						  if (it.generation == generation)
						  {
							  kill_process(w, it);
						  }
					  });
	}

	void pause_process(world& w, process& it, std::chrono::milliseconds duration)
	{
		append_trace(w, fmt::format("pause {} for {} ms", it.info.name, duration.count()));
		it.paused_until = w.queue.now() + duration;
		w.callers.only_planned_stops = false;
		if (duration >= std::chrono::seconds{2})
		{
			// The other processes declare a process dead after this silence and admit its flows at other agents.
			it.exempt_through_socket = w.ledger.last_socket;
			it.info.liveness = w.control.enabled ? it.info.liveness : member_liveness::dead;
			propagate_view(w, w.delays.deaths);
		}
		w.queue.at(it.paused_until,
				   [&w, &it, generation = it.generation]
				   {
					   if (!it.alive || it.generation != generation || w.queue.now() < it.paused_until)
					   {
						   return;
					   }
					   append_trace(w, "resume " + it.info.name);
					   it.required_revision =
						   w.reaches_service_through_peers(w.by_data_endpoint[it.info.data])
							   ? w.service.newest_accepted_by(w.queue.now() - config_propagation_limit)
							   : revision{};
					   // A resumed process may run its timers before or after it reads its sockets, so the deferred
					   // callbacks run after 0 or 150 ms.
					   const std::chrono::milliseconds read_after{w.random.below(2) * 150};
					   w.queue.after(read_after,
									 [&it, generation = it.generation]
									 {
										 const auto deferred = std::exchange(it.deferred, {});
										 if (it.alive && it.generation == generation)
										 {
											 std::ranges::for_each(deferred, [](const auto& f) { f(); });
										 }
									 });
					   if (it.info.liveness == member_liveness::dead)
					   {
						   it.info.liveness = member_liveness::alive;
						   it.exempt_through_socket = w.ledger.last_socket;
					   }
					   propagate_view(w, std::chrono::milliseconds{1'000});
				   });
	}

	bool defer_if_paused(world& w, process& it, const std::function<void()>& callback)
	{
		if (it.paused_until <= w.queue.now())
		{
			return false;
		}
		// Limits the deferred datagrams as a socket buffer does.
		constexpr std::size_t max_deferred_callbacks = 256;
		if (it.deferred.size() < max_deferred_callbacks)
		{
			it.deferred.push_back(callback);
		}
		return true;
	}
}
