#pragma once

#include "nutmegturn/log.hpp"

#include "runtime/clock.hpp"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace nutmegturn::node
{
	/// Writes structured log lines to standard output, one JSON object a line. Never blocks: lines that the output does
	/// not take at once are dropped and counted.
	class node_log
	{
	public:
		using fields = std::vector<std::pair<std::string_view, std::string>>;

		/// Makes standard output non-blocking.
		/// \param process	Name of the process, part of every line.
		explicit node_log(std::string process);

		/// Writes a line unless the rate of this event is exceeded.
		/// \param event	Stable snake_case name.
		/// \param text		Sentence for people.
		void write(log_level level, std::string_view event, std::string text, fields values = {});

		/// Sets the name of the process.
		void set_process(std::string process)
		{
			process_ = std::move(process);
		}

		/// Returns how many lines standard output did not take.
		[[nodiscard]] std::uint64_t dropped() const noexcept
		{
			return dropped_;
		}

		/// Returns how many lines were left out to bound the rate.
		[[nodiscard]] std::uint64_t suppressed() const noexcept
		{
			return limiter_.suppressed();
		}

	private:
		/// Writes the rest of a line that standard output took in part.
		/// \returns	Whether nothing is left of it.
		bool write_rest();

		std::string process_;
		log_limiter limiter_;
		std::string unwritten_; ///< Rest of a line of which standard output took a part.
		std::uint64_t dropped_ = 0;
	};
}
