#include "runtime/poller.hpp"

#include <sys/eventfd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace nutmegturn::runtime
{
	poller::poller() : fd_{::epoll_create1(EPOLL_CLOEXEC)}
	{
		if (!fd_)
		{
			throw std::system_error{errno, std::generic_category(), "epoll_create1"};
		}
	}

	bool poller::add(int fd, std::uint64_t label) noexcept
	{
		epoll_event event{};
		event.events = EPOLLIN;
		event.data.u64 = label;
		return ::epoll_ctl(fd_.get(), EPOLL_CTL_ADD, fd, &event) == 0;
	}

	void poller::remove(int fd) noexcept
	{
		// Fails only if the descriptor is not watched; there is nothing to change then.
		[[maybe_unused]] const int removed = ::epoll_ctl(fd_.get(), EPOLL_CTL_DEL, fd, nullptr);
	}

	void poller::set_writable(int fd, std::uint64_t label, bool writable) noexcept
	{
		epoll_event event{};
		event.events = EPOLLIN | (writable ? EPOLLOUT : 0U);
		event.data.u64 = label;
		// Fails only if the descriptor is not watched; there is nothing to change then.
		[[maybe_unused]] const int changed = ::epoll_ctl(fd_.get(), EPOLL_CTL_MOD, fd, &event);
	}

	std::span<const epoll_event> poller::wait(std::chrono::nanoseconds timeout) noexcept
	{
		const auto ms = std::max<std::int64_t>(std::chrono::ceil<std::chrono::milliseconds>(timeout).count(), 0);
		const int n = ::epoll_wait(fd_.get(), events_.data(), static_cast<int>(events_.size()), static_cast<int>(ms));
		return {events_.data(), n > 0 ? static_cast<std::size_t>(n) : 0};
	}

	wakeup::wakeup() : fd_{::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)}
	{
		if (!fd_)
		{
			throw std::system_error{errno, std::generic_category(), "eventfd"};
		}
	}

	void wakeup::notify() const noexcept
	{
		const std::uint64_t one = 1;
		[[maybe_unused]] const auto n = ::write(fd_.get(), &one, sizeof one);
	}

	void wakeup::clear() const noexcept
	{
		std::uint64_t count = 0;
		[[maybe_unused]] const auto n = ::read(fd_.get(), &count, sizeof count);
	}
}
