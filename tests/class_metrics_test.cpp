#include "node/class_metrics.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace nutmegturn::node
{
	namespace
	{
		using namespace std::chrono_literals;
		using steering::traffic_class;

		[[nodiscard]] bool has_line(const std::string& text, const std::string& line)
		{
			return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
		}

		// Guards against values that are counted for another class or reason, or in the wrong unit.
		TEST(class_metrics, show_each_value_with_its_priority)
		{
			class_metrics metrics;
			const traffic_class urgent{.priority = 1};
			const traffic_class bulk{.kind = steering::request_kind::download, .priority = 9};
			metrics.record_admitted(urgent);
			metrics.record_admitted(urgent);
			metrics.record_declined(bulk, reason::queue_full);
			metrics.record_declined(bulk, reason::queue_full);
			metrics.record_declined(bulk, reason::retry_budget_spent);
			metrics.record_wait(bulk, 250ms);
			metrics.record_wait(bulk, 0ms);
			metrics.record_wait(bulk, 300s);
			metrics.record_slot_time(urgent, 43ms);
			metrics.record_slot_time(urgent, 82ms);
			const auto text = metrics.to_prometheus();
			for (const auto* line :
				 {"# TYPE nutmegturn_class_admitted_total counter", "# TYPE nutmegturn_class_wait_seconds histogram",
				  R"(nutmegturn_class_admitted_total{priority="1"} 2)",
				  R"(nutmegturn_class_admitted_total{priority="9"} 0)",
				  R"(nutmegturn_class_declined_total{priority="9",reason="queue_full"} 2)",
				  R"(nutmegturn_class_declined_total{priority="9",reason="retry_budget_spent"} 1)",
				  R"(nutmegturn_class_slot_seconds_total{priority="1"} 0.125)",
				  R"(nutmegturn_class_wait_seconds_bucket{priority="9",le="1.58489e-05"} 1)",
				  R"(nutmegturn_class_wait_seconds_bucket{priority="9",le="0.158489"} 1)",
				  R"(nutmegturn_class_wait_seconds_bucket{priority="9",le="0.251189"} 2)",
				  R"(nutmegturn_class_wait_seconds_bucket{priority="9",le="100"} 2)",
				  R"(nutmegturn_class_wait_seconds_bucket{priority="9",le="+Inf"} 3)",
				  R"(nutmegturn_class_wait_seconds_sum{priority="9"} 300.25)",
				  R"(nutmegturn_class_wait_seconds_count{priority="9"} 3)",
				  R"(nutmegturn_class_wait_seconds_count{priority="1"} 0)"})
			{
				EXPECT_TRUE(has_line(text, line)) << line << "\n" << text;
			}
			EXPECT_EQ(text.find(R"(declined_total{priority="1")"), std::string::npos) << text;
		}

		// Guards against a text that grows with the number of priorities, and against values that are lost beyond the
		// bound.
		TEST(class_metrics, sum_up_priorities_beyond_the_bound)
		{
			class_metrics metrics;
			const auto record_all = [&metrics]
			{
				for (int priority = 255; priority >= 0; --priority)
				{
					metrics.record_admitted({.priority = static_cast<std::uint8_t>(priority)});
				}
			};
			record_all();
			const auto size = std::ranges::count(metrics.to_prometheus(), '\n');
			record_all();
			const auto text = metrics.to_prometheus();
			EXPECT_EQ(std::ranges::count(text, '\n'), size);
			EXPECT_TRUE(has_line(text, R"(nutmegturn_class_admitted_total{priority="255"} 2)")) << text;
			EXPECT_TRUE(has_line(text, R"(nutmegturn_class_admitted_total{priority="248"} 2)")) << text;
			EXPECT_EQ(text.find(R"({priority="247"})"), std::string::npos) << text;
			EXPECT_TRUE(has_line(text, R"(nutmegturn_class_admitted_total{priority="other"} 496)")) << text;
		}

		// Guards against a text without metrics that cannot be parsed.
		TEST(class_metrics, have_headings_only_before_anything_is_recorded)
		{
			const auto text = class_metrics{}.to_prometheus();
			EXPECT_EQ(std::ranges::count(text, '\n'), 8);
			EXPECT_EQ(std::ranges::count(text, '#'), 8);
		}
	}
}
