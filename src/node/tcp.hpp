#pragma once

#include "nutmegturn/endpoint.hpp"
#include "nutmegturn/error.hpp"

#include "runtime/file_descriptor.hpp"

#include <string>

namespace nutmegturn::node
{
	/// Starts a non-blocking connect. Frequent keep-alive probes detect a peer that stopped responding.
	/// \returns	The socket, which becomes writable when connected, or the name of the failed call with the system's
	///			error message.
	[[nodiscard]] result<runtime::file_descriptor, std::string> connect_tcp(const endpoint& remote);

	/// Opens a non-blocking listening socket.
	/// \returns	The socket, or the name of the failed call with the system's error message.
	[[nodiscard]] result<runtime::file_descriptor, std::string> listen_tcp(const endpoint& local);
}
