#pragma once

#include "wire.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <map>
#include <stdexcept>

namespace review
{
	using clock = std::chrono::steady_clock;
	using ms = std::chrono::milliseconds;

	/// Calls functions when descriptors are readable and when times have come.
	class event_loop
	{
	public:
		clock::time_point start = clock::now();

		[[nodiscard]] long now_ms() const
		{
			return std::chrono::duration_cast<ms>(clock::now() - start).count();
		}

		void watch(int fd, std::function<void()> ready)
		{
			ready_[fd] = std::move(ready);
		}

		void unwatch(int fd)
		{
			ready_.erase(fd);
		}

		void after(ms delay, std::function<void()> call)
		{
			timers_.emplace(clock::now() + delay, std::move(call));
		}

		void run_for(ms time)
		{
			const auto end = clock::now() + time;
			while (clock::now() < end)
			{
				step(end);
			}
		}

		/// Runs until a condition holds.
		/// \returns	Whether it does.
		bool run_until(const std::function<bool()>& holds, ms limit)
		{
			const auto end = clock::now() + limit;
			while (!holds() && clock::now() < end)
			{
				run_for(ms{20});
			}
			return holds();
		}

	private:
		void step(clock::time_point end)
		{
			auto next = end;
			if (!timers_.empty())
			{
				next = std::min(next, timers_.begin()->first);
			}
			std::vector<pollfd> polled;
			for (const auto& [fd, call] : ready_)
			{
				polled.push_back({fd, POLLIN, 0});
			}
			const auto wait = std::chrono::ceil<ms>(next - clock::now()).count();
			::poll(polled.data(), polled.size(), static_cast<int>(std::max<long>(wait, 0)));
			for (const auto& it : polled)
			{
				const auto found = it.revents == 0 ? ready_.end() : ready_.find(it.fd);
				if (found != ready_.end())
				{
					const auto call = found->second;
					call();
				}
			}
			while (!timers_.empty() && timers_.begin()->first <= clock::now())
			{
				const auto call = std::move(timers_.begin()->second);
				timers_.erase(timers_.begin());
				call();
			}
		}

		std::map<int, std::function<void()>> ready_;
		std::multimap<clock::time_point, std::function<void()>> timers_;
	};

	inline int open_udp(const endpoint& local)
	{
		const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		const auto address = to_sockaddr(local);
		if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
		{
			throw std::runtime_error{"cannot bind UDP " + to_text(local)};
		}
		return fd;
	}

	inline int listen_tcp(const endpoint& local)
	{
		const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		const int yes = 1;
		::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
		const auto address = to_sockaddr(local);
		if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
			::listen(fd, 128) != 0)
		{
			throw std::runtime_error{"cannot listen on " + to_text(local)};
		}
		return fd;
	}

	inline void send_to(int fd, const endpoint& to, std::span<const std::uint8_t> what)
	{
		const auto address = to_sockaddr(to);
		::sendto(fd, what.data(), what.size(), MSG_DONTWAIT, reinterpret_cast<const sockaddr*>(&address),
				 sizeof address);
	}

	/// Calls a function for each datagram that waits.
	inline void receive_all(int fd, const std::function<void(std::span<const std::uint8_t>)>& handle)
	{
		std::uint8_t buf[4'096];
		for (auto n = ::recv(fd, buf, sizeof buf, MSG_DONTWAIT); n >= 0; n = ::recv(fd, buf, sizeof buf, MSG_DONTWAIT))
		{
			handle({buf, static_cast<std::size_t>(n)});
		}
	}
}
