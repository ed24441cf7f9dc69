#include "outage_bound/outage_bound.hpp"

#include <gtest/gtest.h>

namespace nutmegturn::bench
{
	namespace
	{
		class outage_bound : public ::testing::Test
		{
		protected:
			request_class watch{.name = "watch",
								.per_second = 100,
								.service_time = 0.03,
								.target = 0.15,
								.time_limit = 1.0,
								.benefit = 1,
								.late_benefit = 0.3,
								.open_share = 0,
								.flows = 0,
								.idempotent = true};
			power_loss loss{
				.at = 2.0, .down = 1.0, .start = 0.0, .cold_factor = 1, .retry_delay = 0.05, .round_trip = 0.006};

			double first_window()
			{
				const auto bound = bound_of_power_loss(loss, {watch}, 2.0, 4.0).front();
				return bound.benefit / bound.all_in_time;
			}
		};

		// Guards against a bound that an outage without duration lowers.
		TEST_F(outage_bound, is_one_without_outage)
		{
			loss.down = 0;
			EXPECT_NEAR(first_window(), 1.0, 0.001);
		}

		// Sent in the outage: 0.4 s of callers have no copy before their time limit, 0.6 s are late, of which those of
		// the last 0.1 s or so are in time only if the outage ends within a copy's offset. By hand: (0.6 * 0.3 + 1.0)
		// / 2.
		TEST_F(outage_bound, follows_the_copies_of_packets)
		{
			EXPECT_NEAR(first_window(), 0.59, 0.01);
		}

		// Guards against counting a request that cannot be repeated as served in a flow whose upstream is gone.
		TEST_F(outage_bound, loses_one_request_for_each_open_flow)
		{
			watch.idempotent = false;
			watch.open_share = 1;
			watch.flows = 50;
			loss.down = 0;
			const auto bounds = bound_of_power_loss(loss, {watch}, 2.0, 40.0);
			double lost = 0;
			for (const auto& it : bounds)
			{
				lost += it.all_in_time - it.benefit;
			}
			EXPECT_NEAR(lost, 50.0, 1.0);
		}
	}
}
