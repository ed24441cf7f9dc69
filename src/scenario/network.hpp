#pragma once

#include "nutmegturn/random.hpp"
#include "nutmegturn/time.hpp"

#include <chrono>
#include <cstddef>
#include <vector>

namespace nutmegturn::scenario
{
	/// Injected faults of the network between processes and on the way from and to callers.
	struct network_faults
	{
		double loss = 0;      ///< Share of datagrams lost.
		double duplicate = 0; ///< Share of datagrams that arrive twice.
		double reorder = 0;   ///< Share of datagrams delayed by up to 20 ms.
	};

	/// Simulated network: decides whether and when datagrams arrive.
	struct network
	{
		network_faults faults;
		std::vector<int> sides; ///< Side of a partition by process; 0 reaches both sides. Missing entries count as 0.

		/// Returns the side of the partition on which a process is.
		[[nodiscard]] int side_of(std::size_t process) const noexcept
		{
			return process < sides.size() ? sides[process] : 0;
		}

		/// Returns whether two processes can reach each other.
		[[nodiscard]] bool connected(std::size_t from, std::size_t to) const noexcept
		{
			const int a = side_of(from);
			const int b = side_of(to);
			return a == 0 || b == 0 || a == b;
		}

		/// Calls `arrive(delay)` for each copy of a datagram that is not lost.
		/// \param one_way	Base of the one-way delay.
		template <typename Arrive>
		void transmit(std::chrono::microseconds one_way, random_source& random, Arrive arrive) const
		{
			const int copies = faults.duplicate > 0 && random.uniform() < faults.duplicate ? 2 : 1;
			for (int i = 0; i < copies; ++i)
			{
				if (faults.loss > 0 && random.uniform() < faults.loss)
				{
					continue;
				}
				// Jitter of up to a tenth of the delay, so that datagrams sent together do not arrive in a fixed order.
				auto delay = one_way + std::chrono::microseconds{random.below(one_way.count() / 10 + 1)};
				if (faults.reorder > 0 && random.uniform() < faults.reorder)
				{
					delay += std::chrono::microseconds{random.below(20'000)};
				}
				arrive(delay);
			}
		}
	};
}
