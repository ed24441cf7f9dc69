#include "runtime/udp.hpp"

#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/resource.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace nutmegturn::runtime
{
	namespace
	{
		/// Holds a burst of a few thousand small datagrams. The system caps it at net.core.rmem_max.
		constexpr int socket_buffer_bytes = 4 << 20;

		constexpr std::size_t ipv4_offset = 12;

		[[nodiscard]] std::string failure(const char* call, const endpoint& ep)
		{
			return fmt::format("{} {}: {}", call, to_string(ep), std::strerror(errno));
		}

		[[nodiscard]] file_descriptor make_socket(const endpoint& ep) noexcept
		{
			return file_descriptor{
				::socket(is_ipv4(ep.ip) ? AF_INET : AF_INET6, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
		}
	}

	socket_address to_socket_address(const endpoint& ep) noexcept
	{
		socket_address to;
		if (is_ipv4(ep.ip))
		{
			sockaddr_in v4{};
			v4.sin_family = AF_INET;
			v4.sin_port = htons(ep.port);
			std::memcpy(&v4.sin_addr, ep.ip.bytes.data() + ipv4_offset, sizeof v4.sin_addr);
			std::memcpy(&to.storage, &v4, sizeof v4);
			to.length = sizeof v4;
			return to;
		}
		sockaddr_in6 v6{};
		v6.sin6_family = AF_INET6;
		v6.sin6_port = htons(ep.port);
		std::memcpy(&v6.sin6_addr, ep.ip.bytes.data(), sizeof v6.sin6_addr);
		std::memcpy(&to.storage, &v6, sizeof v6);
		to.length = sizeof v6;
		return to;
	}

	endpoint to_endpoint(const sockaddr_storage& storage) noexcept
	{
		endpoint ep;
		if (storage.ss_family == AF_INET)
		{
			sockaddr_in v4{};
			std::memcpy(&v4, &storage, sizeof v4);
			ep.ip.bytes[ipv4_offset - 2] = 0xff;
			ep.ip.bytes[ipv4_offset - 1] = 0xff;
			std::memcpy(ep.ip.bytes.data() + ipv4_offset, &v4.sin_addr, sizeof v4.sin_addr);
			ep.port = ntohs(v4.sin_port);
		}
		else if (storage.ss_family == AF_INET6)
		{
			sockaddr_in6 v6{};
			std::memcpy(&v6, &storage, sizeof v6);
			std::memcpy(ep.ip.bytes.data(), &v6.sin6_addr, sizeof v6.sin6_addr);
			ep.port = ntohs(v6.sin6_port);
		}
		return ep;
	}

	result<file_descriptor, std::string> open_udp(const endpoint& local, bool reuse_port)
	{
		file_descriptor fd = make_socket(local);
		if (!fd)
		{
			return failure("socket", local);
		}
		const int on = 1;
		if (reuse_port && ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof on) != 0)
		{
			return failure("SO_REUSEPORT", local);
		}
		::setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &socket_buffer_bytes, sizeof socket_buffer_bytes);
		::setsockopt(fd.get(), SOL_SOCKET, SO_SNDBUF, &socket_buffer_bytes, sizeof socket_buffer_bytes);
		const auto to = to_socket_address(local);
		if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&to.storage), to.length) != 0)
		{
			return failure("bind", local);
		}
		return fd;
	}

	result<file_descriptor, std::string> connect_udp(const endpoint& remote, std::uint16_t local_port)
	{
		file_descriptor fd = make_socket(remote);
		if (!fd)
		{
			return failure("socket", remote);
		}
		if (local_port != 0)
		{
			endpoint local;
			if (is_ipv4(remote.ip))
			{
				local.ip.bytes[ipv4_offset - 2] = 0xff;
				local.ip.bytes[ipv4_offset - 1] = 0xff;
			}
			local.port = local_port;
			const auto at = to_socket_address(local);
			if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&at.storage), at.length) != 0)
			{
				return failure("bind", local);
			}
		}
		const auto to = to_socket_address(remote);
		if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&to.storage), to.length) != 0)
		{
			return failure("connect", remote);
		}
		return fd;
	}

	endpoint local_endpoint(int fd) noexcept
	{
		sockaddr_storage storage{};
		socklen_t n = sizeof storage;
		if (::getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &n) != 0)
		{
			return {};
		}
		return to_endpoint(storage);
	}

	std::size_t discard_pending(int fd) noexcept
	{
		// The limit ensures that a continuous sender cannot block the caller indefinitely.
		constexpr std::size_t max_datagrams = 1'000'000;
		std::size_t n = 0;
		char byte = 0;
		while (n < max_datagrams && ::recv(fd, &byte, 1, MSG_DONTWAIT | MSG_TRUNC) >= 0)
		{
			++n;
		}
		return n;
	}

	std::size_t raise_open_file_limit() noexcept
	{
		rlimit limit{};
		if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
		{
			return 0;
		}
		const rlim_t before = limit.rlim_cur;
		limit.rlim_cur = limit.rlim_max;
		return ::setrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : before;
	}

	receive_batch::receive_batch(std::size_t capacity, std::size_t buffer_size)
		: buffer_size_{buffer_size}, storage_(capacity * buffer_size), addresses_(capacity), iovecs_(capacity),
		  messages_(capacity)
	{
		for (std::size_t i = 0; i < capacity; ++i)
		{
			iovecs_[i] = {&storage_[i * buffer_size], buffer_size};
			messages_[i].msg_hdr.msg_iov = &iovecs_[i];
			messages_[i].msg_hdr.msg_iovlen = 1;
			messages_[i].msg_hdr.msg_name = &addresses_[i];
		}
	}

	std::size_t receive_batch::receive(int fd) noexcept
	{
		for (auto& it : messages_)
		{
			it.msg_hdr.msg_namelen = sizeof(sockaddr_storage);
		}
		const int n = ::recvmmsg(fd, messages_.data(), static_cast<unsigned>(messages_.size()), MSG_DONTWAIT, nullptr);
		return n > 0 ? static_cast<std::size_t>(n) : 0;
	}

	send_batch::send_batch(int fd, std::size_t capacity)
		: fd_{fd}, storage_(capacity * slot_size), large_buffer_(large_buffer_size), addresses_(capacity),
		  iovecs_(capacity), messages_(capacity)
	{
		for (std::size_t i = 0; i < capacity; ++i)
		{
			messages_[i].msg_hdr.msg_name = &addresses_[i].storage;
			messages_[i].msg_hdr.msg_iov = &iovecs_[i];
			messages_[i].msg_hdr.msg_iovlen = 1;
		}
	}

	std::span<std::byte> send_batch::reserve(std::size_t size) noexcept
	{
		if (used_ == messages_.size())
		{
			flush();
		}
		if (size <= slot_size)
		{
			reserved_ = &storage_[used_ * slot_size];
			return {reserved_, slot_size};
		}
		if (std::any_of(iovecs_.begin(), iovecs_.begin() + static_cast<std::ptrdiff_t>(used_),
						[this](const iovec& it) { return it.iov_base == large_buffer_.data(); }))
		{
			flush();
		}
		reserved_ = large_buffer_.data();
		return large_buffer_;
	}

	void send_batch::commit(const endpoint& destination, std::size_t size) noexcept
	{
		addresses_[used_] = to_socket_address(destination);
		messages_[used_].msg_hdr.msg_namelen = addresses_[used_].length;
		iovecs_[used_] = {reserved_, size};
		++used_;
	}

	void send_batch::add(const endpoint& destination, std::span<const std::byte> bytes) noexcept
	{
		const auto room = reserve(bytes.size());
		if (bytes.size() > room.size())
		{
			++failed_;
			return;
		}
		std::copy(bytes.begin(), bytes.end(), room.begin());
		commit(destination, bytes.size());
	}

	void send_batch::flush() noexcept
	{
		std::size_t done = 0;
		while (done < used_)
		{
			const int n = ::sendmmsg(fd_, &messages_[done], static_cast<unsigned>(used_ - done), MSG_DONTWAIT);
			if (n > 0)
			{
				done += static_cast<std::size_t>(n);
				sent_ += static_cast<std::uint64_t>(n);
				continue;
			}
			// ECONNREFUSED reports an ICMP error for an earlier datagram; this datagram is retried once.
			if (n < 0 && errno == ECONNREFUSED && ::sendmmsg(fd_, &messages_[done], 1, MSG_DONTWAIT) == 1)
			{
				++sent_;
			}
			else
			{
				++failed_;
			}
			++done;
		}
		used_ = 0;
	}
}
