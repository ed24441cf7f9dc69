#pragma once

#include "nutmegturn/random.hpp"
#include "nutmegturn/steering/catalog.hpp"
#include "nutmegturn/steering/store_follower.hpp"

#include "node/http_call.hpp"
#include "node/node_log.hpp"
#include "platform/store_format.hpp"

namespace nutmegturn::node
{
	/// Keeps a catalog up to date from one group of keys of the metadata store.
	class store_reader
	{
	public:
		/// Creates a reader that has not started.
		store_reader(event_loop& loop, node_log& log, steering::catalog& known, const endpoint& store,
					 steering::record_group group, std::uint64_t seed);

		/// Starts to read.
		void start();

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
		void take_outcome(const http_outcome& outcome);
		void take_listing(const platform::store_answer& answer);
		void take_watch(const platform::store_answer& answer);
		void log_cold_rates();
		void fail(const std::string& why);
		void apply(const steering::store_record& it);

		event_loop& loop_;
		node_log& log_;
		steering::catalog& known_;
		steering::record_group group_;
		http_connection connection_;
		steering::store_follower follower_;
		random_source random_;
		std::uint64_t calls_ = 0;
	};
}
