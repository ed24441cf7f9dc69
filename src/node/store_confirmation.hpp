#pragma once

#include "nutmegturn/time.hpp"

#include "node/http_call.hpp"

#include <functional>
#include <string>

namespace nutmegturn::node
{
	/// Makes the short calls by which a reader of the metadata store confirms that it missed no change, and keeps the
	/// time as of which every change is known.
	///
	/// The calls have a connection of their own: on that of the pending watch an answer may have been lost, and nothing
	/// further arrives there.
	class store_confirmation
	{
	public:
		/// How the reader takes part.
		struct callbacks
		{
			/// Returns the target of a call for the changes since the known revision; empty if none can be made now.
			std::function<std::string()> target;

			/// Handles the result of a call.
			/// \param started	Start of the call.
			std::function<void(const http_result&, monotonic_time started)> done;
		};

		store_confirmation(event_loop& loop, const endpoint& store, callbacks reader);

		/// Makes a call that starts at `time` or later, unless every change as of then is known. Calls start at least
		/// 20 ms apart, so a call may start later.
		/// \param time	Not in the future.
		void request(monotonic_time time);

		/// Makes the calls that are still wanted, for example when the reader can make calls again.
		void resume();

		/// Drops a call in progress. It asks for the changes since a revision that another answer may have replaced.
		void abandon();

		/// Drops a call in progress and sends further ones to another server.
		void set_server(const endpoint& store);

		/// Records that every change that the store had at `time` is known.
		void record_up_to_date(monotonic_time time) noexcept;

		/// Returns whether every change that the store had at `time` is known.
		[[nodiscard]] bool is_up_to_date_since(monotonic_time time) const noexcept
		{
			return up_to_date_since_ >= time;
		}

		/// Returns the time as of which every change is known, or zero.
		[[nodiscard]] monotonic_time up_to_date_since() const noexcept
		{
			return up_to_date_since_;
		}

		/// Returns the number of calls.
		[[nodiscard]] std::uint64_t calls() const noexcept
		{
			return calls_;
		}

	private:
		void call(const std::string& target);
		void resume_at(monotonic_time time);

		event_loop& loop_;
		http_connection connection_;
		callbacks reader_;
		monotonic_time wanted_;           ///< Latest time that was requested.
		monotonic_time started_;          ///< Start of the latest call.
		monotonic_time up_to_date_since_; ///< Every change that the store had then is known.
		std::uint64_t timer_ = 0;         ///< Timer of the next call; 0 if none is scheduled.
		bool calling_ = false;            ///< A call is in progress.
		std::uint64_t calls_ = 0;
	};
}
