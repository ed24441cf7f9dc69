#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace nutmegturn::steering
{
	/// How a balancer compares the load of upstreams.
	enum class placement_policy : std::uint8_t
	{
		request_count, ///< By the number of requests, divided by the slots.
		request_cost   ///< By the expected completion time of a request, learned from the slot time of earlier ones.
	};

	/// Names in settings, in the order of `placement_policy`.
	inline constexpr std::array<std::string_view, 2> placement_policy_names{"request_count", "request_cost"};
}
