#include "node/status_server.hpp"

#include "node/tcp.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <fmt/format.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace nutmegturn::node
{
	namespace
	{
		namespace http = boost::beast::http;

		[[nodiscard]] std::string format_response(const status_response& response)
		{
			const auto reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(response.status)));
			return fmt::format(
				"HTTP/1.1 {} {}\r\nContent-Type: text/plain; version=0.0.4\r\nContent-Length: {}\r\n\r\n{}",
				response.status, std::string_view{reason.data(), reason.size()}, response.body.size(), response.body);
		}
	}

	status_server::status_server(event_loop& loop, std::function<status_response(std::string_view)> handler)
		: loop_{loop}, handler_{std::move(handler)}
	{
	}

	std::string status_server::listen(const endpoint& local)
	{
		auto socket = listen_tcp(local);
		if (!has_value(socket))
		{
			return std::get<1>(socket);
		}
		const int listener = std::get<0>(socket).get();
		listeners_.push_back(std::move(std::get<0>(socket)));
		return loop_.watch(listener, [this, listener] { accept_connections(listener); })
				   ? ""
				   : "epoll_ctl failed for the listening socket of the status server";
	}

	void status_server::accept_connections(int listener)
	{
		while (true)
		{
			runtime::file_descriptor fd{::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)};
			if (!fd)
			{
				return;
			}
			if (connections_.size() >= max_connections)
			{
				close_connection(connections_.begin()->first);
			}
			const int number = fd.get();
			if (loop_.watch(number, [this, number] { on_ready(number); }))
			{
				connections_[number].fd = std::move(fd);
			}
		}
	}

	void status_server::on_ready(int fd)
	{
		auto& client = connections_.at(fd);
		if (!read_requests(client) || !send_response(client) || !handle_requests(client))
		{
			close_connection(fd);
		}
	}

	bool status_server::read_requests(connection& client)
	{
		std::array<char, max_request_size> buf{};
		const auto n = ::recv(client.fd.get(), buf.data(), buf.size(), MSG_DONTWAIT);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
		{
			return true;
		}
		if (n <= 0 || client.received.size() + static_cast<std::size_t>(n) > max_request_size)
		{
			return false;
		}
		client.received.append(buf.data(), static_cast<std::size_t>(n));
		return true;
	}

	bool status_server::handle_requests(connection& client)
	{
		while (!client.received.empty() && client.unsent.empty())
		{
			http::request_parser<http::empty_body> parser;
			parser.eager(true);
			boost::system::error_code ec;
			const auto consumed = parser.put(boost::asio::buffer(client.received), ec);
			if (ec == http::error::need_more)
			{
				return true;
			}
			if (ec || !parser.is_done())
			{
				return false;
			}
			client.received.erase(0, consumed);
			client.keep_alive = parser.keep_alive();
			const auto target = parser.get().target();
			client.unsent = format_response(handler_({target.data(), target.size()}));
			if (!send_response(client))
			{
				return false;
			}
		}
		return true;
	}

	bool status_server::send_response(connection& client)
	{
		if (client.unsent.empty())
		{
			return true;
		}
		const int fd = client.fd.get();
		const auto n = ::send(fd, client.unsent.data(), client.unsent.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0 && errno != EAGAIN && errno != EINTR)
		{
			return false;
		}
		client.unsent.erase(0, n > 0 ? static_cast<std::size_t>(n) : 0);
		loop_.set_writable(fd, !client.unsent.empty());
		return !client.unsent.empty() || client.keep_alive;
	}

	void status_server::close_connection(int fd)
	{
		loop_.unwatch(fd);
		connections_.erase(fd);
	}
}
