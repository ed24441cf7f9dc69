#include "node/node_log.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <string>

namespace nutmegturn::node
{
	namespace
	{
		/// Lines a second of one event. Decisions that hurt a caller are warnings and keep more of them.
		[[nodiscard]] std::uint32_t rate_of(log_level level) noexcept
		{
			constexpr std::uint32_t usual = 5;
			constexpr std::uint32_t harmful = 20;
			return level >= log_level::warning ? harmful : usual;
		}
	}

	node_log::node_log(std::string process) : process_{std::move(process)}
	{
		const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
		if (flags >= 0)
		{
			// Where this fails, standard output is a file, which does not block.
			[[maybe_unused]] const int set = ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
		}
	}

	void node_log::write(log_level level, std::string_view event, std::string text, fields values)
	{
		const auto suppressed = limiter_.admit(event, runtime::read_clock(), rate_of(level));
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
		const auto text_line = format_log_json(line, runtime::read_wall_clock()) + '\n';
		if (!write_rest())
		{
			++dropped_;
			return;
		}
		const auto n = ::write(STDOUT_FILENO, text_line.data(), text_line.size());
		if (n < 0)
		{
			++dropped_;
			return;
		}
		unwritten_ = text_line.substr(static_cast<std::size_t>(n));
	}

	bool node_log::write_rest()
	{
		if (unwritten_.empty())
		{
			return true;
		}
		const auto n = ::write(STDOUT_FILENO, unwritten_.data(), unwritten_.size());
		unwritten_.erase(0, n > 0 ? static_cast<std::size_t>(n) : 0);
		return unwritten_.empty();
	}
}
