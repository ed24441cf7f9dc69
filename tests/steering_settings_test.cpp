#include "nutmegturn/steering/settings_change.hpp"

#include <gtest/gtest.h>

namespace nutmegturn::steering::testing
{
	namespace
	{
		class a_settings_change : public ::testing::Test
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

		// Guards against a process that keeps calling a store which has moved, and is killed before it has drained.
		TEST_F(a_settings_change, takes_over_what_a_running_process_can_change)
		{
			read.store.port = 99;
			read.stop_grace = milliseconds{2'000};
			const auto change = apply_settings(current, read);
			EXPECT_EQ(change.applied, (std::vector<std::string_view>{"stop_grace", "store"}));
			EXPECT_TRUE(change.after_restart.empty());
			EXPECT_EQ(current.store, read.store);
			EXPECT_EQ(current.stop_grace, read.stop_grace);
		}

		// Guards against a process whose sockets and whose idea of its address differ, and against a silent reload.
		TEST_F(a_settings_change, names_what_has_to_wait_for_a_restart)
		{
			read.instance = ipv4{2};
			read.service = "desk";
			const auto change = apply_settings(current, read);
			EXPECT_TRUE(change.applied.empty());
			EXPECT_EQ(change.after_restart, (std::vector<std::string_view>{"instance", "service"}));
			EXPECT_EQ(current.instance, ipv4{1});
		}

		// Guards against a restarted deployment that takes itself for new after a reload.
		TEST_F(a_settings_change, ignores_what_holds_for_the_start_alone)
		{
			read.first_start = false;
			const auto change = apply_settings(current, read);
			EXPECT_TRUE(change.applied.empty());
			EXPECT_TRUE(change.after_restart.empty());
		}
	}
}
