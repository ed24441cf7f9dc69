#include "nutmegturn/steering/settings_change.hpp"

#include <gtest/gtest.h>

namespace nutmegturn::steering::testing
{
	namespace
	{
		class steering_settings_change : public ::testing::Test
		{
		protected:
			node_settings current{.name = "edge-1",
								  .zone = "a",
								  .instance = ipv4{1},
								  .caller_packets = {.ip = ipv4{1}, .port = 10},
								  .readiness = {.ip = ipv4{1}, .port = 11},
								  .store = {.ip = ipv4{9}, .port = 12},
								  .peer_port = 13,
								  .stop_grace = milliseconds{6'000},
								  .first_start = true,
								  .service = {},
								  .upstream = {},
								  .upstream_outbound = {}};
			node_settings read = current;
		};

		// Guards against calls to an outdated store address, and against a process that is killed before it has
		// drained.
		TEST_F(steering_settings_change, applies_settings_that_can_change_at_run_time)
		{
			read.store.port = 99;
			read.stop_grace = milliseconds{2'000};
			const auto change = apply_settings(current, read);
			EXPECT_EQ(change.applied, (std::vector<std::string_view>{"stop_grace", "store"}));
			EXPECT_TRUE(change.after_restart.empty());
			EXPECT_EQ(current.store, read.store);
			EXPECT_EQ(current.stop_grace, read.stop_grace);
		}

		// Guards against a process whose settings differ from its open sockets, and against an unreported reload.
		TEST_F(steering_settings_change, names_settings_that_need_a_restart)
		{
			read.instance = ipv4{2};
			read.service = "desk";
			const auto change = apply_settings(current, read);
			EXPECT_TRUE(change.applied.empty());
			EXPECT_EQ(change.after_restart, (std::vector<std::string_view>{"instance", "service"}));
			EXPECT_EQ(current.instance, ipv4{1});
		}

		// Guards against a restarted deployment that is treated as new after a reload.
		TEST_F(steering_settings_change, ignores_settings_used_only_at_start)
		{
			read.first_start = false;
			const auto change = apply_settings(current, read);
			EXPECT_TRUE(change.applied.empty());
			EXPECT_TRUE(change.after_restart.empty());
		}
	}
}
