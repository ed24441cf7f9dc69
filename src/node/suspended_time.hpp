#pragma once

#include <chrono>
#include <optional>

namespace nutmegturn::node
{
	/// Returns the time since the machine's start in which it was suspended, or nothing if the process was interrupted
	/// while it read the clocks.
	[[nodiscard]] std::optional<std::chrono::nanoseconds> read_suspended_time() noexcept;
}
