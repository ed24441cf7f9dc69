#include "nutmegturn/audit_log.hpp"
#include "nutmegturn/log.hpp"
#include "nutmegturn/metrics.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace nutmegturn
{
	using namespace std::chrono_literals;

	// Guards against lost counts when the control thread reads while traffic threads write, and against output that
	// Prometheus cannot parse.
	TEST(metrics, are_summed_over_threads_and_written_in_prometheus_text_format)
	{
		std::array<metrics_shard, 2> shards;
		const std::array<const metrics_shard*, 2> all{&shards[0], &shards[1]};
		std::array<std::thread, 2> threads;
		for (std::size_t i = 0; i < shards.size(); ++i)
		{
			threads[i] =
				std::thread{[&shard = shards[i]]
							{
								for (int n = 0; n < 10'000; ++n)
								{
									shard.add(counter::packets_dropped, reason::bad_tag);
									shard.observe(distribution::request_seconds, n % 100 == 0 ? 1000.0 : 0.001);
								}
							}};
		}
		EXPECT_LE(metrics_snapshot{all}.total(counter::packets_dropped), 20'000U);
		for (auto& thread : threads)
		{
			thread.join();
		}
		shards[0].set(gauge::flows_open, 3);
		shards[1].set(gauge::flows_open, 4);
		const metrics_snapshot sum{all};
		EXPECT_EQ(sum.value(counter::packets_dropped, reason::bad_tag), 20'000U);
		EXPECT_EQ(sum.value(gauge::flows_open), 7);
		EXPECT_NEAR(sum.quantile(distribution::request_seconds, 0.5), 0.001, 0.001);
		const auto text = sum.to_prometheus();
		for (const auto* line :
			 {"# TYPE nutmegturn_packets_dropped_total counter\n",
			  "\nnutmegturn_packets_dropped_total{reason=\"bad_tag\"} 20000\n", "\nnutmegturn_flows_open 7\n",
			  "\nnutmegturn_request_seconds_bucket{le=\"100\"} 19800\n",
			  "\nnutmegturn_request_seconds_bucket{le=\"+Inf\"} 20000\n", "\nnutmegturn_request_seconds_count 20000\n"})
		{
			EXPECT_NE(text.find(line), std::string::npos) << line << text;
		}
	}

	// Guards against an audit log that grows without bound or drops entries without counting them.
	TEST(an_audit_log, drops_and_counts_the_oldest_entries)
	{
		audit_log log;
		for (std::size_t i = 0; i < audit_log::max_entries + 5; ++i)
		{
			log.append({audit_kind::zone_taken_out, std::string(i, 'x'), "a\"b", revision{i}, reason::zone_out}, {});
		}
		EXPECT_EQ(log.entries().size(), audit_log::max_entries);
		EXPECT_EQ(log.entries().front().number, 6U);
		EXPECT_EQ(log.entries().back().event.subject.size(), audit_log::max_text_size);
		EXPECT_EQ(log.dropped(), 5U);
		audit_log one;
		one.append({audit_kind::zone_taken_out, "/lju/lju-a", "a\"b", revision{4}, reason::zone_out}, {});
		EXPECT_EQ(one.to_json(), R"({"dropped":0,"entries":[{"detail":"a\"b","kind":"zone_taken_out","number":1,)"
								 R"("reason":"zone_out","revision":4,"subject":"/lju/lju-a",)"
								 R"("time":"1970-01-01T00:00:00.000Z"}]})");
		EXPECT_EQ(one.to_json(1), R"({"dropped":0,"entries":[]})");
	}

	// Guards against log injection: a value from outside must not split a line in two.
	TEST(a_log_event, is_one_line_in_text_and_json)
	{
		const log_event event{
			log_level::warning, "record_rejected", "bad\nrecord", {{"key", "a b\r\"c"}, {"n", "4"}}, 2};
		const wall_time at{1'770'000'000'042ms};
		EXPECT_EQ(format_log_text(event, at), "2026-02-02T02:40:00.042Z warning record_rejected: bad\\nrecord "
											  "key=\"a b\\x0d\\\"c\" n=4 suppressed=2");
		EXPECT_EQ(format_log_json(event, at),
				  R"({"event":"record_rejected","fields":{"key":"a b\r\"c","n":"4"},"level":"warning",)"
				  R"("suppressed":2,"text":"bad\nrecord","time":"2026-02-02T02:40:00.042Z"})");
	}

	// Guards against log flooding by events with one name and by events with many names.
	TEST(a_log_limiter, bounds_the_rate_of_each_name_and_of_all_names)
	{
		log_limiter limiter;
		const monotonic_time start{1h};
		std::size_t admitted = 0;
		for (int i = 0; i < 1000; ++i)
		{
			admitted += limiter.admit("drop", start + i * 10ms) ? 1 : 0;
		}
		EXPECT_EQ(admitted, log_limiter::burst + 9U);
		EXPECT_EQ(limiter.suppressed(), 1000 - admitted);
		EXPECT_EQ(limiter.admit("drop", start + 20s), 99U) << "suppressed since the last admitted one";
		EXPECT_EQ(limiter.admit("other", start + 20s), 0U);
		admitted = 0;
		for (int i = 0; i < 10'000; ++i)
		{
			admitted += limiter.admit(std::to_string(i), start + 20s) ? 1 : 0;
		}
		EXPECT_LE(admitted, log_limiter::max_names + log_limiter::burst);
	}
}
