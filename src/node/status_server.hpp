#pragma once

#include "nutmegturn/endpoint.hpp"

#include "node/event_loop.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace nutmegturn::node
{
	/// HTTP response of the status server.
	struct status_response
	{
		int status = 200;
		std::string body;
	};

	/// Serves readiness checks and metrics over HTTP/1.1.
	class status_server
	{
	public:
		/// Maximum number of open connections; beyond it, the one with the lowest descriptor is closed for a new one.
		static constexpr std::size_t max_connections = 16;

		/// Maximum size of a request, in bytes.
		static constexpr std::size_t max_request_size = 4'096;

		/// Creates a server that does not listen yet.
		/// \param handler	Returns the response for a path.
		status_server(event_loop& loop, std::function<status_response(std::string_view path)> handler);

		/// Starts to listen on an address; may be called for several addresses.
		/// \returns	An empty string, or the reason for the failure.
		[[nodiscard]] std::string listen(const endpoint& local);

	private:
		struct connection
		{
			runtime::file_descriptor fd;
			std::string received;
			std::string unsent; ///< Rest of the response; further requests wait for it.
			bool keep_alive = true;
		};

		void accept_connections(int listener);
		void on_ready(int fd);

		/// Reads what a client has sent.
		/// \returns	Whether the connection stays open.
		[[nodiscard]] static bool read_requests(connection& client);

		/// Answers the requests that have arrived, until a response cannot be sent at once.
		/// \returns	Whether the connection stays open.
		[[nodiscard]] bool handle_requests(connection& client);

		/// Sends as much of the response as the socket takes.
		/// \returns	Whether the connection stays open.
		[[nodiscard]] bool send_response(connection& client);
		void close_connection(int fd);

		event_loop& loop_;
		std::function<status_response(std::string_view)> handler_;
		std::vector<runtime::file_descriptor> listeners_;
		std::map<int, connection> connections_;
	};
}
