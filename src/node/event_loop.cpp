#include "node/event_loop.hpp"

#include <algorithm>

namespace nutmegturn::node
{
	namespace
	{
		constexpr std::chrono::seconds longest_wait{10};
	}

	bool event_loop::watch(int fd, std::function<void()> ready)
	{
		watched_[fd] = std::move(ready);
		return poller_.add(fd, static_cast<std::uint64_t>(fd));
	}

	void event_loop::set_writable(int fd, bool writable) noexcept
	{
		poller_.set_writable(fd, static_cast<std::uint64_t>(fd), writable);
	}

	void event_loop::unwatch(int fd)
	{
		watched_.erase(fd);
	}

	std::uint64_t event_loop::call_at(monotonic_time at, std::function<void()> run)
	{
		const auto id = next_timer_++;
		timers_.emplace(at, timer{.id = id, .run = std::move(run)});
		return id;
	}

	void event_loop::cancel(std::uint64_t id)
	{
		const auto it = std::ranges::find_if(timers_, [id](const auto& entry) { return entry.second.id == id; });
		if (it != timers_.end())
		{
			timers_.erase(it);
		}
	}

	void event_loop::after_each_iteration(std::function<void()> run)
	{
		iteration_callbacks_.push_back(std::move(run));
	}

	void event_loop::run()
	{
		while (!stopped_)
		{
			const auto events = poller_.wait(time_to_next_timer());
			now_ = runtime::read_clock();
			for (const auto& event : events)
			{
				const auto it = watched_.find(static_cast<int>(event.data.u64));
				if (it != watched_.end())
				{
					// A copy, since the callback may end its own watch.
					const auto ready = it->second;
					ready();
				}
			}
			run_timers();
			for (const auto& it : iteration_callbacks_)
			{
				it();
			}
		}
	}

	void event_loop::run_timers()
	{
		while (!timers_.empty() && timers_.begin()->first <= now_)
		{
			const auto run = std::move(timers_.begin()->second.run);
			timers_.erase(timers_.begin());
			run();
		}
	}

	std::chrono::nanoseconds event_loop::time_to_next_timer() const
	{
		if (timers_.empty())
		{
			return longest_wait;
		}
		return std::clamp<std::chrono::nanoseconds>(timers_.begin()->first - runtime::read_clock(),
													std::chrono::nanoseconds{0}, longest_wait);
	}
}
