#include "cases.hpp"

namespace review
{
	/// Another writer leaves an entry without the field `version` among those of the targets. Then a target reports
	/// that it drains, and ends some seconds after `drain_ms`.
	void odd_entry(world& w)
	{
		const auto s = std::make_shared<site>(w);
		w.metadata().put("op/config", w.configuration(3, {{1, service_name}}));
		s->add_balancer("edge-1", 1);
		s->add_balancer("edge-2", 2);
		auto& leaving = s->add_target("side-1", 1, false);
		s->add_target("side-2", 2, false);
		auto& from = s->add_requester(1);
		w.at(4'000,
			 [s, &w, &leaving]
			 {
				 if (w.trouble)
				 {
					 auto odd = w.entry(leaving, "ready", 0, 1, 0);
					 const std::string field = R"("version":"v1",)";
					 odd.erase(odd.find(field), field.size());
					 odd.erase(odd.rfind(R"(,"born":0)"), 9);
					 w.metadata().put(leaving.entry_id + ".bak", odd);
					 w.note("store: another writer left %s.bak: %s", leaving.entry_id.c_str(), odd.c_str());
				 }
			 });
		for (int i = 0; i < 120; ++i)
		{
			w.at(6'000 + 100 * i, [s, &from] { s->open_flow(from, 1, milliseconds{900}); });
		}
		w.at(8'000, [s, &leaving] { s->drain(leaving); });
		// It serves for `drain_ms` and a little longer, and ends.
		w.at(16'000,
			 [s, &w, &leaving]
			 {
				 w.note("%s: target ends, %zu flows are open there", leaving.name.c_str(), leaving.app->open_flows());
				 leaving.app->stop();
				 w.metadata().remove(leaving.entry_id);
			 });
		w.at(21'000,
			 [s, &w]
			 {
				 s->summary();
				 w.events.stop();
			 });
	}
}
