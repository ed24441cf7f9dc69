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

		[[nodiscard]] std::string format_response(const status_response& it)
		{
			const auto reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(it.status)));
			return fmt::format(
				"HTTP/1.1 {} {}\r\nContent-Type: text/plain; version=0.0.4\r\nContent-Length: {}\r\n\r\n{}", it.status,
				std::string_view{reason.data(), reason.size()}, it.body.size(), it.body);
		}
	}

	status_server::status_server(event_loop& loop, std::function<status_response(std::string_view)> answer)
		: loop_{loop}, answer_{std::move(answer)}
	{
	}

	std::string status_server::listen(const endpoint& local)
	{
		auto made = listen_tcp(local);
		if (!has_value(made))
		{
			return std::get<1>(made);
		}
		const int listener = std::get<0>(made).get();
		listeners_.push_back(std::move(std::get<0>(made)));
		return loop_.watch(listener, [this, listener] { accept_connections(listener); }) ? "" : "epoll_ctl failed";
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
				drop(connections_.begin()->first);
			}
			const int number = fd.get();
			if (loop_.watch(number, [this, number] { read_requests(number); }))
			{
				connections_[number] = {.fd = std::move(fd), .received = {}};
			}
		}
	}

	void status_server::read_requests(int fd)
	{
		auto& it = connections_.at(fd);
		std::array<char, max_request_size> buf{};
		const auto n = ::recv(fd, buf.data(), buf.size(), MSG_DONTWAIT);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
		{
			return;
		}
		if (n <= 0 || it.received.size() + static_cast<std::size_t>(n) > max_request_size)
		{
			drop(fd);
			return;
		}
		it.received.append(buf.data(), static_cast<std::size_t>(n));
		if (!answer_requests(it))
		{
			drop(fd);
		}
	}

	bool status_server::answer_requests(connection& it)
	{
		while (!it.received.empty())
		{
			http::request_parser<http::empty_body> parser;
			parser.eager(true);
			boost::system::error_code ec;
			const auto used = parser.put(boost::asio::buffer(it.received), ec);
			if (ec == http::error::need_more)
			{
				return true;
			}
			if (ec || !parser.is_done())
			{
				return false;
			}
			it.received.erase(0, used);
			const auto target = parser.get().target();
			const auto response = format_response(answer_({target.data(), target.size()}));
			const auto n = ::send(it.fd.get(), response.data(), response.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
			// A peer that does not read its responses is closed rather than waited for.
			if (n != static_cast<ssize_t>(response.size()) || !parser.keep_alive())
			{
				return false;
			}
		}
		return true;
	}

	void status_server::drop(int fd)
	{
		loop_.unwatch(fd);
		connections_.erase(fd);
	}
}
