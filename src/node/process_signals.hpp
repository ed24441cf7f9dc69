#pragma once

#include "node/event_loop.hpp"

#include <functional>

namespace nutmegturn::node
{
	/// Reports SIGTERM, SIGINT and SIGHUP to an event loop.
	class process_signals
	{
	public:
		/// Blocks the signals and starts to report them.
		/// \param on_signal	Called in the event loop with the number of the signal.
		process_signals(event_loop& loop, std::function<void(int signal)> on_signal);

	private:
		void read_signals();

		std::function<void(int)> on_signal_;
		runtime::file_descriptor fd_;
	};
}
