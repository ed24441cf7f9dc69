#include "node/event_loop.hpp"

#include <algorithm>

namespace nutmegturn::node
{
	namespace
	{
		constexpr std::chrono::seconds max_wait{10};
	}

	bool event_loop::watch(int fd, std::function<void()> on_ready)
	{
		descriptor_callbacks_[fd] = std::move(on_ready);
		return poller_.add(fd, static_cast<std::uint64_t>(fd));
	}

	void event_loop::set_writable(int fd, bool writable) noexcept
	{
		poller_.set_writable(fd, static_cast<std::uint64_t>(fd), writable);
	}

	void event_loop::unwatch(int fd)
	{
		descriptor_callbacks_.erase(fd);
	}

	std::uint64_t event_loop::call_at(monotonic_time time, std::function<void()> callback)
	{
		const auto id = next_timer_id_++;
		timers_.emplace(time, timer{.id = id, .callback = std::move(callback)});
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

	void event_loop::after_each_iteration(std::function<void()> callback)
	{
		iteration_callbacks_.push_back(std::move(callback));
	}

	void event_loop::set_exception_handler(std::function<void(const std::exception&)> handler)
	{
		exception_handler_ = std::move(handler);
	}

	void event_loop::run()
	{
		while (!stopped_)
		{
			const auto events = poller_.wait(time_to_next_timer());
			now_ = runtime::read_clock();
			for (const auto& event : events)
			{
				run_descriptor_callback(static_cast<int>(event.data.u64));
			}
			run_timers();
			for (const auto& callback : iteration_callbacks_)
			{
				callback();
			}
		}
		stopped_ = false;
	}

	void event_loop::run_descriptor_callback(int fd)
	{
		const auto found = descriptor_callbacks_.find(fd);
		if (found == descriptor_callbacks_.end())
		{
			return;
		}
		// Copied because the callback may stop watching its own descriptor.
		const auto callback = found->second;
		try
		{
			callback();
		}
		catch (const std::exception& error)
		{
			if (!exception_handler_)
			{
				throw;
			}
			exception_handler_(error);
		}
	}

	void event_loop::run_timers()
	{
		while (!timers_.empty() && timers_.begin()->first <= now_)
		{
			const auto callback = std::move(timers_.begin()->second.callback);
			timers_.erase(timers_.begin());
			callback();
		}
	}

	std::chrono::nanoseconds event_loop::time_to_next_timer() const
	{
		if (timers_.empty())
		{
			return max_wait;
		}
		return std::clamp<std::chrono::nanoseconds>(timers_.begin()->first - runtime::read_clock(),
													std::chrono::nanoseconds{0}, max_wait);
	}
}
