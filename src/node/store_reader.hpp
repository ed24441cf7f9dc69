#pragma once

#include "nutmegturn/random.hpp"
#include "nutmegturn/steering/catalog.hpp"
#include "nutmegturn/steering/record_evidence.hpp"
#include "nutmegturn/steering/store_follower.hpp"

#include "node/http_call.hpp"
#include "node/node_log.hpp"
#include "node/record_log.hpp"
#include "node/store_confirmation.hpp"
#include "platform/store_format.hpp"

#include <functional>

namespace nutmegturn::node
{
	/// Calls of one reader to the metadata store, by kind and by what they brought.
	struct store_call_counts
	{
		std::uint64_t listings = 0;
		std::uint64_t watches = 0;
		std::uint64_t changed = 0;   ///< Watches that were answered with changes.
		std::uint64_t unchanged = 0; ///< Watches that were answered without changes.
		std::uint64_t failed = 0;    ///< Calls without a usable answer.
	};

	/// Keeps a catalog up to date from one group of keys of the metadata store.
	class store_reader
	{
	public:
		/// Creates a reader that has not started.
		store_reader(event_loop& loop, node_log& log, steering::catalog& catalog, const endpoint& store,
					 steering::record_group group, std::uint64_t seed);

		/// Restricts the watch to the scope that `selector` returns; it is called after each response. Changes outside
		/// that scope are not seen.
		void set_watch_scope_selector(std::function<steering::watch_scope()> selector);

		/// Uses the intervals of agents, which are longer because agents only check the decisions of balancers.
		void use_agent_intervals() noexcept
		{
			follower_.coalescing_delay = steering::agent_coalescing_delay;
			follower_.minor_change_delay = steering::agent_coalescing_delay;
		}

		/// Reads less often while only few of the group's records change, as `record_watch_answer` describes.
		void use_balancer_intervals() noexcept
		{
			follower_.minor_change_delay = steering::balancer_minor_change_delay;
		}

		/// Ends a pending watch of one key if the scope is now the whole group, and lists the group.
		void widen_watch();

		/// Handles the newest revision of the group that another process knows. A call whose answer is overdue by it is
		/// repeated.
		void handle_known_revision(const steering::store_revision& revision);

		/// Sets a function that is called after each complete answer of the store has been applied.
		void set_answer_handler(std::function<void()> handler);

		/// Switches to another address of the store; a call in progress is repeated there.
		void set_store(const endpoint& store);

		/// Starts reading.
		void start();

		/// Returns the records of the group as a listing for another process.
		[[nodiscard]] std::string listing() const;

		/// Applies records of the group that another process sent. Of a listing that is not newer, only a configuration
		/// with a higher version is applied.
		void apply_relayed(const http_result& result);

		/// Makes the store answer a call that starts at `time` or later, so that `is_up_to_date_since(time)` soon
		/// holds. A change that the answer brings replaces the pending watch. Waits while the store is unreachable, and
		/// while the group is listed. Concerns the watched key if only one is watched.
		///
		/// \param time	Not in the future.
		void confirm(monotonic_time time);

		/// Returns whether every change that the store had at `time` is known: the store has answered a call that
		/// started at that time or later. A pending call is no answer, since its connection may have been lost.
		[[nodiscard]] bool is_up_to_date_since(monotonic_time time) const noexcept;

		/// Returns the time as of which every change is known by the store's answers or by what other processes told,
		/// or zero. The time since then says how far the group's records may be behind the store.
		[[nodiscard]] monotonic_time known_as_of() const noexcept
		{
			return std::max(confirmation_.up_to_date_since(), heard_.as_of);
		}

		/// Returns what the store's answers to this process tell about the group. Evidence of others is left out:
		/// passed on in a circle, it would never age, as each message makes it a little younger.
		[[nodiscard]] steering::record_evidence own_evidence() const noexcept
		{
			return {.newest = newest_, .as_of = confirmation_.up_to_date_since()};
		}

		/// Returns the latest evidence of another process that confirmed this one's records.
		[[nodiscard]] const steering::record_evidence& heard_evidence() const noexcept
		{
			return heard_;
		}

		/// Handles evidence of another process.
		void apply_evidence(const steering::record_evidence& heard) noexcept;

		/// Returns the time at which the store is to be asked whether a change was missed. While a call waits for its
		/// time, that call comes first.
		/// \param age	Age of the records at which to ask.
		[[nodiscard]] monotonic_time confirmation_due(std::chrono::milliseconds age) const noexcept;

		/// Returns whether only one key of the group is watched.
		[[nodiscard]] bool watches_one_key() const noexcept
		{
			return !only_key_.empty();
		}

		/// Returns the state of listing and watching the group.
		[[nodiscard]] const steering::store_follower& state() const noexcept
		{
			return follower_;
		}

		/// Returns the number of calls that `confirm` made, which `counts` leaves out.
		[[nodiscard]] std::uint64_t confirmations() const noexcept
		{
			return confirmation_.calls();
		}

		/// Returns the numbers of calls to the store that list or follow the group.
		[[nodiscard]] const store_call_counts& counts() const noexcept
		{
			return counts_;
		}

	private:
		void call_when_due();
		void call();

		/// Returns the target of a call for a confirmation; empty if none can be made now.
		[[nodiscard]] std::string confirmation_target() const;
		void handle_confirmation(const http_result& result, monotonic_time started);

		/// Returns whether an answer shows that the known revision is still the newest one of the group.
		[[nodiscard]] bool confirms_revision(const platform::store_response& response) const;
		void handle_result(const http_result& result);
		void apply_result(const http_result& result);
		void apply_answer(const platform::store_response& response);
		void apply_listing(const platform::store_response& response);

		/// Notes that a listing brought another version than the former one. A listing holds the newest version only; a
		/// watch brings all of them.
		void mark_skipped_versions(std::uint64_t former_version);

		/// Removes the records that a complete listing lacks, also from what is served to other processes.
		void finish_listing(const std::set<std::string>& listed, const steering::store_revision& revision);
		void apply_watch(const platform::store_response& response);
		void apply_relayed_listing(const platform::store_response& response);

		/// Applies the configuration of a listing that is not newer as a whole.
		void apply_relayed_configuration(const platform::store_response& response);
		void update_encoded(const steering::store_record& record);
		void handle_failure(const std::string& reason);
		void update_watch_scope();
		void record_newest(const steering::store_revision& revision) noexcept;
		void apply(const steering::store_record& record);
		void enter_era(const steering::store_revision& revision);

		/// Schedules a listing for the time when a restored store has settled, if records are held until then.
		void schedule_settled_listing();
		void list_settled_records();

		event_loop& loop_;
		node_log& log_;
		steering::catalog& catalog_;
		steering::record_group group_;
		record_log record_log_;
		http_connection connection_;
		store_confirmation confirmation_;
		std::function<steering::watch_scope()> watch_scope_selector_;
		std::function<void()> answer_handler_;
		std::string only_key_; ///< Key that is watched; empty for the whole group.
		steering::store_follower follower_;
		random_source random_;
		std::map<std::string, std::string> encoded_; ///< Records of the group as encoded by the store.
		std::uint64_t call_timer_ = 0;               ///< Timer of the next call; 0 while a call is in progress.
		monotonic_time call_started_;                ///< Start of the latest call.
		monotonic_time listing_started_;             ///< Start of the call for the first page of the latest listing.
		steering::store_revision newest_;            ///< No known change of the group has a higher revision.
		steering::record_evidence heard_;
		store_call_counts counts_;
		bool settled_listing_scheduled_ = false;
	};
}
