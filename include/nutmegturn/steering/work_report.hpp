#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace nutmegturn::steering
{
	/// Work of an agent's upstream, which `load` messages carry.
	struct work_report
	{
		std::chrono::milliseconds outstanding{0}; ///< Slot time that requests in progress and waiting ones still take.
		std::chrono::milliseconds mean_cost{0};   ///< Mean slot time of a request; 0 if unknown.
		std::chrono::milliseconds cost_deviation{0}; ///< Mean deviation of that slot time.

		/// Smallest priority number whose opening packets wait or were recently returned because the upstream was busy.
		std::optional<std::uint8_t> waiting_priority{};
		std::chrono::milliseconds opening_wait{0}; ///< Expected wait of an opening packet of that priority.
	};
}
