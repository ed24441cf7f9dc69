#pragma once

#include "nutmegturn/action.hpp"
#include "nutmegturn/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace nutmegturn
{
	/// Returns the name used in the JSON form.
	[[nodiscard]] std::string_view to_string(audit_kind kind) noexcept;

	/// Entry of the audit log.
	struct audit_entry
	{
		std::uint64_t number = 0; ///< Consecutive number, from 1 in each incarnation.
		wall_time at{};
		audit_event event;
	};

	/// Bounded log of changes. When it is full, the oldest entry is dropped and counted. Owned by the control thread.
	class audit_log
	{
	public:
		static constexpr std::size_t max_entries = 4'096;
		static constexpr std::size_t max_text_size = 512; ///< Subject and detail are truncated to this many bytes.

		/// Appends an entry.
		void append(audit_event event, wall_time at);

		/// Returns the entries, oldest first.
		[[nodiscard]] const std::deque<audit_entry>& entries() const noexcept
		{
			return entries_;
		}

		/// Returns the number of entries that were dropped.
		[[nodiscard]] std::uint64_t dropped() const noexcept
		{
			return dropped_;
		}

		/// Returns `{"dropped":N,"entries":[...]}` with the newest entries, oldest first.
		/// \param after	Only entries with a higher number are returned.
		/// \param limit	Maximum number of entries.
		[[nodiscard]] std::string to_json(std::uint64_t after = 0, std::size_t limit = max_entries) const;

	private:
		std::deque<audit_entry> entries_;
		std::uint64_t next_number_ = 1;
		std::uint64_t dropped_ = 0;
	};
}
