#pragma once

#include "nutmegturn/random.hpp"
#include "nutmegturn/steering/catalog.hpp"
#include "nutmegturn/steering/store_follower.hpp"

#include "node/http_call.hpp"
#include "node/node_log.hpp"
#include "platform/store_format.hpp"

#include <functional>

namespace nutmegturn::node
{
	/// Keeps a catalog up to date from one group of keys of the metadata store.
	class store_reader
	{
	public:
		/// Creates a reader that has not started.
		store_reader(event_loop& loop, node_log& log, steering::catalog& known, const endpoint& store,
					 steering::record_group group, std::uint64_t seed);

		/// Lets the watch follow what `choose` returns after each answer. Other changes of the group are not seen.
		void set_part_selector(std::function<steering::followed_part()> choose);

		/// Lets changes wait longer, for a process that only checks what others decided.
		void use_longer_pause() noexcept
		{
			follower_.change_pause = steering::checking_pause;
		}

		/// Reads from another address from now on; a call in progress is made again there.
		void set_store(const endpoint& store);

		/// Starts to read.
		void start();

		/// Returns the group's records as a listing for another process.
		[[nodiscard]] std::string listing() const;

		/// Takes the group's records that another process sent; older ones change nothing.
		void apply_relayed(const http_result& outcome);

		/// Ends a pause between calls, so that changes which wait are read at once.
		void refresh();

		/// Returns whether every change that the store had at `time` is known: a call that began later was answered, or
		/// a watch has been waiting for `watch_quiet` since.
		[[nodiscard]] bool is_up_to_date_since(monotonic_time time) const noexcept;

		/// Returns how far the reader has come.
		[[nodiscard]] const steering::store_follower& state() const noexcept
		{
			return follower_;
		}

		/// Returns the number of calls made.
		[[nodiscard]] std::uint64_t calls() const noexcept
		{
			return calls_;
		}

	private:
		void call_when_due();
		void call();
		void take_outcome(const http_result& outcome);
		void take_listing(const platform::store_response& answer);
		void take_watch(const platform::store_response& answer);
		void keep_encoded(const steering::store_record& it);
		void log_cold_rates();
		void fail(const std::string& why);
		void choose_part();
		void apply(const steering::store_record& it);

		event_loop& loop_;
		node_log& log_;
		steering::catalog& known_;
		steering::record_group group_;
		http_connection connection_;
		std::function<steering::followed_part()> choose_part_;
		std::string only_key_; ///< Key that is watched alone; empty for the whole group.
		steering::store_follower follower_;
		random_source random_;
		std::map<std::string, std::string> encoded_; ///< The group's records as the store sent them.
		std::uint64_t pause_ = 0;                    ///< Timer of the next call; 0 while a call is in progress.
		monotonic_time called_;                      ///< Start of the last call.
		monotonic_time answered_call_;               ///< Start of the last call that was answered.
		std::uint64_t calls_ = 0;
	};
}
