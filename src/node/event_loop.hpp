#pragma once

#include "runtime/clock.hpp"
#include "runtime/poller.hpp"

#include <functional>
#include <map>
#include <unordered_map>

namespace nutmegturn::node
{
	/// Runs callbacks for descriptors and timers in one thread.
	class event_loop
	{
	public:
		/// Watches a descriptor for reading.
		/// \param ready	Called when it can be read, or written if `set_writable` asked for that.
		/// \returns		Whether the system accepted it.
		[[nodiscard]] bool watch(int fd, std::function<void()> ready);

		/// Changes whether a descriptor is also watched for writing.
		void set_writable(int fd, bool writable) noexcept;

		/// Ends the watch of a descriptor that is about to be closed.
		void unwatch(int fd);

		/// Calls `run` once at `at` or shortly after.
		/// \returns	Identity for `cancel`.
		std::uint64_t call_at(monotonic_time at, std::function<void()> run);

		/// Takes back a timer that has not run.
		void cancel(std::uint64_t timer);

		/// Calls `run` after each round of callbacks, such as to send what they collected.
		void after_each_iteration(std::function<void()> run);

		/// Runs until `stop`.
		void run();

		/// Ends `run` after the current round.
		void stop() noexcept
		{
			stopped_ = true;
		}

		/// Returns the time at which the current round began.
		[[nodiscard]] monotonic_time now() const noexcept
		{
			return now_;
		}

	private:
		struct timer
		{
			std::uint64_t id;
			std::function<void()> run;
		};

		void run_timers();
		[[nodiscard]] std::chrono::nanoseconds time_to_next_timer() const;

		runtime::poller poller_;
		std::unordered_map<int, std::function<void()>> watched_;
		std::multimap<monotonic_time, timer> timers_;
		std::vector<std::function<void()>> iteration_callbacks_;
		std::uint64_t next_timer_ = 1;
		monotonic_time now_ = runtime::read_clock();
		bool stopped_ = false;
	};
}
