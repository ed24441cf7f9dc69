#pragma once

#include "nutmegturn/endpoint.hpp"

#include "node/event_loop.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace nutmegturn::node
{
	/// Outcome of an HTTP call.
	struct http_result
	{
		int status = 0; ///< 0 when no complete response arrived.
		std::string body;
		std::string error; ///< Why there is no response.
	};

	/// One HTTP/1.1 connection to one server, with one call at a time. It connects when a call needs it and never
	/// blocks.
	class http_connection
	{
	public:
		/// Largest response body that is read, in bytes.
		static constexpr std::size_t max_body_size = 8U << 20U;

		/// Creates a connection; nothing is sent yet.
		http_connection(event_loop& loop, const endpoint& server);
		~http_connection();
		http_connection(const http_connection&) = delete;
		http_connection& operator=(const http_connection&) = delete;
		http_connection(http_connection&&) = delete;
		http_connection& operator=(http_connection&&) = delete;

		/// Sends a GET request. No other call may be in progress.
		/// \param target	Path and query.
		/// \param timeout	Time for the whole call; after it the connection is closed.
		/// \param done		Called once, from the event loop.
		void get(const std::string& target, std::chrono::milliseconds timeout,
				 std::function<void(const http_result&)> done);

		/// Closes the connection and sends further calls to another server.
		void set_server(const endpoint& server);

		/// Closes the connection and forgets the call in progress.
		void close();

	private:
		using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

		[[nodiscard]] bool open();
		void on_ready();
		void send_request();
		void read_response();
		void parse_response();
		void finish(const http_result& outcome, bool keep);

		event_loop& loop_;
		endpoint server_;
		runtime::file_descriptor fd_;
		std::string unsent_;
		std::string unparsed_; ///< Bytes of the response that the parser has not taken yet.
		std::optional<parser> parser_;
		std::uint64_t timer_ = 0;
		std::function<void(const http_result&)> done_;
	};
}
