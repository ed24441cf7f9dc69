#pragma once

#include "runtime/file_descriptor.hpp"

#include <QSocketNotifier>

#include <functional>
#include <memory>

namespace nutmegturn::runtime
{
	/// Blocks SIGTERM and SIGINT in the calling thread and in threads that it starts later. Call it before any thread
	/// is started.
	void block_stop_signals() noexcept;

	/// Delivers SIGTERM and SIGINT to the event loop (signalfd).
	class stop_signals
	{
	public:
		/// Registers the signal descriptor with the event loop. Throws `std::system_error` on failure.
		/// \param on_stop	Called in the event loop for each signal with the number of signals received so far.
		explicit stop_signals(std::function<void(int)> on_stop);

	private:
		file_descriptor fd_;
		std::unique_ptr<QSocketNotifier> notifier_;
		std::function<void(int)> on_stop_;
		int received_ = 0;
	};
}
