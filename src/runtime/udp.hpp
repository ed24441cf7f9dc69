#pragma once

#include "nutmegturn/endpoint.hpp"
#include "nutmegturn/error.hpp"

#include "runtime/file_descriptor.hpp"

#include <sys/socket.h>
#include <sys/uio.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace nutmegturn::runtime
{
	/// Socket address with its length, as the socket calls take it.
	struct socket_address
	{
		sockaddr_storage storage{};
		socklen_t length = 0;
	};

	/// Returns the socket address of an endpoint.
	[[nodiscard]] socket_address to_socket_address(const endpoint& ep) noexcept;

	/// Returns the endpoint of an IPv4 or IPv6 socket address.
	[[nodiscard]] endpoint to_endpoint(const sockaddr_storage& storage) noexcept;

	/// Opens a non-blocking UDP socket.
	/// \param local		Where it listens; port 0 lets the system choose.
	/// \param reuse_port	Whether several sockets of one process share the endpoint (SO_REUSEPORT).
	/// \returns			The socket, or the failed call with the system's message.
	[[nodiscard]] result<file_descriptor, std::string> open_udp(const endpoint& local, bool reuse_port = false);

	/// Opens a non-blocking UDP socket that exchanges datagrams with one peer only.
	/// \param remote		The peer.
	/// \param local_port	Port to bind, or 0 for any.
	/// \returns			The socket, or the failed call with the system's message.
	[[nodiscard]] result<file_descriptor, std::string> connect_udp(const endpoint& remote,
																   std::uint16_t local_port = 0);

	/// Returns the endpoint to which a socket is bound.
	[[nodiscard]] endpoint local_endpoint(int fd) noexcept;

	/// Reads and discards all datagrams that wait in a socket.
	/// \returns	How many there were.
	std::size_t discard_pending(int fd) noexcept;

	/// Raises the limit of open files to the hard limit.
	/// \returns	The limit now in force.
	std::size_t raise_open_file_limit() noexcept;

	/// Buffers for reading many datagrams with one call. All memory is allocated by the constructor.
	class receive_batch
	{
	public:
		/// Allocates buffers.
		/// \param capacity		Largest number of datagrams of one call.
		/// \param buffer_size	Largest datagram that is read whole, in bytes. The default is larger than any UDP
		/// payload.
		explicit receive_batch(std::size_t capacity = 32, std::size_t buffer_size = 65'536);

		/// Reads the datagrams that wait, up to the capacity; earlier payloads become invalid.
		/// \returns	How many were read; 0 when none wait or the call failed.
		std::size_t receive(int fd) noexcept;

		/// Returns the bytes of datagram `index` of the last call.
		[[nodiscard]] std::span<const std::byte> payload(std::size_t index) const noexcept
		{
			return {&storage_[index * buffer_size_], messages_[index].msg_len};
		}

		/// Returns the bytes of datagram `index` of the last call for changes in place.
		[[nodiscard]] std::span<std::byte> payload(std::size_t index) noexcept
		{
			return {&storage_[index * buffer_size_], messages_[index].msg_len};
		}

		/// Returns the sender of datagram `index` of the last call.
		[[nodiscard]] endpoint source(std::size_t index) const noexcept
		{
			return to_endpoint(addresses_[index]);
		}

		/// Returns the largest number of datagrams of one call.
		[[nodiscard]] std::size_t capacity() const noexcept
		{
			return messages_.size();
		}

	private:
		std::size_t buffer_size_;
		std::vector<std::byte> storage_;
		std::vector<sockaddr_storage> addresses_;
		std::vector<iovec> parts_;
		std::vector<mmsghdr> messages_;
	};

	/// Datagrams collected for one call. All memory is allocated by the constructor.
	class send_batch
	{
	public:
		/// Allocates room.
		/// \param fd		Socket to send through; stays owned by the caller.
		/// \param capacity	Number of datagrams that are sent with one call.
		explicit send_batch(int fd, std::size_t capacity = 64);

		/// Returns room for the bytes of the next datagram. Sends the batch first when it is full.
		/// \param size	At most 65,536.
		[[nodiscard]] std::span<std::byte> reserve(std::size_t size) noexcept;

		/// Adds the datagram that was written into the reserved room.
		/// \param destination	Receiver.
		/// \param size	Bytes written.
		void commit(const endpoint& destination, std::size_t size) noexcept;

		/// Adds a copy of a datagram.
		void add(const endpoint& destination, std::span<const std::byte> bytes) noexcept;

		/// Sends what was collected. Datagrams that the system does not take are dropped and counted.
		void flush() noexcept;

		/// Returns how many datagrams the system did not take.
		[[nodiscard]] std::uint64_t failed() const noexcept
		{
			return failed_;
		}

		/// Returns how many datagrams were sent.
		[[nodiscard]] std::uint64_t sent() const noexcept
		{
			return sent_;
		}

	private:
		/// Holds a datagram of the usual Ethernet size with a packet header.
		static constexpr std::size_t slot_size = 2'048;
		static constexpr std::size_t large_size = 65'536;

		int fd_;
		std::size_t used_ = 0;
		std::byte* reserved_ = nullptr;
		std::uint64_t failed_ = 0;
		std::uint64_t sent_ = 0;
		std::vector<std::byte> storage_;
		std::vector<std::byte> large_; ///< Used by one datagram at a time.
		std::vector<socket_address> addresses_;
		std::vector<iovec> parts_;
		std::vector<mmsghdr> messages_;
	};
}
