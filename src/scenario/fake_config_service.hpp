#pragma once

#include "nutmegturn/ids.hpp"
#include "nutmegturn/record_version.hpp"
#include "nutmegturn/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegturn::scenario
{
	/// Answer of the configuration service.
	struct config_answer
	{
		revision rev{};
		bool full = false; ///< Contains all records instead of those newer than the requested revision.
		std::vector<record_version> records;
	};

	/// Simulated configuration service of the platform. Processes can only read and watch it; it can be down or stale.
	class fake_config_service
	{
	public:
		/// Accepts a record; an absent value deletes it.
		/// \returns	The revision of the record.
		revision publish(const std::string& key, std::optional<std::string> value, monotonic_time now);

		/// Answers a read. Returns nothing while the service is down.
		/// \param after	Revision after which records are returned; 0 returns all.
		[[nodiscard]] std::optional<config_answer> read(revision after, monotonic_time now);

		/// Sets whether reads fail.
		void set_down(bool down) noexcept
		{
			down_ = down;
		}

		/// Returns whether reads fail.
		[[nodiscard]] bool is_down() const noexcept
		{
			return down_;
		}

		/// Makes reads return the records as of a revision; an empty value returns to the newest records.
		void set_stale(std::optional<revision> rev) noexcept
		{
			stale_at_ = rev;
		}

		/// Returns the newest accepted revision.
		[[nodiscard]] revision newest() const noexcept
		{
			return newest_;
		}

		/// Returns when a revision was accepted.
		[[nodiscard]] monotonic_time accepted_at(revision rev) const;

		/// Returns the newest revision accepted at or before a time.
		[[nodiscard]] revision newest_accepted_by(monotonic_time when) const;

		/// Returns the maximum number of reads in one second.
		[[nodiscard]] std::uint64_t peak_reads() const noexcept
		{
			return peak_reads_;
		}

		/// Returns whether reads return records newer than `after`.
		[[nodiscard]] bool has_newer(revision after) const noexcept;

	private:
		[[nodiscard]] revision visible_revision() const noexcept;

		std::vector<record_version> history_; ///< In order of revision.
		std::vector<monotonic_time> accepted_;
		revision newest_{};
		std::optional<revision> stale_at_;
		bool down_ = false;
		std::map<std::int64_t, std::uint64_t> reads_; ///< By second.
		std::uint64_t peak_reads_ = 0;
	};
}
