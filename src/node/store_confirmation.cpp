#include "node/store_confirmation.hpp"

#include "nutmegturn/steering/store_follower.hpp"

#include <algorithm>
#include <utility>

namespace nutmegturn::node
{
	namespace
	{
		/// Shortest time between the starts of two calls. Limits the calls while flows are denied continuously.
		constexpr std::chrono::milliseconds call_interval{20};

		/// A connection that was not used for this long may have gone silent, which only a time-out would show.
		constexpr std::chrono::milliseconds longest_idle_time{1'000};
	}

	store_confirmation::store_confirmation(event_loop& loop, const endpoint& store, callbacks reader)
		: loop_{loop}, connection_{loop, store}, reader_{std::move(reader)}
	{
	}

	void store_confirmation::request(monotonic_time time)
	{
		wanted_ = std::max(wanted_, time);
		resume();
	}

	void store_confirmation::resume()
	{
		if (calling_ || is_up_to_date_since(wanted_))
		{
			return;
		}
		const auto target = reader_.target();
		if (target.empty())
		{
			return;
		}
		const auto due = started_ + call_interval;
		loop_.now() >= due ? call(target) : resume_at(due);
	}

	void store_confirmation::call(const std::string& target)
	{
		const auto now = loop_.now();
		if (now - started_ > longest_idle_time)
		{
			connection_.close();
		}
		calling_ = true;
		started_ = now;
		++calls_;
		connection_.get(target, steering::call_timeout + steering::min_watch_wait,
						[this](const http_result& result)
						{
							calling_ = false;
							reader_.done(result, started_);
						});
	}

	void store_confirmation::resume_at(monotonic_time time)
	{
		if (timer_ == 0)
		{
			timer_ = loop_.call_at(time,
								   [this]
								   {
									   timer_ = 0;
									   resume();
								   });
		}
	}

	void store_confirmation::abandon()
	{
		if (std::exchange(calling_, false))
		{
			connection_.close();
		}
	}

	void store_confirmation::set_server(const endpoint& store)
	{
		calling_ = false;
		connection_.set_server(store);
	}

	void store_confirmation::record_up_to_date(monotonic_time time) noexcept
	{
		up_to_date_since_ = std::max(up_to_date_since_, time);
	}
}
