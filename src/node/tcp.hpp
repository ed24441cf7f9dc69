#pragma once

#include "nutmegturn/endpoint.hpp"
#include "nutmegturn/error.hpp"

#include "runtime/file_descriptor.hpp"

#include <string>

namespace nutmegturn::node
{
	/// Starts to connect without blocking. Short keep-alive probes end a connection that went silent.
	/// \returns	The socket, which is writable once connected; or the failed call with the system's message.
	[[nodiscard]] result<runtime::file_descriptor, std::string> connect_tcp(const endpoint& remote);

	/// Opens a non-blocking listening socket.
	/// \returns	The socket, or the failed call with the system's message.
	[[nodiscard]] result<runtime::file_descriptor, std::string> listen_tcp(const endpoint& local);
}
