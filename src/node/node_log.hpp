#pragma once

#include "nutmegturn/log.hpp"

#include "runtime/clock.hpp"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace nutmegturn::node
{
	/// Writes structured log lines to standard output, one JSON object per line. Never blocks: lines that standard
	/// output does not accept immediately are dropped and counted.
	class node_log
	{
	public:
		using fields = std::vector<std::pair<std::string_view, std::string>>;

		/// Makes standard output non-blocking.
		/// \param process	Process name, included in every line.
		explicit node_log(std::string process);

		/// Writes a line unless the rate limit of the event is exceeded.
		/// \param event	Stable event name in snake_case.
		/// \param text		Human-readable message.
		void write(log_level level, std::string_view event, std::string text, fields values = {});

		void set_process(std::string process)
		{
			process_ = std::move(process);
		}

		/// Returns the number of lines dropped because standard output did not accept them.
		[[nodiscard]] std::uint64_t dropped() const noexcept
		{
			return dropped_;
		}

		/// Returns the number of lines suppressed by the rate limit.
		[[nodiscard]] std::uint64_t suppressed() const noexcept
		{
			return limiter_.suppressed();
		}

	private:
		/// Writes the rest of a partially written line.
		/// \returns	Whether the line is complete.
		bool flush_partial_line();

		std::string process_;
		log_limiter limiter_;
		std::string partial_line_; ///< Unwritten rest of a partially written line.
		std::uint64_t dropped_ = 0;
	};
}
