#include "nutmegturn/metrics.hpp"

#include <fmt/format.h>

#include <iterator>
#include <limits>
#include <utility>

namespace nutmegturn
{
	namespace
	{
		struct metric_description
		{
			std::string_view name;
			std::string_view help;
		};

		constexpr std::array<metric_description, detail::counter_count> counter_table{{
			{"packets_received", "Datagrams taken in"},
			{"packets_sent", "Datagrams sent"},
			{"packets_dropped", "Datagrams dropped"},
			{"packets_passed_on", "Datagrams passed on to another agent"},
			{"flows_admitted", "Flows admitted"},
			{"flows_rejected", "New flows rejected"},
			{"flows_moved", "Flows handed to another holder"},
			{"flows_closed", "Flows ended"},
			{"requests_received", "Requests taken in"},
			{"requests_answered", "Requests answered"},
			{"requests_rejected", "Requests rejected as not run"},
			{"requests_unknown", "Requests whose outcome is unknown"},
			{"requests_retried", "Requests placed again"},
			{"control_received", "Control messages taken in"},
			{"control_sent", "Control messages sent"},
			{"control_dropped", "Control messages dropped"},
			{"control_bytes_sent", "Bytes of control messages sent"},
			{"config_reads", "Reads of the configuration service"},
			{"config_read_failures", "Failed reads of the configuration service"},
			{"config_records_unreadable", "Records of the configuration service without a readable key and revision"},
			{"records_accepted", "Records accepted"},
			{"records_rejected", "Records rejected"},
			{"audit_dropped", "Audit entries dropped from the full trail"},
			{"log_suppressed", "Log events suppressed by the rate limit"},
		}};

		constexpr std::array<metric_description, detail::gauge_count> gauge_table{{
			{"flows_open", "Open flows"},
			{"redirects", "Redirects kept"},
			{"requests_in_progress", "Requests in progress"},
			{"members_alive", "Members that answer probes"},
			{"members_suspect", "Members under suspicion"},
			{"config_revision", "Configuration revision in force"},
			{"config_age_milliseconds", "Time since the last confirmation"},
			{"view_current", "Whether the view is confirmed"},
		}};

		constexpr std::array<metric_description, detail::distribution_count> distribution_table{{
			{"request_seconds", "Time from request to response"},
			{"upstream_seconds", "Time that the upstream took"},
			{"queue_seconds", "Time that requests waited"},
			{"packet_bytes", "Payload sizes"},
			{"control_bytes", "Sizes of control messages"},
		}};

		template <typename Histogram, std::size_t... Is>
		auto make_histograms(std::index_sequence<Is...>)
		{
			return std::array<Histogram, sizeof...(Is)>{Histogram{detail::axis_of(distribution{Is})}...};
		}

		constexpr auto distribution_indices = std::make_index_sequence<detail::distribution_count>{};

		constexpr std::size_t counter_index(counter which, std::size_t why) noexcept
		{
			return static_cast<std::size_t>(which) * detail::reason_count + why;
		}

		/// Calls `visit(upper edge, cumulative count)` for each bin. The first bin includes the underflow; the last one
		/// is the overflow bin.
		template <typename Visitor>
		void for_each_cumulative(const detail::merged_histogram& histogram, Visitor visit)
		{
			const auto& axis = histogram.axis();
			std::uint64_t sum = 0;
			for (int i = -1; i <= axis.size(); ++i)
			{
				sum += histogram.at(i);
				if (i >= 0)
				{
					visit(i < axis.size() ? axis.value(i + 1) : std::numeric_limits<double>::infinity(), sum);
				}
			}
		}
	}

