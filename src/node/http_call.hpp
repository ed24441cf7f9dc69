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
	/// Result of an HTTP request.
	struct http_result
	{
		int status = 0; ///< HTTP status; 0 when no complete response arrived.
		std::string body;
		std::string error;                 ///< Reason why no response arrived.
		bool too_large = false;            ///< The response exceeds `http_connection::max_body_size`.
		boost::beast::http::fields header; ///< Header fields of the response.
	};

	/// Non-blocking HTTP/1.1 connection to one server, with one request at a time. Connects when a request needs it.
	class http_connection
	{
	public:
		/// Maximum size of a response body, in bytes.
		static constexpr std::size_t max_body_size = 8U << 20U;

		using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

		/// Creates a connection object; connects with the first request.
		http_connection(event_loop& loop, const endpoint& server);
		~http_connection();
		http_connection(const http_connection&) = delete;
		http_connection& operator=(const http_connection&) = delete;
		http_connection(http_connection&&) = delete;
		http_connection& operator=(http_connection&&) = delete;

		/// Sends a GET request. No other request may be in progress.
		/// \param target	Path and query.
		/// \param timeout	Time limit for the whole request; when it expires, the connection is closed.
		/// \param done		Called once with the result, from the event loop.
		void get(const std::string& target, std::chrono::milliseconds timeout,
				 std::function<void(const http_result&)> done);

		/// Closes the connection and sends further requests to another server.
		void set_server(const endpoint& server);

		/// Closes the connection and drops the request in progress without calling `done`.
		void close();

	private:
		[[nodiscard]] bool open();
		void on_ready();
		void send_request();
		void read_response();
		void parse_response();
		void finish(const http_result& result, bool keep_alive);

		event_loop& loop_;
		endpoint server_;
		runtime::file_descriptor fd_;
		std::string unsent_;
		std::string unparsed_; ///< Received bytes that the parser has not consumed yet.
		std::optional<parser> parser_;
		std::uint64_t timeout_timer_ = 0;
		std::function<void(const http_result&)> done_;
	};
}
