#include "cases.hpp"

namespace review
{
	/// The store loses one answer to a balancer's watch of the targets. Eight seconds later another balancer is
	/// restarted as planned, and its flows move to that one.
	void lost_answer(world& w)
	{
		const auto s = std::make_shared<site>(w);
		w.metadata().put("op/config", w.configuration(3, {{1, service_name}}));
		s->add_balancer("edge-1", 1);
		s->add_balancer("edge-2", 2);
		s->add_target("side-1", 1, false);
		s->add_target("side-2", 2, false);
		auto& from = s->add_requester(1);

		// Answers may be lost from 8 s to 12.5 s; machines are in touch again 4 s later.
		constexpr int lossy_from = 8'000;
		constexpr int lossy_until = 12'500;
		s->judged_from = milliseconds{lossy_until} + bounds::stability_window;
		w.metadata().lose = [&w](const store::answer& it)
		{
			const auto now = w.now().count();
			const bool in_window = now >= lossy_from && now < lossy_until;
			return w.trouble && in_window && it.reader == "edge-2" && w.answers_lost == 0 &&
				   it.target.starts_with("/kv-watch?prefix=servers/") && it.body.find("i-7004") != std::string::npos;
		};
		w.at(lossy_from, [&w] { w.count_answers = true; });
		w.at(lossy_until,
			 [&w]
			 {
				 w.count_answers = false;
				 w.note("store: %d of %d answers were lost in 4.5 s", w.answers_lost, w.answers);
			 });

		for (int i = 0; i < 8; ++i)
		{
			w.at(4'000 + 100 * i, [s, &from] { s->open_flow(from, 1, milliseconds{1'000}); });
		}
		// Two targets are added.
		w.at(9'000, [s] { s->add_target("side-3", 3, true); });
		w.at(9'900, [s] { s->add_target("side-4", 4, true); });
		for (int i = 0; i < 24; ++i)
		{
			w.at(13'500 + 50 * i, [s, &from] { s->open_flow(from, 1, milliseconds{700}); });
		}
		w.at(16'800, [s, &w] { w.restart(w.find("edge-1")); });
		w.at(24'000,
			 [s, &w]
			 {
				 s->summary();
				 w.events.stop();
			 });
	}
}
