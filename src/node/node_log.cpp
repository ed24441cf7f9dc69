#include "node/node_log.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <string>

namespace nutmegturn::node
{
	namespace
	{
		/// Returns the rate limit of one event, in lines per second. It is higher for warnings, because decisions that
		/// affect callers are logged as warnings.
		[[nodiscard]] std::uint32_t rate_limit(log_level level) noexcept
		{
			constexpr std::uint32_t normal_rate = 5;
			constexpr std::uint32_t warning_rate = 20;
			return level >= log_level::warning ? warning_rate : normal_rate;
		}
	}

	node_log::node_log(std::string process) : process_{std::move(process)}
	{
		const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
		if (flags >= 0)
		{
			// The call fails only where standard output is a file, which does not block.
			[[maybe_unused]] const int set = ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
		}
	}

	void node_log::write(log_level level, std::string_view event, std::string text, fields values)
	{
		const auto suppressed = limiter_.admit(event, runtime::read_clock(), rate_limit(level));
		if (!suppressed)
		{
			return;
		}
		values.emplace_back("process", process_);
		if (dropped_ > 0)
		{
			values.emplace_back("dropped_lines", std::to_string(dropped_));
		}
		const log_event line{.level = level,
							 .name = event,
							 .text = std::move(text),
							 .fields = std::move(values),
							 .suppressed = *suppressed};
		const auto encoded_line = format_log_json(line, runtime::read_wall_clock()) + '\n';
		if (!flush_partial_line())
		{
			++dropped_;
			return;
		}
		const auto n = ::write(STDOUT_FILENO, encoded_line.data(), encoded_line.size());
		if (n < 0)
		{
			++dropped_;
			return;
		}
		partial_line_ = encoded_line.substr(static_cast<std::size_t>(n));
	}

	bool node_log::flush_partial_line()
	{
		if (partial_line_.empty())
		{
			return true;
		}
		const auto n = ::write(STDOUT_FILENO, partial_line_.data(), partial_line_.size());
		partial_line_.erase(0, n > 0 ? static_cast<std::size_t>(n) : 0);
		return partial_line_.empty();
	}
}
