#include "node/tcp.hpp"

#include "runtime/udp.hpp"

#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <system_error>
#include <utility>

namespace nutmegturn::node
{
	namespace
	{
		constexpr std::chrono::seconds keep_alive_idle{1};
		constexpr std::chrono::seconds keep_alive_interval{1};
		constexpr int keep_alive_probes = 2;
		constexpr std::chrono::milliseconds user_timeout{2'500};
		constexpr int listen_backlog = 32;

		[[nodiscard]] std::string format_failure(std::string_view call, const endpoint& ep)
		{
			return fmt::format("{} {}: {}", call, to_string(ep), std::generic_category().message(errno));
		}

		void set_option(int fd, int level, int option, int value) noexcept
		{
			// Failure is ignored: without the option, only the request timeouts detect a dead connection.
			[[maybe_unused]] const int set = ::setsockopt(fd, level, option, &value, sizeof value);
		}

		[[nodiscard]] runtime::file_descriptor make_socket(const runtime::socket_address& address) noexcept
		{
			return runtime::file_descriptor{
				::socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
		}
	}

	result<runtime::file_descriptor, std::string> connect_tcp(const endpoint& remote)
	{
		const auto address = runtime::to_socket_address(remote);
		auto fd = make_socket(address);
		if (!fd)
		{
			return format_failure("socket", remote);
		}
		set_option(fd.get(), IPPROTO_TCP, TCP_NODELAY, 1);
		set_option(fd.get(), SOL_SOCKET, SO_KEEPALIVE, 1);
		set_option(fd.get(), IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(keep_alive_idle.count()));
		set_option(fd.get(), IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(keep_alive_interval.count()));
		set_option(fd.get(), IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
		set_option(fd.get(), IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(user_timeout.count()));
		if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address.storage), address.length) != 0 &&
			errno != EINPROGRESS)
		{
			return format_failure("connect", remote);
		}
		return fd;
	}

	result<runtime::file_descriptor, std::string> listen_tcp(const endpoint& local)
	{
		const auto address = runtime::to_socket_address(local);
		auto fd = make_socket(address);
		if (!fd)
		{
			return format_failure("socket", local);
		}
		set_option(fd.get(), SOL_SOCKET, SO_REUSEADDR, 1);
		if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address.storage), address.length) != 0)
		{
			return format_failure("bind", local);
		}
		if (::listen(fd.get(), listen_backlog) != 0)
		{
			return format_failure("listen", local);
		}
		return fd;
	}
}
