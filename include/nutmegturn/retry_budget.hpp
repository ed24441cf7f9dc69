#pragma once

#include <algorithm>
#include <cstdint>

namespace nutmegturn
{
	/// Token bucket that limits retries and repeated placements to a share of the load: each new request adds `share`,
	/// each retry takes 1. It starts empty, so that a restarted process does not add a burst of retries to an incident.
	struct retry_budget
	{
		double share = 0.1;         ///< Retries per new request.
		double capacity = 10;       ///< Largest burst of retries.
		double available = 0;       ///< Retries that may be made now.
		std::uint64_t requests = 0; ///< New requests so far.
		std::uint64_t spent = 0;    ///< Retries so far.

		/// Accounts for a new request.
		constexpr void on_request() noexcept
		{
			++requests;
			available = std::min(capacity, available + share);
		}

		/// Returns whether a retry may be made.
		[[nodiscard]] constexpr bool can_spend() const noexcept
		{
			// The sum of ten times 0.1 is slightly below 1 in binary floating point.
			constexpr double rounding = 1e-9;
			return available + rounding >= 1;
		}

		/// Takes one retry from the budget.
		/// \returns	Whether the retry may be made.
		[[nodiscard]] constexpr bool try_spend() noexcept
		{
			if (!can_spend())
			{
				return false;
			}
			available -= 1;
			++spent;
			return true;
		}
	};
}
