#pragma once

#include "nutmegturn/ids.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace nutmegturn
{
	/// Recognises control messages that were already received. Each sender numbers its messages; per sender and
	/// incarnation the last `window_size` numbers are remembered, so reordering is tolerated. Bounded: of more than
	/// `2 * max_senders` senders the least recently heard are forgotten. It does not survive a restart of the receiver.
	class replay_filter
	{
	public:
		static constexpr std::size_t window_size = 256; ///< Numbers remembered per sender.
		static constexpr std::size_t max_senders = 16'384;

		/// Notes a number.
		/// \returns	Whether it is new and not older than the window.
		[[nodiscard]] bool accept(member_id sender, incarnation life, std::uint64_t sequence);

	private:
		struct window
		{
			std::uint64_t highest = 0;
			std::array<std::uint64_t, window_size / 64> seen{};
		};

		using window_map = std::map<std::pair<member_id, incarnation>, window>;

		window_map current_;
		window_map previous_; // replaced by `current_` when that is full, which forgets at constant cost
	};
}
