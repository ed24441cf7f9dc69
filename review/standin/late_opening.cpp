#include "cases.hpp"

namespace review
{
	/// A machine freezes while opening packets are on their way to its target, and wakes again. Later its target
	/// leaves, as planned.
	void late_opening(world& w)
	{
		const auto s = std::make_shared<site>(w);
		w.metadata().put("op/config", w.configuration(3, {{1, service_name}}));
		s->add_balancer("edge-1", 1);
		s->add_target("side-1", 1, false);
		auto& leaving = s->add_target("side-2", 2, false);
		auto& from = s->add_requester(1);
		constexpr int frozen_from = 8'000;
		constexpr int frozen_until = 12'000;
		s->judged_from = milliseconds{frozen_until} + bounds::stability_window;
		w.at(frozen_from,
			 [&w, &leaving]
			 {
				 if (w.trouble)
				 {
					 w.note("side-2: the machine freezes");
					 leaving.daemon.signal(SIGSTOP);
					 leaving.app->freeze();
				 }
			 });
		w.at(frozen_until,
			 [&w, &leaving]
			 {
				 if (w.trouble)
				 {
					 w.note("side-2: the machine wakes");
					 leaving.daemon.signal(SIGCONT);
					 leaving.app->wake();
				 }
			 });
		const auto flows = std::make_shared<std::vector<flow_key>>();
		for (int i = 0; i < 20; ++i)
		{
			w.at(frozen_from + 20 + 5 * i,
				 [s, &from, flows]
				 {
					 flows->push_back(s->open_flow(from, 1, milliseconds{0}));
					 s->ask(from, flows->back());
				 });
		}
		w.at(frozen_until - 600,
			 [s, &from, flows]
			 {
				 for (const auto& key : *flows)
				 {
					 s->ask(from, key);
				 }
			 });
		w.at(16'100, [s, &leaving] { s->drain(leaving); });
		// The target ends when `drain_ms` are over, and its machine's process is stopped after it.
		w.at(19'500,
			 [&w, &leaving]
			 {
				 w.note("side-2: target ends, %zu flows are open there", leaving.app->open_flows());
				 leaving.app->stop();
				 w.metadata().remove(leaving.entry_id);
			 });
		w.at(20'500, [&w, &leaving] { w.remove(leaving); });
		// The requesters ask again after a pause.
		for (int i = 0; i < 20; ++i)
		{
			w.at(19'550 + 40 * i,
				 [s, &from, flows, i]
				 {
					 const auto& key = (*flows)[static_cast<std::size_t>(i)];
					 if (from.state_of(key) == requester::state::open)
					 {
						 s->ask(from, key);
					 }
				 });
		}
		w.at(24'000,
			 [s, &w]
			 {
				 s->summary();
				 w.events.stop();
			 });
	}
}
