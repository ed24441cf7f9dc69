#pragma once

#include "nutmegturn/time.hpp"

#include "runtime/file_descriptor.hpp"

#include <cstddef>
#include <deque>

namespace nutmegturn::runtime
{
	/// Sockets of closed flows that are kept open for a while, so that the operating system does not give their ports
	/// to new flows.
	///
	/// An upstream may retransmit a response after its flow was closed. If a new flow had the same port and its caller
	/// the same token, that caller would get the response.
	class retired_sockets
	{
	public:
		/// Time for which a socket is kept: a CoAP peer retransmits a confirmable response for up to 45 s.
		static constexpr std::chrono::seconds retention{60};

		/// Capacity; the oldest socket is closed for another one.
		static constexpr std::size_t max_sockets = 1'024;

		/// Adds a socket that no poller watches.
		void add(file_descriptor socket, monotonic_time now)
		{
			close_expired(now);
			if (sockets_.size() >= max_sockets)
			{
				sockets_.pop_front();
			}
			sockets_.push_back({std::move(socket), now});
		}

		/// Closes the sockets whose retention has passed.
		void close_expired(monotonic_time now)
		{
			while (!sockets_.empty() && now - sockets_.front().retired_at >= retention)
			{
				sockets_.pop_front();
			}
		}

		/// Returns the number of sockets.
		[[nodiscard]] std::size_t size() const noexcept
		{
			return sockets_.size();
		}

	private:
		struct retired_socket
		{
			file_descriptor socket;
			monotonic_time retired_at;
		};

		std::deque<retired_socket> sockets_; ///< Oldest first.
	};
}
