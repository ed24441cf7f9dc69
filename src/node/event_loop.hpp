#pragma once

#include "runtime/clock.hpp"
#include "runtime/poller.hpp"

#include <exception>
#include <functional>
#include <map>
#include <unordered_map>

namespace nutmegturn::node
{
	/// Runs callbacks for file descriptors and timers in one thread.
	class event_loop
	{
	public:
		/// Watches a descriptor for reading.
		/// \param on_ready	Called when the descriptor is readable, or writable if `set_writable` enabled that.
		/// \returns		Whether the descriptor was added.
		[[nodiscard]] bool watch(int fd, std::function<void()> on_ready);

		/// Sets whether a descriptor is also watched for writing.
		void set_writable(int fd, bool writable) noexcept;

		/// Stops watching a descriptor that is about to be closed.
		void unwatch(int fd);

		/// Schedules `callback` to run once, at `time` or shortly after.
		/// \returns	Timer id for `cancel`.
		std::uint64_t call_at(monotonic_time time, std::function<void()> callback);

		/// Cancels a timer that has not run yet.
		void cancel(std::uint64_t timer);

		/// Adds a callback that runs at the end of each iteration, for example to send batched datagrams.
		void after_each_iteration(std::function<void()> callback);

		/// Sets a function for exceptions that leave the callback of a descriptor. The loop then goes on, since one
		/// message that cannot be handled must not end the process. Exceptions of timers end it: they are not caused by
		/// a message, and a timer that does not schedule its successor would stop an activity for good.
		void set_exception_handler(std::function<void(const std::exception&)> handler);

		/// Runs until `stop` is called. May be called again after that.
		void run();

		/// Makes `run` return after the current iteration.
		void stop() noexcept
		{
			stopped_ = true;
		}

		/// Returns the start time of the current iteration.
		[[nodiscard]] monotonic_time now() const noexcept
		{
			return now_;
		}

	private:
		struct timer
		{
			std::uint64_t id;
			std::function<void()> callback;
		};

		void run_descriptor_callback(int fd);
		void run_timers();
		[[nodiscard]] std::chrono::nanoseconds time_to_next_timer() const;

		runtime::poller poller_;
		std::unordered_map<int, std::function<void()>> descriptor_callbacks_;
		std::multimap<monotonic_time, timer> timers_;
		std::vector<std::function<void()>> iteration_callbacks_;
		std::function<void(const std::exception&)> exception_handler_;
		std::uint64_t next_timer_id_ = 1;
		monotonic_time now_ = runtime::read_clock();
		bool stopped_ = false;
	};
}
