#include "node/process_signals.hpp"

#include <sys/signalfd.h>

#include <csignal>

namespace nutmegturn::node
{
	process_signals::process_signals(event_loop& loop, std::function<void(int)> on_signal)
		: on_signal_{std::move(on_signal)}
	{
		sigset_t set{};
		::sigemptyset(&set);
		::sigaddset(&set, SIGTERM);
		::sigaddset(&set, SIGINT);
		::sigaddset(&set, SIGHUP);
		::sigprocmask(SIG_BLOCK, &set, nullptr);
		fd_ = runtime::file_descriptor{::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC)};
		if (!fd_ || !loop.watch(fd_.get(), [this] { read_signals(); }))
		{
			// Without the signal descriptor, only the default action can end the process.
			::sigprocmask(SIG_UNBLOCK, &set, nullptr);
		}
	}

	void process_signals::read_signals()
	{
		signalfd_siginfo info{};
		while (::read(fd_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info))
		{
			on_signal_(static_cast<int>(info.ssi_signo));
		}
	}
}
