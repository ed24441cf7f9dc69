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
		bool full = false; ///< All records, in place of those newer than asked for.
		std::vector<record_version> records;
	};

	/// Configuration service of the platform: it can be read and watched only, and it can be down or stale.
	class fake_config_service
	{
	public:
		/// Stores a record as accepted.
		/// \returns	Its revision.
		revision publish(const std::string& key, std::optional<std::string> value, monotonic_time now);

		/// Answers a read; nothing when the service is down.
		/// \param after	Only newer records; 0 for all.
		[[nodiscard]] std::optional<config_answer> read(revision after, monotonic_time now);

		/// Stops or starts answering.
		void set_down(bool down) noexcept
		{
			down_ = down;
		}

		/// Returns whether reads fail.
		[[nodiscard]] bool is_down() const noexcept
		{
			return down_;
		}

		/// Answers from the records as of a revision from now on; nothing ends that.
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

		/// Returns the newest revision that was accepted at or before a time.
		[[nodiscard]] revision newest_accepted_by(monotonic_time when) const;

		/// Returns the highest number of reads in any second.
		[[nodiscard]] std::uint64_t peak_reads() const noexcept
		{
			return peak_reads_;
		}

		/// Returns whether a watcher that knows `after` would get something newer.
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
