#include "node/http_call.hpp"

#include "node/tcp.hpp"

#include <boost/asio/buffer.hpp>
#include <fmt/format.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace nutmegturn::node
{
	namespace
	{
		constexpr std::size_t read_size = 16'384;

		[[nodiscard]] std::string system_message(std::string_view call)
		{
			return fmt::format("{}: {}", call, std::generic_category().message(errno));
		}

		[[nodiscard]] bool would_block() noexcept
		{
			return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR || errno == EINPROGRESS ||
				   errno == ENOTCONN;
		}
	}

	http_connection::http_connection(event_loop& loop, const endpoint& server) : loop_{loop}, server_{server} {}

	http_connection::~http_connection()
	{
		close();
	}

	void http_connection::set_server(const endpoint& server)
	{
		close();
		server_ = server;
	}

	void http_connection::close()
	{
		if (timer_ != 0)
		{
			loop_.cancel(std::exchange(timer_, 0));
		}
		if (fd_)
		{
			loop_.unwatch(fd_.get());
			fd_.reset();
		}
		parser_.reset();
		done_ = nullptr;
	}

	bool http_connection::open()
	{
		auto made = connect_tcp(server_);
		if (!has_value(made))
		{
			return false;
		}
		fd_ = std::move(std::get<0>(made));
		return loop_.watch(fd_.get(), [this] { on_ready(); });
	}

	void http_connection::get(const std::string& target, std::chrono::milliseconds timeout,
							  std::function<void(const http_result&)> done)
	{
		done_ = std::move(done);
		unsent_ = fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", target, to_string(server_));
		parser_.emplace();
		parser_->body_limit(max_body_size);
		parser_->eager(true);
		unparsed_.clear();
		timer_ = loop_.call_at(loop_.now() + timeout,
							   [this]
							   {
								   timer_ = 0;
								   finish({.status = 0, .body = {}, .error = "timeout"}, false);
							   });
		if (!fd_ && !open())
		{
			// Reported from the event loop, so that the caller never gets its answer before `get` returns.
			loop_.cancel(timer_);
			timer_ = loop_.call_at(loop_.now(),
								   [this, error = system_message("connect")]
								   {
									   timer_ = 0;
									   finish({.status = 0, .body = {}, .error = error}, false);
								   });
			return;
		}
		loop_.set_writable(fd_.get(), true);
	}

	void http_connection::on_ready()
	{
		if (!unsent_.empty())
		{
			send_request();
		}
		if (fd_)
		{
			read_response();
		}
	}

	void http_connection::send_request()
	{
		const auto n = ::send(fd_.get(), unsent_.data(), unsent_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0)
		{
			if (!would_block())
			{
				finish({.status = 0, .body = {}, .error = system_message("send")}, false);
			}
			return;
		}
		unsent_.erase(0, static_cast<std::size_t>(n));
		if (unsent_.empty())
		{
			loop_.set_writable(fd_.get(), false);
		}
	}

	void http_connection::read_response()
	{
		std::array<char, read_size> buf{};
		while (fd_)
		{
			const auto n = ::recv(fd_.get(), buf.data(), buf.size(), MSG_DONTWAIT);
			if (n < 0 && would_block())
			{
				return;
			}
			if (n <= 0)
			{
				finish({.status = 0, .body = {}, .error = n == 0 ? "connection closed" : system_message("recv")},
					   false);
				return;
			}
			if (!parser_)
			{
				// Bytes without a call: the connection is of no further use.
				close();
				return;
			}
			unparsed_.append(buf.data(), static_cast<std::size_t>(n));
			parse_response();
		}
	}

	void http_connection::parse_response()
	{
		boost::system::error_code ec;
		const auto used = parser_->put(boost::asio::buffer(unparsed_), ec);
		unparsed_.erase(0, used);
		if (ec && ec != boost::beast::http::error::need_more)
		{
			finish({.status = 0, .body = {}, .error = ec.message()}, false);
			return;
		}
		if (parser_->is_done())
		{
			const bool keep = parser_->keep_alive();
			finish({.status = static_cast<int>(parser_->get().result_int()),
					.body = std::move(parser_->get().body()),
					.error = {}},
				   keep);
		}
	}

	void http_connection::finish(const http_result& outcome, bool keep)
	{
		const auto done = std::exchange(done_, nullptr);
		if (keep)
		{
			loop_.cancel(std::exchange(timer_, 0));
			parser_.reset();
		}
		else
		{
			close();
		}
		unsent_.clear();
		if (done)
		{
			done(outcome);
		}
	}
}
