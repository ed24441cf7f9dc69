/// Another writer leaves one odd entry beside that of each upstream: the same address, and a service that no
/// configuration names. Then all processes are killed and start again, and the odd entries are removed. Are requests
/// served again in time?

#include "deployment.hpp"

namespace
{
	using namespace review;

	constexpr milliseconds recovery_bound{12'000}; ///< `recovery_s`
	constexpr int served_share = 4;                ///< A quarter has to be served.
	constexpr milliseconds traffic_before{5'000};
	constexpr milliseconds restart_delay{1'000};
	constexpr milliseconds odd_time{4'000}; ///< From the restart to the removal of the odd entries.
	constexpr milliseconds traffic_after{10'000};
	constexpr milliseconds request_interval{50};
	constexpr milliseconds time_limit{1'500};
	constexpr auto odd_service = "old-desk";

	struct counts
	{
		int sent = 0;
		int served = 0;
		int reset = 0;
	};

	/// Sends requests in turn through the balancers.
	void send_requests(deployment& at, const std::string& route, milliseconds time)
	{
		const auto end = clock::now() + time;
		while (clock::now() < end)
		{
			for (const auto& it : at.instances)
			{
				if (it.role == "balancer")
				{
					at.open_flow(it, route, false);
					at.loop.run_for(request_interval);
				}
			}
		}
	}

	[[nodiscard]] counts count_since(const deployment& at, time_point from)
	{
		counts found;
		for (const auto& [port, it] : at.requests)
		{
			if (it->sent >= from)
			{
				++found.sent;
				found.served += it->served ? 1 : 0;
				found.reset += it->reset ? 1 : 0;
			}
		}
		return found;
	}

	void log_counts(deployment& at, const char* when, const counts& found)
	{
		at.log.line("%s: %d requests sent, %d served, %d reset by the system before they ran", when, found.sent,
					found.served, found.reset);
	}

	/// Kills all processes at the same moment and starts them again, as the platform does.
	void kill_all(deployment& at)
	{
		for (auto& it : at.instances)
		{
			deployment::stop(it);
		}
		at.log.line("all processes killed");
		at.loop.run_for(restart_delay);
		for (auto& it : at.instances)
		{
			at.write_settings(it, false);
			at.start(it);
		}
	}

	/// Returns whether a part of the disruption takes place. The variable ONLY names the single one that does.
	bool takes_place(const std::string& part)
	{
		const char* only = std::getenv("ONLY");
		return with_trouble() && (only == nullptr || part == only);
	}

	/// Writes an odd entry beside that of each upstream.
	/// \returns	The keys.
	std::vector<std::string> write_odd_entries(deployment& at)
	{
		std::vector<std::string> keys;
		for (const auto& it : at.instances)
		{
			if (it.role == "agent")
			{
				keys.push_back("servers/other-" + it.name);
				at.store.put(keys.back(), at.entry_of(it, odd_service));
				at.log.line("odd entry %s: %s", keys.back().c_str(), at.entry_of(it, odd_service).c_str());
			}
		}
		return keys;
	}

	int play(const std::string& record_path)
	{
		deployment at{record_path};
		const auto route = ip_text(at.net + 220);
		at.configure(1, {{route, "desk"}});
		for (const auto* zone : {"a", "b"})
		{
			at.add(std::string{"edge-"} + zone, "balancer", zone);
		}
		for (const auto* zone : {"a", "b", "a"})
		{
			at.start_upstream(
				at.add("side-" + std::string{zone} + "-" + std::to_string(at.instances.size()), "agent", zone, "desk"));
		}
		for (auto& it : at.instances)
		{
			at.start(it);
		}
		at.wait_until_served(route, milliseconds{15'000});
		const auto start = clock::now();
		send_requests(at, route, traffic_before);
		at.loop.run_for(time_limit);
		const auto before = count_since(at, start);
		log_counts(at, "before the final fault", before);
		const auto odd = takes_place("odd") ? write_odd_entries(at) : std::vector<std::string>{};
		if (takes_place("kill"))
		{
			kill_all(at);
		}
		const auto back = clock::now();
		send_requests(at, route, odd_time);
		for (const auto& it : odd)
		{
			at.store.remove(it);
			at.log.line("odd entry %s removed", it.c_str());
		}
		send_requests(at, route, recovery_bound - std::chrono::ceil<milliseconds>(clock::now() - back));
		const auto recovered = clock::now();
		at.loop.run_until(back + recovery_bound, [] { return false; });
		send_requests(at, route, traffic_after);
		at.loop.run_for(time_limit);
		const auto after = count_since(at, recovered);
		log_counts(at, "later than recovery_s after all processes were back", after);
		if (!at.all_run())
		{
			throw cannot_run{"a process ended"};
		}
		if (before.sent == 0 || before.served * served_share < before.sent || after.sent == 0)
		{
			throw cannot_run{"less than a quarter was served before"};
		}
		const bool broken_rule = after.served * served_share < after.sent;
		at.log.line(broken_rule ? "broken: less than a quarter is served" : "held");
		return broken_rule ? broken : held;
	}
}

int main(int argc, char** argv)
{
	if (argc != 2)
	{
		std::fputs("usage: odd_entry RECORD\n", stderr);
		return not_run;
	}
	try
	{
		return play(argv[1]);
	}
	catch (const cannot_run& problem)
	{
		std::fprintf(stderr, "cannot run: %s\n", problem.why.c_str());
		return not_run;
	}
}
