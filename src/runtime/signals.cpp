#include "runtime/signals.hpp"

#include <sys/signalfd.h>

#include <cerrno>
#include <csignal>
#include <system_error>

namespace nutmegturn::runtime
{
	namespace
	{
		[[nodiscard]] sigset_t stop_set() noexcept
		{
			sigset_t set{};
			sigemptyset(&set);
			sigaddset(&set, SIGTERM);
			sigaddset(&set, SIGINT);
			return set;
		}
	}

	void block_stop_signals() noexcept
	{
		const sigset_t set = stop_set();
		::pthread_sigmask(SIG_BLOCK, &set, nullptr);
	}

	stop_signals::stop_signals(std::function<void(int)> on_stop) : on_stop_{std::move(on_stop)}
	{
		const sigset_t set = stop_set();
		fd_ = file_descriptor{::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC)};
		if (!fd_)
		{
			throw std::system_error{errno, std::generic_category(), "signalfd"};
		}
		notifier_ = std::make_unique<QSocketNotifier>(fd_.get(), QSocketNotifier::Read);
		QObject::connect(notifier_.get(), &QSocketNotifier::activated,
						 [this]
						 {
							 signalfd_siginfo info{};
							 while (::read(fd_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info))
							 {
								 on_stop_(++received_);
							 }
						 });
	}
}
