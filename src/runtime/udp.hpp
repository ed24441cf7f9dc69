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
	/// Socket address and its length, as used by the socket calls.
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
	/// \param local		Endpoint to bind; with port 0, the system chooses the port.
	/// \param reuse_port	Whether several sockets of one process share the endpoint (SO_REUSEPORT).
	/// \returns			The socket, or the failed call and the system error message.
	[[nodiscard]] result<file_descriptor, std::string> open_udp(const endpoint& local, bool reuse_port = false);

	/// Opens a non-blocking UDP socket that is connected to one peer.
	/// \param remote		Endpoint of the peer.
	/// \param local_port	Port to bind, or 0 for an ephemeral port.
	/// \returns			The socket, or the failed call and the system error message.
	[[nodiscard]] result<file_descriptor, std::string> connect_udp(const endpoint& remote,
																   std::uint16_t local_port = 0);

	/// Returns the endpoint to which a socket is bound, or an empty endpoint on failure.
	[[nodiscard]] endpoint local_endpoint(int fd) noexcept;

	/// Discards the pending datagrams of a socket, at most 1,000,000.
	/// \returns	Number of discarded datagrams.
	std::size_t discard_pending(int fd) noexcept;

	/// Raises the soft limit on open files to the hard limit.
	/// \returns	The resulting soft limit, or 0 if it cannot be read.
	std::size_t raise_open_file_limit() noexcept;

	/// Buffers for receiving many datagrams with one system call. The constructor allocates all memory.
	class receive_batch
	{
	public:
		/// Allocates buffers.
		/// \param capacity		Maximum number of datagrams per call.
		/// \param buffer_size	Size of the largest datagram that is not truncated, in bytes. The default exceeds any
		/// UDP payload.
		explicit receive_batch(std::size_t capacity = 32, std::size_t buffer_size = 65'536);

		/// Receives pending datagrams up to the capacity. Invalidates the payloads of the previous call.
		/// \returns	Number of datagrams; 0 if none are pending or the call failed.
		std::size_t receive(int fd) noexcept;

		/// Returns the payload of datagram `index` of the last call.
		[[nodiscard]] std::span<const std::byte> payload(std::size_t index) const noexcept
		{
			return {&storage_[index * buffer_size_], messages_[index].msg_len};
		}

		/// Returns the payload of datagram `index` of the last call for modification in place.
		[[nodiscard]] std::span<std::byte> payload(std::size_t index) noexcept
		{
			return {&storage_[index * buffer_size_], messages_[index].msg_len};
		}

		/// Returns the sender of datagram `index` of the last call.
		[[nodiscard]] endpoint source(std::size_t index) const noexcept
		{
			return to_endpoint(addresses_[index]);
		}

		/// Returns the maximum number of datagrams per call.
		[[nodiscard]] std::size_t capacity() const noexcept
		{
			return messages_.size();
		}

	private:
		std::size_t buffer_size_;
		std::vector<std::byte> storage_;
		std::vector<sockaddr_storage> addresses_;
		std::vector<iovec> iovecs_;
		std::vector<mmsghdr> messages_;
	};

	/// Collects datagrams and sends them with one system call. The constructor allocates all memory.
	class send_batch
	{
	public:
		/// Allocates buffers.
		/// \param fd		Socket to send on; not owned.
		/// \param capacity	Maximum number of datagrams per call.
		explicit send_batch(int fd, std::size_t capacity = 64);

		/// Returns a buffer for the next datagram. Flushes the batch first if it is full.
		/// \param size	At most 65,536.
		[[nodiscard]] std::span<std::byte> reserve(std::size_t size) noexcept;

		/// Adds the datagram that was written to the reserved buffer.
		/// \param destination	Receiver.
		/// \param size			Number of bytes written.
		void commit(const endpoint& destination, std::size_t size) noexcept;

		/// Adds a copy of a datagram.
		void add(const endpoint& destination, std::span<const std::byte> bytes) noexcept;

		/// Sends the collected datagrams. Datagrams that the system does not accept are dropped and counted.
		void flush() noexcept;

		/// Returns the number of datagrams that the system did not accept.
		[[nodiscard]] std::uint64_t failed() const noexcept
		{
			return failed_;
		}

		/// Returns the number of datagrams sent.
		[[nodiscard]] std::uint64_t sent() const noexcept
		{
			return sent_;
		}

	private:
		/// Fits a datagram of the standard Ethernet MTU with a packet header.
		static constexpr std::size_t slot_size = 2'048;
		static constexpr std::size_t large_buffer_size = 65'536;

		int fd_;
		std::size_t used_ = 0;
		std::byte* reserved_ = nullptr;
		std::uint64_t failed_ = 0;
		std::uint64_t sent_ = 0;
		std::vector<std::byte> storage_;
		std::vector<std::byte> large_buffer_; ///< Shared buffer for large datagrams; a batch contains at most one.
		std::vector<socket_address> addresses_;
		std::vector<iovec> iovecs_;
		std::vector<mmsghdr> messages_;
	};
}
