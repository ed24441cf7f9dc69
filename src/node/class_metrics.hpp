#pragma once

#include "nutmegturn/metrics.hpp"
#include "nutmegturn/steering/traffic_class.hpp"
#include "nutmegturn/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace nutmegturn::node
{
	/// Metrics by traffic class. For use by one thread.
	///
	/// Classes are told apart by priority: the first `max_priorities` that are recorded have metrics of their own, and
	/// all others are summed up as `other`, so that a configuration cannot make the text grow without bound.
	class class_metrics
	{
	public:
		static constexpr std::size_t max_priorities = 8;

		/// Counts a flow or request that was admitted.
		void record_admitted(const steering::traffic_class& traffic);

		/// Counts a flow or request that was declined, rejected or dropped.
		void record_declined(const steering::traffic_class& traffic, reason why);

		/// Records how long a flow or request waited before it was admitted or declined.
		void record_wait(const steering::traffic_class& traffic, monotonic_clock::duration waited);

		/// Records the slot time of a request at its upstream.
		void record_slot_time(const steering::traffic_class& traffic, monotonic_clock::duration slot_time);

		/// Returns the Prometheus text exposition format, version 0.0.4, with the label `priority`: a number or
		/// `other`. Reasons that were not recorded are omitted.
		[[nodiscard]] std::string to_prometheus() const;

	private:
		/// Metrics of one priority, or of all others.
		struct row
		{
			std::optional<std::uint8_t> priority; ///< Nothing for `other`.
			std::uint64_t admitted = 0;
			std::array<std::uint64_t, detail::reason_count> declined{};
			double slot_seconds = 0;
			double wait_seconds = 0;
			detail::merged_histogram waits{detail::axis_of(distribution::queue_seconds)};
		};

		[[nodiscard]] row& row_of(const steering::traffic_class& traffic);

		std::vector<row> rows_; ///< In the order in which they were first recorded; at most `max_priorities` + 1.
	};
}
