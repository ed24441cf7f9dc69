#pragma once

#include "nutmegturn/ids.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace nutmegturn
{
	/// Detects replayed control messages. Each sender numbers its messages. Per sender and incarnation, a sliding
	/// window holds the last `window_size` sequence numbers, so that reordering is tolerated. Memory is bounded: beyond
	/// `2 * max_senders` senders, the least recently seen are evicted. The state is lost on a restart of the receiver.
	class replay_filter
	{
	public:
		static constexpr std::size_t window_size = 256;    ///< Sequence numbers per sender.
		static constexpr std::size_t max_senders = 16'384; ///< Senders per generation; two are kept.

		/// Records a sequence number.
		/// \returns	Whether it is new and within the window.
		[[nodiscard]] bool accept(member_id sender, incarnation process_incarnation, std::uint64_t sequence);

	private:
		struct window
		{
			std::uint64_t highest = 0;
			std::array<std::uint64_t, window_size / 64> seen{};
		};

		using window_map = std::map<std::pair<member_id, incarnation>, window>;

		window_map current_;
		window_map previous_; // replaced by `current_` when that is full, which evicts at constant cost
	};
}
