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

		[[nodiscard]] std::string format_system_error(std::string_view call)
		{
			return fmt::format("{}: {}", call, std::generic_category().message(errno));
		}

		[[nodiscard]] http_result make_failure(std::string error)
		{
			http_result result;
			result.error = std::move(error);
			return result;
		}

		/// Returns whether a response is larger than `http_connection::max_body_size`. The parser's own limit does not
		/// hold for responses that state their length.
		[[nodiscard]] bool exceeds_limit(const http_connection::parser& response)
		{
			const auto announced = response.content_length();
			return (announced && *announced > http_connection::max_body_size) ||
				   response.get().body().size() > http_connection::max_body_size;
		}

		[[nodiscard]] bool is_transient_error() noexcept
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
		if (timeout_timer_ != 0)
		{
			loop_.cancel(std::exchange(timeout_timer_, 0));
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
		auto socket = connect_tcp(server_);
		if (!has_value(socket))
		{
			return false;
		}
		fd_ = std::move(std::get<0>(socket));
		return loop_.watch(fd_.get(), [this] { on_ready(); });
	}

	void http_connection::get(const std::string& target, std::chrono::milliseconds timeout,
							  std::function<void(const http_result&)> done)
	{
		done_ = std::move(done);
		unsent_ = fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", target, to_string(server_));
		parser_.emplace();
		parser_->body_limit(boost::none);
		parser_->eager(true);
		unparsed_.clear();
		timeout_timer_ = loop_.call_at(loop_.now() + timeout,
									   [this]
									   {
										   timeout_timer_ = 0;
										   finish(make_failure("timeout"), false);
									   });
		if (!fd_ && !open())
		{
			// Reports the error from the event loop, so that `done` never runs before `get` returns.
			loop_.cancel(timeout_timer_);
			timeout_timer_ = loop_.call_at(loop_.now(),
										   [this, error = format_system_error("connect")]
										   {
											   timeout_timer_ = 0;
											   finish(make_failure(error), false);
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
			if (!is_transient_error())
			{
				finish(make_failure(format_system_error("send")), false);
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
			if (n < 0 && is_transient_error())
			{
				return;
			}
			if (n <= 0)
			{
				finish(make_failure(n == 0 ? "connection closed" : format_system_error("recv")), false);
				return;
			}
			if (!parser_)
			{
				// The server sent data without a request; the connection cannot be reused.
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
		const auto consumed = parser_->put(boost::asio::buffer(unparsed_), ec);
		unparsed_.erase(0, consumed);
		if (ec && ec != boost::beast::http::error::need_more)
		{
			finish(make_failure(ec.message()), false);
			return;
		}
		if (exceeds_limit(*parser_))
		{
			auto failure = make_failure("response too large");
			failure.too_large = true;
			finish(failure, false);
			return;
		}
		if (parser_->is_done())
		{
			const bool keep_alive = parser_->keep_alive();
			http_result result;
			result.status = static_cast<int>(parser_->get().result_int());
			result.body = std::move(parser_->get().body());
			result.header = std::move(parser_->get().base());
			finish(result, keep_alive);
		}
	}

	void http_connection::finish(const http_result& result, bool keep_alive)
	{
		const auto done = std::exchange(done_, nullptr);
		if (keep_alive)
		{
			loop_.cancel(std::exchange(timeout_timer_, 0));
			parser_.reset();
		}
		else
		{
			close();
		}
		unsent_.clear();
		if (done)
		{
			done(result);
		}
	}
}
