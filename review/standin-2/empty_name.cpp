/// The settings of all processes hold an empty `node_name`, a key that the pages do not explain. Do the programs start?

#include "deployment.hpp"

namespace
{
	using namespace review;

	constexpr milliseconds play_time{8'000};
	constexpr milliseconds restart_delay{500};
	constexpr int ends_of_a_fault = 3;

	int play(const std::string& record_path)
	{
		deployment at{record_path};
		at.names_empty = with_trouble();
		const auto route = ip_text(at.net + 220);
		at.configure(1, {{route, "desk"}});
		for (const auto* zone : {"a", "b"})
		{
			at.add(std::string{"edge-"} + zone, "balancer", zone);
		}
		for (const auto* zone : {"a", "b"})
		{
			at.start_upstream(
				at.add("side-" + std::string{zone} + "-" + std::to_string(at.instances.size()), "agent", zone, "desk"));
		}
		for (auto& it : at.instances)
		{
			at.start(it);
		}
		std::map<std::string, int> ends;
		const auto end = clock::now() + play_time;
		while (clock::now() < end)
		{
			for (const auto& it : at.instances)
			{
				if (it.role == "balancer")
				{
					at.open_flow(it, route, false);
				}
			}
			at.loop.run_for(restart_delay);
			at.restart_ended(ends);
		}
		at.loop.run_for(milliseconds{1'500});
		int served = 0;
		for (const auto& [port, it] : at.requests)
		{
			served += it->served ? 1 : 0;
		}
		const auto failing = std::ranges::count_if(ends, [](const auto& it) { return it.second >= ends_of_a_fault; });
		at.log.line("%d of %zu requests served; %td of %zu processes ended by themselves three times", served,
					at.requests.size(), failing, at.instances.size());
		const bool fault = failing >= 2 || served == 0;
		at.log.line(fault ? "broken: the programs do not start" : "held");
		return fault ? broken : held;
	}
}

int main(int argc, char** argv)
{
	if (argc != 2)
	{
		std::fputs("usage: empty_name RECORD\n", stderr);
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
