#pragma once

#include "runtime/file_descriptor.hpp"

#include <sys/epoll.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <span>

namespace nutmegturn::runtime
{
	/// Waits for readiness of file descriptors (epoll, level-triggered).
	class poller
	{
	public:
		/// Opens the epoll descriptor. Throws `std::system_error` on failure.
		poller();

		/// Watches a descriptor for reading.
		/// \param fd		Descriptor; closing it removes it.
		/// \param label	Returned by `wait` when the descriptor is ready.
		/// \returns		Whether the system call succeeded.
		[[nodiscard]] bool add(int fd, std::uint64_t label) noexcept;

		/// Stops watching a descriptor that stays open.
		void remove(int fd) noexcept;

		/// Enables or disables watching a registered descriptor for writing.
		void set_writable(int fd, std::uint64_t label, bool writable) noexcept;

		/// Waits for ready descriptors.
		/// \param timeout	Longest wait; rounded up to milliseconds.
		/// \returns	Events whose `data.u64` is the label; valid until the next call.
		[[nodiscard]] std::span<const epoll_event> wait(std::chrono::nanoseconds timeout) noexcept;

		/// Returns the epoll descriptor, which another poller can watch.
		[[nodiscard]] int fd() const noexcept
		{
			return fd_.get();
		}

	private:
		file_descriptor fd_;
		std::array<epoll_event, 256> events_{};
	};

	/// Event descriptor that wakes a thread waiting in a `poller`.
	class wakeup
	{
	public:
		/// Opens the event descriptor. Throws `std::system_error` on failure.
		wakeup();

		/// Makes the descriptor readable; callable from any thread.
		void notify() const noexcept;

		/// Resets the descriptor, so that it is no longer readable.
		void clear() const noexcept;

		/// Returns the descriptor to watch.
		[[nodiscard]] int fd() const noexcept
		{
			return fd_.get();
		}

	private:
		file_descriptor fd_;
	};
}
