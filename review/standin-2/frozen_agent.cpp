/// An agent freezes for less than 4 s while all channels to the store that were open have gone silent. When it wakes,
/// it hands on what it had queued. Do balancers that ran all the while still apply a configuration in time?

#include "deployment.hpp"

namespace
{
	using namespace review;

	constexpr milliseconds config_bound{3'000};      ///< `config_apply_ms`
	constexpr milliseconds longest_freeze{4'000};    ///< Of `node_freeze` in the site file.
	constexpr milliseconds calm_time{6'000};         ///< Longer than `stability_window_ms`.
	constexpr milliseconds change_delay{15};         ///< From a balancer's call to the store to the change.
	constexpr milliseconds freeze_after_call{1'650}; ///< From that call to the end of the freeze.
	constexpr milliseconds shortest_interval{1'200}; ///< Between the calls of different rounds.

	/// Times of the disruption.
	struct course
	{
		time_point silenced;
		time_point frozen;
		time_point changed;
		time_point woken;
		bool too_long = false;
	};

	/// Calls by which balancers ask the store whether they missed a change of the operator's orders.
	struct confirmations
	{
		time_point last;
		std::size_t count = 0;
	};

	void watch_confirmations(deployment& at, confirmations& seen)
	{
		at.store.on_call = [&at, &seen](const std::string& reader, const std::string& target)
		{
			if (target.find("kv-watch?prefix=op/") != std::string::npos &&
				target.find("wait_ms=1") == target.size() - std::strlen("wait_ms=1"))
			{
				at.log.line("%s asks the store for changes of the orders", reader.c_str());
				seen.last = clock::now();
				++seen.count;
			}
		};
	}

	/// Waits for the next round of calls.
	void wait_for_call(deployment& at, const confirmations& seen)
	{
		const auto before = seen.last;
		const auto found = at.loop.run_until(clock::now() + milliseconds{8'000},
											 [&] { return seen.last - before > shortest_interval; });
		if (!found)
		{
			throw cannot_run{"no process asked the store for changes"};
		}
	}

	/// Returns whether a part of the disruption takes place. The variable ONLY names the single one that does.
	bool takes_place(const std::string& part)
	{
		const char* only = std::getenv("ONLY");
		return only == nullptr || part == only;
	}

	course disrupt(deployment& at, const confirmations& seen, instance& frozen, const std::function<void()>& change)
	{
		course done;
		if (!with_trouble())
		{
			at.loop.run_for(calm_time);
			done.changed = clock::now();
			change();
			return done;
		}
		done.silenced = clock::now();
		if (takes_place("silence"))
		{
			at.log.line("%zu open channels to the store go silent", at.store.silence_open_connections());
		}
		at.loop.run_for(calm_time);
		wait_for_call(at, seen);
		at.loop.run_for(milliseconds{20});
		done.frozen = clock::now();
		if (takes_place("freeze"))
		{
			::kill(frozen.process, SIGSTOP);
			at.log.line("%s freezes", frozen.name.c_str());
		}
		wait_for_call(at, seen);
		const auto called = seen.last;
		at.loop.run_until(called + change_delay, [] { return false; });
		done.changed = clock::now();
		change();
		at.loop.run_until(called + freeze_after_call, [] { return false; });
		::kill(frozen.process, SIGCONT);
		done.woken = clock::now();
		at.log.line("%s runs again after %.0f ms", frozen.name.c_str(),
					std::chrono::duration<double, std::milli>(done.woken - done.frozen).count());
		done.too_long = done.woken - done.frozen > longest_freeze;
		return done;
	}

	int judge(deployment& at, const course& done, const std::string& added)
	{
		int refused = 0;
		int served = 0;
		double last = 0;
		for (const auto& [port, it] : at.requests)
		{
			if (it->route != added || it->sent <= done.changed + config_bound)
			{
				continue;
			}
			const double after = std::chrono::duration<double, std::milli>(it->sent - done.changed).count();
			if (it->reset)
			{
				++refused;
				last = std::max(last, after);
				at.log.line("broken: %s sent %.0f ms after the acknowledgement, refused by %s", it->id.c_str(), after,
							it->balancer.c_str());
			}
			served += it->opened ? 1 : 0;
		}
		at.log.line("flows to the added route, opened later than %lld ms after the acknowledgement: %d refused (the "
					"last one sent after %.0f ms), %d accepted by an upstream",
					static_cast<long long>(config_bound.count()), refused, last, served);
		if (served + refused == 0)
		{
			throw cannot_run{"no flow to the added route was answered"};
		}
		return refused > 0 ? broken : held;
	}

	int play(const std::string& record_path)
	{
		deployment at{record_path};
		const auto known = ip_text(at.net + 220);
		const auto added = ip_text(at.net + 221);
		at.configure(1, {{known, "desk"}});
		for (const auto* zone : {"a", "b"})
		{
			at.add(std::string{"edge-"} + zone, "balancer", zone);
		}
		for (const auto* zone : {"a", "b"})
		{
			auto& it =
				at.add("side-" + std::string{zone} + "-" + std::to_string(at.instances.size()), "agent", zone, "desk");
			at.start_upstream(it);
		}
		for (auto& it : at.instances)
		{
			at.start(it);
		}
		at.wait_until_served(known, milliseconds{15'000});
		confirmations seen{.last = clock::now()};
		watch_confirmations(at, seen);
		at.loop.run_for(milliseconds{5'000});
		const auto done = disrupt(at, seen, at.instances.back(),
								  [&] {
									  at.configure(2, {{known, "desk"}, {added, "desk"}});
								  });
		if (done.too_long)
		{
			throw cannot_run{"the freeze lasted too long"};
		}
		at.loop.run_until(done.changed + config_bound - milliseconds{500}, [] { return false; });
		while (clock::now() < done.changed + config_bound + milliseconds{2'500})
		{
			for (const auto& it : at.instances)
			{
				if (it.role == "balancer")
				{
					at.open_flow(it, added, true);
				}
			}
			at.loop.run_for(milliseconds{20});
		}
		at.loop.run_for(milliseconds{1'500});
		if (!at.all_run())
		{
			throw cannot_run{"a process ended"};
		}
		return judge(at, done, added);
	}
}

int main(int argc, char** argv)
{
	if (argc != 2)
	{
		std::fputs("usage: frozen_agent RECORD\n", stderr);
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
