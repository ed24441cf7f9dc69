#pragma once

#include "node/event_loop.hpp"
#include "node/tcp.hpp"

#include <sys/socket.h>

#include <array>
#include <map>

namespace nutmegturn::node::testing
{
	/// Relays TCP connections on loopback. Open ones can go silent for good without being closed, while new ones work.
	class loopback_relay
	{
	public:
		loopback_relay(event_loop& loop, const endpoint& server) : loop_{loop}, server_{server} {}

		~loopback_relay()
		{
			for (const auto& [fd, peer] : peers_)
			{
				loop_.unwatch(fd);
			}
		}

		loopback_relay(const loopback_relay&) = delete;
		loopback_relay& operator=(const loopback_relay&) = delete;
		loopback_relay(loopback_relay&&) = delete;
		loopback_relay& operator=(loopback_relay&&) = delete;

		/// Starts to listen.
		/// \returns	Whether that succeeded.
		[[nodiscard]] bool open(const endpoint& local)
		{
			auto socket = listen_tcp(local);
			if (!has_value(socket))
			{
				return false;
			}
			listener_ = std::move(std::get<0>(socket));
			return loop_.watch(listener_.get(), [this] { accept(); });
		}

		/// Relays nothing more on the connections that are open now.
		void silence_open_connections()
		{
			for (const auto& [fd, peer] : peers_)
			{
				loop_.unwatch(fd);
			}
			silent_.merge(sockets_);
			peers_.clear();
		}

	private:
		void accept()
		{
			runtime::file_descriptor client{::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)};
			auto server = connect_tcp(server_);
			if (!client || !has_value(server))
			{
				return;
			}
			add(client.get(), std::get<0>(server).get());
			add(std::get<0>(server).get(), client.get());
			sockets_[std::get<0>(server).get()] = std::move(std::get<0>(server));
			sockets_[client.get()] = std::move(client);
		}

		void add(int from, int to)
		{
			peers_[from] = to;
			static_cast<void>(loop_.watch(from, [this, from] { relay(from); }));
		}

		void relay(int from)
		{
			std::array<char, 16'384> buf{};
			const auto n = ::recv(from, buf.data(), buf.size(), MSG_DONTWAIT);
			if (n > 0)
			{
				static_cast<void>(::send(peers_.at(from), buf.data(), static_cast<std::size_t>(n), MSG_NOSIGNAL));
			}
			else if (n == 0)
			{
				loop_.unwatch(from);
			}
		}

		event_loop& loop_;
		endpoint server_;
		runtime::file_descriptor listener_;
		std::map<int, int> peers_;
		std::map<int, runtime::file_descriptor> sockets_;
		std::map<int, runtime::file_descriptor> silent_; ///< Kept open, so that the ends notice nothing.
	};
}
