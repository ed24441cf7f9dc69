#pragma once

#include "packet.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <functional>
#include <map>
#include <stdexcept>
#include <vector>

/// Event loop and sockets of the stand-ins: one thread, real clock.
namespace review
{
	using clock = std::chrono::steady_clock;
	using time_point = clock::time_point;
	using std::chrono::milliseconds;

	class loop
	{
	public:
		void watch(int fd, std::function<void()> on_readable)
		{
			readers_[fd] = std::move(on_readable);
		}

		void unwatch(int fd)
		{
			readers_.erase(fd);
		}

		void at(time_point when, std::function<void()> run)
		{
			timers_.emplace(when, std::move(run));
		}

		void after(milliseconds delay, std::function<void()> run)
		{
			at(clock::now() + delay, std::move(run));
		}

		void every(milliseconds period, std::function<void()> run)
		{
			after(period,
				  [this, period, run]
				  {
					  run();
					  every(period, run);
				  });
		}

		void stop()
		{
			stopped_ = true;
		}

		void run()
		{
			while (!stopped_)
			{
				std::vector<pollfd> fds;
				for (const auto& [fd, reader] : readers_)
				{
					fds.push_back({.fd = fd, .events = POLLIN, .revents = 0});
				}
				::poll(fds.data(), fds.size(), timeout_ms());
				for (const auto& it : fds)
				{
					const auto found = readers_.find(it.fd);
					if (it.revents != 0 && found != readers_.end())
					{
						const auto reader = found->second;
						reader();
					}
				}
				while (!stopped_ && !timers_.empty() && timers_.begin()->first <= clock::now())
				{
					const auto run = std::move(timers_.begin()->second);
					timers_.erase(timers_.begin());
					run();
				}
			}
		}

	private:
		[[nodiscard]] int timeout_ms() const
		{
			if (timers_.empty())
			{
				return 100;
			}
			const auto rest = std::chrono::ceil<milliseconds>(timers_.begin()->first - clock::now()).count();
			return rest < 0 ? 0 : static_cast<int>(rest > 100 ? 100 : rest);
		}

		std::map<int, std::function<void()>> readers_;
		std::multimap<time_point, std::function<void()>> timers_;
		bool stopped_ = false;
	};

	inline sockaddr_in to_sockaddr(const address& it)
	{
		sockaddr_in out{};
		out.sin_family = AF_INET;
		out.sin_port = htons(it.port);
		out.sin_addr.s_addr = htonl(it.ip);
		return out;
	}

	inline int bound_socket(int type, const address& local)
	{
		const int fd = ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		const int on = 1;
		if (type == SOCK_STREAM)
		{
			::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
		}
		const auto to = to_sockaddr(local);
		if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0)
		{
			throw std::runtime_error("bind " + to_text(local));
		}
		if (type == SOCK_STREAM && ::listen(fd, 64) != 0)
		{
			throw std::runtime_error("listen " + to_text(local));
		}
		return fd;
	}

	inline void send_datagram(int fd, const address& to, const std::string& bytes)
	{
		const auto target = to_sockaddr(to);
		::sendto(fd, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<const sockaddr*>(&target),
				 sizeof target);
	}

	/// Reads all waiting datagrams.
	inline std::vector<std::string> receive_datagrams(int fd)
	{
		std::vector<std::string> all;
		char buf[4096];
		for (auto n = ::recv(fd, buf, sizeof buf, MSG_DONTWAIT); n > 0; n = ::recv(fd, buf, sizeof buf, MSG_DONTWAIT))
		{
			all.emplace_back(buf, static_cast<std::size_t>(n));
		}
		return all;
	}

	inline std::uint32_t make_ip(unsigned a, unsigned b, unsigned c)
	{
		return (127U << 24U) | (a << 16U) | (b << 8U) | c;
	}
}
