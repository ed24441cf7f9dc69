#include "cases.hpp"

namespace review
{
	/// The settings files change: a bound is a fraction. Then the processes are restarted in turn, as planned.
	void fraction(world& w)
	{
		const auto s = std::make_shared<site>(w);
		w.metadata().put("op/config", w.configuration(3, {{1, service_name}}));
		s->add_balancer("edge-1", 1);
		s->add_balancer("edge-2", 2);
		s->add_target("side-1", 1, false);
		s->add_target("side-2", 2, false);
		auto& from = s->add_requester(1);
		for (int i = 0; i < 100; ++i)
		{
			w.at(4'000 + 200 * i, [s, &from] { s->open_flow(from, 1, milliseconds{1'500}); });
		}
		w.at(6'000,
			 [&w]
			 {
				 if (w.trouble)
				 {
					 w.grace = "6.5";
				 }
				 w.note("settings files written anew, grace_s is %s; SIGHUP to all", w.grace.c_str());
				 for (const auto* name : {"edge-1", "edge-2", "side-1", "side-2"})
				 {
					 auto& it = w.find(name);
					 w.write_settings(it);
					 it.daemon.signal(SIGHUP);
				 }
			 });
		w.at(9'000, [&w] { w.restart(w.find("edge-1")); });
		w.at(14'000, [&w] { w.restart(w.find("edge-2")); });
		w.at(25'000,
			 [s, &w]
			 {
				 constexpr int allowed_ends = 2;
				 int machines = 0;
				 for (const auto* name : {"edge-1", "edge-2", "side-1", "side-2"})
				 {
					 const auto& it = w.find(name);
					 w.note("%s: its processes ended by themselves %d times", name, it.ended_by_itself);
					 machines += it.ended_by_itself > allowed_ends ? 1 : 0;
				 }
				 if (machines >= 2)
				 {
					 w.broken("Fault", "on " + std::to_string(machines) +
										   " machines processes ended by themselves three times or more");
				 }
				 s->summary();
				 w.events.stop();
			 });
	}
}
