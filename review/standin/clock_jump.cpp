#include "cases.hpp"

namespace review
{
	/// The clock of a machine is ahead while its target starts, and jumps back. The processes of the system are
	/// restarted in turn, as planned.
	void clock_jump(world& w)
	{
		const auto s = std::make_shared<site>(w);
		w.metadata().put("op/config", w.configuration(3, {{1, service_name}}));
		s->add_balancer("edge-1", 1);
		s->add_balancer("edge-2", 2);
		s->add_target("side-1", 1, false);
		auto& from = s->add_requester(1);

		// The clock of side-2 is ahead from 5 s to 11 s. All machines are in touch 4 s after the last start of a
		// process.
		constexpr int clock_ahead_ms = 2'400;
		s->judged_from = milliseconds{15'700} + bounds::stability_window;
		w.at(9'000,
			 [s, &w]
			 {
				 auto& it = s->add_machine("side-2", 2);
				 w.note("side-2: the clock is %d ms ahead", w.trouble ? clock_ahead_ms : 0);
				 s->start_target(it, true, w.trouble ? clock_ahead_ms : 0);
			 });
		const auto flows = std::make_shared<std::vector<flow_key>>();
		for (int i = 0; i < 12; ++i)
		{
			w.at(9'600 + 100 * i,
				 [s, &from, flows]
				 {
					 flows->push_back(s->open_flow(from, 1, milliseconds{0}));
					 s->ask(from, flows->back());
				 });
		}
		w.at(11'000, [&w] { w.note("side-2: the clock is right again"); });
		// The processes are restarted in turn.
		w.at(11'100, [&w] { w.restart(w.find("side-2")); });
		w.at(12'300, [&w] { w.restart(w.find("edge-2")); });
		w.at(13'900, [&w] { w.restart(w.find("edge-1")); });
		// The requesters ask again, after a pause of some seconds.
		w.at(19'900,
			 [s, &from, flows]
			 {
				 for (const auto& key : *flows)
				 {
					 s->ask(from, key);
				 }
			 });
		w.at(23'000,
			 [s, &w]
			 {
				 s->summary();
				 w.events.stop();
			 });
	}
}
