#pragma once

#include "node/event_loop.hpp"

#include <functional>

namespace nutmegturn::node
{
	/// Delivers SIGTERM, SIGINT and SIGHUP through an event loop.
	class process_signals
	{
	public:
		/// Blocks the signals and starts to deliver them. If that fails, the signals keep their default action.
		/// \param on_signal	Called from the event loop with the signal number.
		process_signals(event_loop& loop, std::function<void(int signal)> on_signal);

	private:
		void read_signals();

		std::function<void(int)> on_signal_;
		runtime::file_descriptor fd_;
	};
}
