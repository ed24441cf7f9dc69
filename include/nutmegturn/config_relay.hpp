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
	/// Times and bounds of the relay.
	struct relay_settings
	{
		std::chrono::milliseconds read_wait{
			800}; ///< Waiting watch; confirmations then come more often than each second.
		std::chrono::milliseconds read_timeout{2'000};
		std::chrono::milliseconds confirmation_timeout{1'200}; ///< Then more ranks read.
		std::chrono::milliseconds reader_doubling_interval{
			250};                                     ///< The number of reading ranks doubles at this spacing.
		std::chrono::milliseconds pause_limit{2'000}; ///< Longer time between two ticks: this process was paused.
		std::chrono::milliseconds view_check_timeout{1'000}; ///< Longest wait for all answers at the start.
		std::chrono::milliseconds pull_retry_interval{300};
		std::size_t readers_per_zone = 2; ///< Reading ranks per zone while confirmations arrive.
		std::size_t tree_fan_out = 8;     ///< Children per member in a reader's tree.
		std::size_t push_fan_out = 4;     ///< Random members of other zones told of a new revision.
		std::size_t view_check_peers = 5; ///< Members asked at the start.
		/// Ranks below retry a failed read after 1 s to 4 s. The others wait longer in proportion to the zone, so that
		/// all attempts of a zone together stay near 16 a second however many members it has.
		std::size_t fast_retry_ranks = 40;
	};

	/// Read access to the host's store of records.
	struct record_source
	{
		revision complete_through{}; ///< The store holds every version up to here that is still needed.
		/// Returns the versions newer than a revision, by revision.
		std::function<std::vector<record_version>(revision)> changes_since;
	};

	/// Watch the configuration service; the outcome goes to `relay_on_read`.
	struct start_read
	{
		revision after{};
		std::chrono::milliseconds wait{};
	};

	/// Merge versions into the store.
	struct apply_records
	{
		std::vector<record_version> records;
		revision complete_through{}; ///< The store is complete up to here afterwards.
		bool full = false;           ///< Full answer of the service: keys that it lacks were deleted.
	};

	/// What the relay asks of its host program. Records are to be applied before the next call.
	struct relay_output
	{
		std::vector<control_send> sends;
		std::vector<start_read> reads;
		std::vector<apply_records> applies;
	};

	/// Outcome of a read.
	struct read_result
	{
		bool succeeded = false;
		revision after{}; ///< As in `start_read`.
		revision rev{};
		std::vector<record_version> records;
	};

	/// Other member as the relay sees it.
	struct relay_peer
	{
		member_id id{};
		endpoint control;
	};

	/// Relay of one process.
	struct relay_state
	{
		relay_settings settings;
		member_id self{};
		incarnation life{};
		std::string zone;
		std::vector<relay_peer> zone_peers;       ///< Members of the zone by rendezvous hash, this process included.
		std::vector<relay_peer> other_zone_peers; ///< Members of other zones.
		std::size_t rank = 0;                     ///< Of this process.
		std::map<member_id, std::uint64_t> confirmations; ///< Newest number by reader.
		std::uint64_t confirmation_number = 0;            ///< Of this process's last confirmation.
		std::optional<monotonic_time> last_tick;
		monotonic_time confirmed_at{};                 ///< When the service last answered, as far as known here.
		monotonic_time lower_rank_confirmed_at{};      ///< When a reader of lower rank last confirmed.
		std::optional<monotonic_time> read_started_at; ///< Since when a read is under way.
		monotonic_time next_read{};
		bool is_reader = false; ///< The last read succeeded; it goes on until a reader of lower rank confirms.
		std::uint64_t view_check_nonce = 0; ///< Of pulls whose answers prove the view current.
		monotonic_time view_check_started_at{};
		std::size_t expected_answers = 0; ///< Answers that may still come.
		std::size_t received_answers = 0; ///< Answers that came, the service's included.
		revision highest_revision{};      ///< Highest revision seen anywhere.
		monotonic_time next_pull{};
		std::string partial_value;         ///< Beginning of a value longer than one message.
		revision partial_value_revision{}; ///< Its revision.
		bool is_view_current = false;      ///< The answers to the start or to the wake-up were evaluated.
	};

	/// Returns the state of a process that has just started and has no records.
	[[nodiscard]] relay_state make_relay(const member& self, relay_settings settings = {});

	/// Takes over the members; to be called after each change, at most every 100 ms.
	void relay_on_members(relay_state& state, const member_view& view);

	/// Handles pulls, pushes, confirmations and the digest on every control message.
	/// \param source	Control endpoint that it came from.
	void relay_on_message(relay_state& state, const endpoint& source, const wire::control_envelope& envelope,
						  const record_source& store, monotonic_time now, random_source& rng, relay_output& out);

	/// Handles the outcome of a read.
	void relay_on_read(relay_state& state, const read_result& result, const record_source& store, monotonic_time now,
					   random_source& rng, relay_output& out);

	/// Starts reads, pulls and the questions after a start or pause. To be called every 100 ms.
	void relay_on_tick(relay_state& state, const record_source& store, monotonic_time now, random_source& rng,
					   relay_output& out);

	/// Notes a revision that a packet or notice named; a newer one is pulled at the next tick.
	void relay_on_digest(relay_state& state, revision newest) noexcept;

	/// Returns whether the view may be used: not before the answers to the start or after a pause, nor while a revision
	/// that such an answer named is missing.
	[[nodiscard]] bool view_is_current(const relay_state& state) noexcept;
}
