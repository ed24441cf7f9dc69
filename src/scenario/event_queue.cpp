#include "scenario/event_queue.hpp"

namespace nutmegturn::scenario
{
	void event_queue::run_until(monotonic_time end)
	{
		while (!events_.empty() && events_.top().when <= end)
		{
			// `top` is const. Moving from it is safe because `pop` removes it next and the order does not use the
			// callback.
			auto next = std::move(const_cast<event&>(events_.top()));
			events_.pop();
			now_ = next.when;
			next.callback();
		}
		now_ = end;
	}
}
