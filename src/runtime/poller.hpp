#pragma once

#include "runtime/file_descriptor.hpp"

#include <sys/epoll.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <span>

namespace nutmegturn::runtime
{
	/// Waits until one of many descriptors can be read (epoll, level-triggered).
	class poller
	{
	public:
		/// Opens the epoll descriptor; the process stops if the system has none left.
		poller();

		/// Watches a descriptor for reading.
		/// \param fd		Descriptor; it leaves by itself when closed.
		/// \param label	Returned by `wait` when the descriptor can be read.
		/// \returns		Whether the system accepted it.
		[[nodiscard]] bool add(int fd, std::uint64_t label) noexcept;

		/// Changes whether a watched descriptor is also watched for writing.
		void set_writable(int fd, std::uint64_t label, bool writable) noexcept;

		/// Waits for readable descriptors.
		/// \param most	Longest wait; rounded up to milliseconds.
		/// \returns	Events whose `data.u64` is the label; valid until the next call.
		[[nodiscard]] std::span<const epoll_event> wait(std::chrono::nanoseconds most) noexcept;

		/// Returns the epoll descriptor, which can itself be watched.
		[[nodiscard]] int fd() const noexcept
		{
			return fd_.get();
		}

	private:
		file_descriptor fd_;
		std::array<epoll_event, 256> events_{};
	};

	/// Wakes a thread that waits in a `poller`.
	class wakeup
	{
	public:
		/// Opens an event descriptor.
		wakeup();

		/// Makes the descriptor readable; callable from any thread.
		void notify() const noexcept;

		/// Makes the descriptor unreadable again.
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
