#pragma once

#include "nutmegturn/endpoint.hpp"

#include "node/event_loop.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace nutmegturn::node
{
	/// Response of the status server.
	struct status_response
	{
		int status = 200;
		std::string body;
	};

	/// Serves readiness checks and metrics over HTTP/1.1.
	class status_server
	{
	public:
		/// Largest number of connections at a time; the oldest is closed for a new one.
		static constexpr std::size_t max_connections = 16;

		/// Largest request that is read, in bytes.
		static constexpr std::size_t max_request_size = 4'096;

		/// Creates a server that does not listen yet.
		/// \param answer	Gives the response for a path.
		status_server(event_loop& loop, std::function<status_response(std::string_view path)> answer);

		/// Starts to listen; may be called for several addresses.
		/// \returns	Empty, or why it failed.
		[[nodiscard]] std::string listen(const endpoint& local);

	private:
		struct connection
		{
			runtime::file_descriptor fd;
			std::string received;
		};

		void accept_connections(int listener);
		void read_requests(int fd);
		[[nodiscard]] bool answer_requests(connection& it);
		void drop(int fd);

		event_loop& loop_;
		std::function<status_response(std::string_view)> answer_;
		std::vector<runtime::file_descriptor> listeners_;
		std::map<int, connection> connections_;
	};
}
