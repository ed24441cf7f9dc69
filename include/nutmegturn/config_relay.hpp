#pragma once

#include "nutmegturn/control_send.hpp"
#include "nutmegturn/member.hpp"
#include "nutmegturn/random.hpp"
#include "nutmegturn/record_version.hpp"
#include "nutmegturn/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegturn
{
	/// Timeouts and limits of the relay.
	struct relay_settings
	{
		/// Long-poll wait; below 1 s, so that each second has a confirmation.
		std::chrono::milliseconds read_wait{800};
		std::chrono::milliseconds read_timeout{2'000};
		/// Without a confirmation for this long, more ranks start to read.
		std::chrono::milliseconds confirmation_timeout{1'200};
		/// The number of reading ranks then doubles at this interval.
		std::chrono::milliseconds reader_doubling_interval{250};
		/// A longer gap between ticks means that this process was paused.
		std::chrono::milliseconds pause_limit{2'000};
		std::chrono::milliseconds view_check_timeout{1'000}; ///< Longest wait for all answers of a view check.
		std::chrono::milliseconds pull_retry_interval{300};
		/// Time after the first sign of a restored service in which its records are not read: it lacks what the
		/// operator published after the copy was made, until the operator has published it again.
		std::chrono::milliseconds restore_settling_time{2'500};
		std::size_t readers_per_zone = 2; ///< Ranks that read while confirmations arrive.
		std::size_t tree_fan_out = 8;     ///< Children per member in a reader's distribution tree.
		std::size_t push_fan_out = 4;     ///< Random members of other zones that receive a new revision.
		std::size_t view_check_peers = 5; ///< Members asked in a view check.
		/// Ranks that may retry a failed read every 1 s to 4 s. In a larger zone, all ranks except the usual readers
		/// wait longer by the ratio of its size to this number, which limits the attempts of a zone to about 16 per
		/// second regardless of its size.
		std::size_t fast_retry_ranks = 40;
	};

	/// Read access to the record store of the host program.
	struct record_source
	{
		/// The store holds every version up to here that is still needed.
		revision complete_through{};
		/// Returns the versions newer than a revision, ordered by revision.
		std::function<std::vector<record_version>(revision)> changes_since;
	};

	/// Request to watch the configuration service; the host passes the outcome to `relay_on_read`.
	struct start_read
	{
		revision after{};
		std::chrono::milliseconds wait{};
	};

	/// Request to merge versions into the store.
	struct apply_records
	{
		std::vector<record_version> records;
		revision complete_through{}; ///< The store is complete up to here afterwards.
		bool full = false;           ///< Full response of the service: keys that it lacks were deleted.
	};

	/// Messages and requests for the host program. It applies the records before the next call of the relay.
	struct relay_output
	{
		std::vector<control_send> sends;
		std::vector<start_read> reads;
		std::vector<apply_records> applies;
	};

	/// Outcome of a read of the configuration service.
	struct read_result
	{
		bool succeeded = false;
		revision after{}; ///< As in `start_read`.
		revision rev{};
		std::vector<record_version> records;
	};

	/// Member that takes part in the relay.
	struct relay_peer
	{
		member_id id{};
		endpoint control;
	};

	/// State of the relay in one process. After a start or a pause, a view check asks the configuration service and
	/// some members for newer versions; until enough of them have answered, the view counts as not current.
	struct relay_state
	{
		relay_settings settings;
		member_id self{};
		incarnation process_incarnation{};
		std::string zone;
		/// Members of the zone in the order of their rendezvous hash, this process included.
		std::vector<relay_peer> zone_peers;
		std::vector<relay_peer> other_zone_peers;         ///< Members of other zones.
		std::size_t rank = 0;                             ///< Index of this process in `zone_peers`.
		std::map<member_id, std::uint64_t> confirmations; ///< Newest confirmation number by reader.
		std::uint64_t confirmation_number = 0;            ///< Last confirmation sent by this process.
		std::optional<monotonic_time> last_tick;
		monotonic_time confirmed_at{};                 ///< Last time the service is known to have answered any reader.
		monotonic_time lower_rank_confirmed_at{};      ///< Last confirmation of a reader of lower rank.
		std::optional<monotonic_time> read_started_at; ///< Start of the read in progress.
		monotonic_time next_read{};
		bool is_reader = false; ///< The last read succeeded; this process reads until a reader of lower rank confirms.
		std::uint64_t view_check_nonce = 0; ///< Sent with the pulls of the view check; its answers return it.
		monotonic_time view_check_started_at{};
		std::size_t expected_answers = 0; ///< Answers to wait for, the one of the service included.
		std::size_t received_answers = 0; ///< Answers that confirm the view.
		revision highest_revision{};      ///< Highest revision named by any source.
		std::uint64_t later_era = 0;      ///< Latest era named by any source while the store had a former one.
		monotonic_time later_era_seen_at{};
		monotonic_time next_pull{};
		std::string partial_value;         ///< Received parts of a value longer than one message.
		revision partial_value_revision{}; ///< Revision of `partial_value`.
		bool is_view_current = false;      ///< The view check after the last start or pause has completed.
	};

	/// Returns the state of a process that has just started and has no records.
	[[nodiscard]] relay_state make_relay(const member& self, relay_settings settings = {});

	/// Updates the members. To be called after each membership change, at most every 100 ms.
	void relay_on_members(relay_state& state, const member_view& view);

	/// Handles pulls, pushes, confirmations and the newest revision that every control message carries.
	/// \param source	Control endpoint of the sender.
	void relay_on_message(relay_state& state, const endpoint& source, const wire::control_envelope& envelope,
						  const record_source& store, monotonic_time now, random_source& rng, relay_output& out);

	/// Handles the outcome of a read.
	void relay_on_read(relay_state& state, const read_result& result, const record_source& store, monotonic_time now,
					   random_source& rng, relay_output& out);

	/// Starts due reads and pulls, and the view check after a start or pause. To be called every 100 ms.
	void relay_on_tick(relay_state& state, const record_source& store, monotonic_time now, random_source& rng,
					   relay_output& out);

	/// Records a revision named by a packet or notice. If it is newer, the missing versions are pulled at the next
	/// tick.
	void relay_on_digest(relay_state& state, revision newest) noexcept;

	/// Returns whether the view may be used. It may not while a view check after a start or pause is in progress, which
	/// lasts until all revisions named by the answers are in the store.
	[[nodiscard]] bool view_is_current(const relay_state& state) noexcept;
}
