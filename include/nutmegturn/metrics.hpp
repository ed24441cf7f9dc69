#pragma once

#include "nutmegturn/reason.hpp"

#include <boost/histogram.hpp>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace nutmegturn
{
	/// Counters, each of which is labelled by reason.
	enum class counter : std::uint8_t
	{
		packets_received,
		packets_sent,
		packets_dropped,
		packets_passed_on,
		flows_admitted,
		flows_rejected,
		flows_moved,
		flows_closed,
		requests_received,
		requests_answered,
		requests_rejected,
		requests_unknown,
		requests_retried,
		control_received,
		control_sent,
		control_dropped,
		control_bytes_sent,
		config_reads,
		config_read_failures,
		config_records_unreadable,
		records_accepted,
		records_rejected,
		audit_dropped,
		log_suppressed,
		count
	};

	/// Gauges; the values of all shards are summed.
	enum class gauge : std::uint8_t
	{
		flows_open,
		redirects,
		requests_in_progress,
		members_alive,
		members_suspect,
		config_revision,
		config_age_milliseconds,
		view_current,
		count
	};

	/// Values that are recorded in histograms.
	enum class distribution : std::uint8_t
	{
		request_seconds,
		upstream_seconds,
		queue_seconds,
		packet_bytes,
		control_bytes,
		count
	};

	namespace detail
	{
		namespace bh = boost::histogram;

		using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
		/// Histogram that one thread writes while another reads.
		using shard_histogram =
			bh::histogram<std::tuple<log_axis>, bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>>;
		using merged_histogram = bh::histogram<std::tuple<log_axis>, bh::dense_storage<std::uint64_t>>;

		/// Returns the logarithmic axis of a distribution: 10 us to 100 s for times, 16 B to 64 KB for sizes.
		[[nodiscard]] log_axis axis_of(distribution which);

		inline constexpr std::size_t reason_count = static_cast<std::size_t>(reason::count);
		inline constexpr std::size_t counter_count = static_cast<std::size_t>(counter::count);
		inline constexpr std::size_t gauge_count = static_cast<std::size_t>(gauge::count);
		inline constexpr std::size_t distribution_count = static_cast<std::size_t>(distribution::count);
	}

	/// Metrics of one thread. Only that thread writes; the control thread may read at any time. Lock-free.
	class metrics_shard
	{
	public:
		metrics_shard();
		~metrics_shard() = default;
		metrics_shard(const metrics_shard&) = delete;
		metrics_shard(metrics_shard&&) = delete;
		metrics_shard& operator=(const metrics_shard&) = delete;
		metrics_shard& operator=(metrics_shard&&) = delete;

		/// \name Written by the owning thread
		/// @{

		/// Adds to a counter.
		void add(counter which, reason why = reason::none, std::uint64_t n = 1) noexcept
		{
			// There is only one writer, so a separate load and store suffice; they are cheaper than an atomic addition.
			auto& cell =
				counters_[static_cast<std::size_t>(which) * detail::reason_count + static_cast<std::size_t>(why)];
			cell.store(cell.load(std::memory_order_relaxed) + n, std::memory_order_relaxed);
		}

		/// Sets a gauge.
		void set(gauge which, std::int64_t value) noexcept
		{
			gauges_[static_cast<std::size_t>(which)].store(value, std::memory_order_relaxed);
		}

		/// Records a value of a distribution.
		/// \param value	Value in the unit given by the suffix of the name.
		void observe(distribution which, double value) noexcept;
		/// @}

	private:
		friend class metrics_snapshot;

		std::array<std::atomic<std::uint64_t>, detail::counter_count * detail::reason_count> counters_{};
		std::array<std::atomic<std::int64_t>, detail::gauge_count> gauges_{};
		std::array<std::atomic<double>, detail::distribution_count> sums_{};
		std::array<detail::shard_histogram, detail::distribution_count> histograms_;
	};

	/// Sum of the metrics shards of a process at one point in time.
	class metrics_snapshot
	{
	public:
		/// Sums up the shards.
		explicit metrics_snapshot(std::span<const metrics_shard* const> shards);

		/// Returns the value of a counter for one reason.
		[[nodiscard]] std::uint64_t value(counter which, reason why = reason::none) const noexcept;

		/// Returns the value of a counter summed over all reasons.
		[[nodiscard]] std::uint64_t total(counter which) const noexcept;

		/// Returns the value of a gauge.
		[[nodiscard]] std::int64_t value(gauge which) const noexcept;

		/// Returns an upper bound of a quantile, or 0 when no value was recorded.
		/// \param q	Quantile from 0 to 1.
		[[nodiscard]] double quantile(distribution which, double q) const;

		/// Returns the Prometheus text exposition format, version 0.0.4. For reasons other than `none`, counters of 0
		/// are omitted.
		[[nodiscard]] std::string to_prometheus() const;

	private:
		std::array<std::uint64_t, detail::counter_count * detail::reason_count> counters_{};
		std::array<std::int64_t, detail::gauge_count> gauges_{};
		std::array<double, detail::distribution_count> sums_{};
		std::array<detail::merged_histogram, detail::distribution_count> histograms_;
	};
}
