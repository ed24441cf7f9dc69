#include "nutmegturn/agent_flows.hpp"

#include "scenario/world.hpp"

#include <algorithm>

namespace nutmegturn::scenario
{
	void propagate_view(world& w, std::chrono::milliseconds longest)
	{
		if (w.control.enabled)
		{
			return;
		}
		member_view members;
		for (const auto& it : w.processes)
		{
			members.members.push_back(it->info);
			if (it->agent)
			{
				members.members.back().upstreams = {{w.upstreams[it->upstream].id, it->agent->run_state}};
			}
		}
		std::ranges::sort(members.members, {}, &member::id);
		const auto* previous = w.views.empty() ? nullptr : w.views.back().get();
		w.views.push_back(
			std::make_shared<const routing_view>(build_routing_view(w.records.current, members, previous)));
		const auto number = w.views.size() - 1;
		for (process_index i = 0; i < w.processes.size(); ++i)
		{
			const auto apply_view = [&w, i, number]
			{
				auto& it = *w.processes[i];
				if (!it.alive || it.paused_until > w.queue.now() || (it.view && it.view_number >= number))
				{
					return;
				}
				it.view = w.views[number];
				it.view_number = number;
				if (it.agent)
				{
					agent_on_confirmation(*it.agent, it.view->rev, w.queue.now());
				}
			};
			if (longest.count() == 0)
			{
				apply_view();
				continue;
			}
			w.queue.after(std::chrono::microseconds{w.random.below(longest.count() * 1000)}, apply_view);
		}
	}
}