	detail::log_axis detail::axis_of(distribution which)
	{
		constexpr auto bins_per_seconds = 35; // 5 bins per decade
		constexpr auto bins_per_bytes = 12;   // one bin per power of 2
		return which == distribution::packet_bytes || which == distribution::control_bytes
				   ? log_axis{bins_per_bytes, 16.0, 65'536.0}
				   : log_axis{bins_per_seconds, 1e-5, 1e2};
	}

	metrics_shard::metrics_shard() : histograms_{make_histograms<detail::shard_histogram>(distribution_indices)} {}

	void metrics_shard::observe(distribution which, double value) noexcept
	{
		const auto i = static_cast<std::size_t>(which);
		histograms_[i](value);
		sums_[i].store(sums_[i].load(std::memory_order_relaxed) + value, std::memory_order_relaxed);
	}

	metrics_snapshot::metrics_snapshot(std::span<const metrics_shard* const> shards)
		: histograms_{make_histograms<detail::merged_histogram>(distribution_indices)}
	{
		for (const auto* shard : shards)
		{
			for (std::size_t i = 0; i < counters_.size(); ++i)
			{
				counters_[i] += shard->counters_[i].load(std::memory_order_relaxed);
			}
			for (std::size_t i = 0; i < gauges_.size(); ++i)
			{
				gauges_[i] += shard->gauges_[i].load(std::memory_order_relaxed);
			}
			for (std::size_t i = 0; i < histograms_.size(); ++i)
			{
				sums_[i] += shard->sums_[i].load(std::memory_order_relaxed);
				histograms_[i] += shard->histograms_[i];
			}
		}
	}

	std::uint64_t metrics_snapshot::value(counter which, reason why) const noexcept
	{
		return counters_[counter_index(which, static_cast<std::size_t>(why))];
	}

	std::uint64_t metrics_snapshot::total(counter which) const noexcept
	{
		std::uint64_t sum = 0;
		for (std::size_t why = 0; why < detail::reason_count; ++why)
		{
			sum += counters_[counter_index(which, why)];
		}
		return sum;
	}

	std::int64_t metrics_snapshot::value(gauge which) const noexcept
	{
		return gauges_[static_cast<std::size_t>(which)];
	}

	double metrics_snapshot::quantile(distribution which, double q) const
	{
		const auto& histogram = histograms_[static_cast<std::size_t>(which)];
		std::uint64_t count = 0;
		for_each_cumulative(histogram, [&count](double, std::uint64_t sum) { count = sum; });
		double bound = 0;
		bool found = count == 0;
		for_each_cumulative(histogram,
							[&](double edge, std::uint64_t sum)
							{
								if (!found && static_cast<double>(sum) >= q * static_cast<double>(count))
								{
									bound = edge;
									found = true;
								}
							});
		return bound;
	}

	std::string metrics_snapshot::to_prometheus() const
	{
		std::string out;
		const auto to = std::back_inserter(out);
		for (std::size_t i = 0; i < counter_table.size(); ++i)
		{
			const auto& [name, help] = counter_table[i];
			fmt::format_to(to, "# HELP nutmegturn_{0}_total {1}.\n# TYPE nutmegturn_{0}_total counter\n", name, help);
			for (std::size_t why = 0; why < detail::reason_count; ++why)
			{
				const auto n = counters_[counter_index(static_cast<counter>(i), why)];
				if (n != 0 || why == 0)
				{
					fmt::format_to(to, "nutmegturn_{}_total{{reason=\"{}\"}} {}\n", name,
								   to_string(static_cast<reason>(why)), n);
				}
			}
		}
		for (std::size_t i = 0; i < gauge_table.size(); ++i)
		{
			const auto& [name, help] = gauge_table[i];
			fmt::format_to(to, "# HELP nutmegturn_{0} {1}.\n# TYPE nutmegturn_{0} gauge\nnutmegturn_{0} {2}\n", name,
						   help, gauges_[i]);
		}
		for (std::size_t i = 0; i < distribution_table.size(); ++i)
		{
			const auto name = distribution_table[i].name;
			const auto help = distribution_table[i].help;
			fmt::format_to(to, "# HELP nutmegturn_{0} {1}.\n# TYPE nutmegturn_{0} histogram\n", name, help);
			std::uint64_t count = 0;
			for_each_cumulative(histograms_[i],
								[&](double edge, std::uint64_t sum)
								{
									count = sum;
									const bool last = edge == std::numeric_limits<double>::infinity();
									fmt::format_to(to, "nutmegturn_{}_bucket{{le=\"{}\"}} {}\n", name,
												   last ? "+Inf" : fmt::format("{:.6g}", edge), sum);
								});
			fmt::format_to(to, "nutmegturn_{0}_sum {1}\nnutmegturn_{0}_count {2}\n", name, sums_[i], count);
		}
		return out;
	}
}
