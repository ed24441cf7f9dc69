#include "node/class_metrics.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace nutmegturn::node
{
	namespace
	{
		using seconds = std::chrono::duration<double>;

		[[nodiscard]] double seconds_of(monotonic_clock::duration time)
		{
			return std::max(seconds{time}.count(), 0.0);
		}

		[[nodiscard]] std::string label_of(const std::optional<std::uint8_t>& priority)
		{
			return fmt::format("priority=\"{}\"", priority ? std::to_string(*priority) : "other");
		}

		void append_heading(std::string& out, std::string_view name, std::string_view help, std::string_view type)
		{
			fmt::format_to(std::back_inserter(out),
						   "# HELP nutmegturn_class_{0} {1}.\n# TYPE nutmegturn_class_{0} {2}\n", name, help, type);
		}

		void append_waits(std::string& out, const std::string& label, const detail::merged_histogram& waits, double sum)
		{
			const auto to = std::back_inserter(out);
			const auto& axis = waits.axis();
			// The first bucket includes the underflow.
			std::uint64_t count = waits.at(-1);
			for (int i = 0; i < axis.size(); ++i)
			{
				count += waits.at(i);
				fmt::format_to(to, "nutmegturn_class_wait_seconds_bucket{{{},le=\"{:.6g}\"}} {}\n", label,
							   axis.value(i + 1), count);
			}
			count += waits.at(axis.size());
			fmt::format_to(
				to,
				"nutmegturn_class_wait_seconds_bucket{{{0},le=\"+Inf\"}} {1}\n"
				"nutmegturn_class_wait_seconds_sum{{{0}}} {2}\nnutmegturn_class_wait_seconds_count{{{0}}} {1}\n",
				label, count, sum);
		}
	}

	void class_metrics::record_admitted(const steering::traffic_class& traffic)
	{
		++row_of(traffic).admitted;
	}

	void class_metrics::record_declined(const steering::traffic_class& traffic, reason why)
	{
		++row_of(traffic).declined[static_cast<std::size_t>(why)];
	}

	void class_metrics::record_wait(const steering::traffic_class& traffic, monotonic_clock::duration waited)
	{
		auto& found = row_of(traffic);
		found.waits(seconds_of(waited));
		found.wait_seconds += seconds_of(waited);
	}

	void class_metrics::record_slot_time(const steering::traffic_class& traffic, monotonic_clock::duration slot_time)
	{
		row_of(traffic).slot_seconds += seconds_of(slot_time);
	}

	class_metrics::row& class_metrics::row_of(const steering::traffic_class& traffic)
	{
		const std::optional priority{traffic.priority};
		const auto same = std::ranges::find(rows_, priority, &row::priority);
		if (same != rows_.end())
		{
			return *same;
		}
		const bool own = rows_.size() < max_priorities;
		if (own || rows_.size() == max_priorities)
		{
			rows_.emplace_back().priority = own ? priority : std::nullopt;
		}
		return rows_.back();
	}

	std::string class_metrics::to_prometheus() const
	{
		std::string out;
		const auto to = std::back_inserter(out);
		append_heading(out, "admitted_total", "Flows and requests admitted, by priority", "counter");
		for (const auto& it : rows_)
		{
			fmt::format_to(to, "nutmegturn_class_admitted_total{{{}}} {}\n", label_of(it.priority), it.admitted);
		}
		append_heading(out, "declined_total", "Flows and requests declined, by priority", "counter");
		for (const auto& it : rows_)
		{
			for (std::size_t why = 0; why < it.declined.size(); ++why)
			{
				if (it.declined[why] != 0)
				{
					fmt::format_to(to, "nutmegturn_class_declined_total{{{},reason=\"{}\"}} {}\n",
								   label_of(it.priority), to_string(static_cast<reason>(why)), it.declined[why]);
				}
			}
		}
		append_heading(out, "slot_seconds_total", "Slot time of requests, by priority", "counter");
		for (const auto& it : rows_)
		{
			fmt::format_to(to, "nutmegturn_class_slot_seconds_total{{{}}} {}\n", label_of(it.priority),
						   it.slot_seconds);
		}
		append_heading(out, "wait_seconds", "Time that flows and requests waited, by priority", "histogram");
		for (const auto& it : rows_)
		{
			append_waits(out, label_of(it.priority), it.waits, it.wait_seconds);
		}
		return out;
	}
}
