#include "loopback_relay.hpp"
#include "loopback_store.hpp"
#include "node/store_reader.hpp"

#include <gtest/gtest.h>

namespace nutmegturn::node::testing
{
	namespace
	{
		using namespace std::chrono_literals;

		/// Reader of the upstream entries, whose connections to the store can go silent.
		class store_confirmation_on_loopback : public ::testing::Test
		{
		protected:
			event_loop loop;
			node_log log{"test"};
			steering::catalog known;
			loopback_store store{.loop = loop,
								 .respond = [](auto target) { return answer(target); },
								 .calls = {},
								 .address = own_address(17'436)};
			loopback_relay relay{loop, store.address};
			store_reader reader{loop, log, known, own_address(17'437), steering::record_group::upstreams, 1};

			static status_response answer(std::string_view target)
			{
				if (target.starts_with("/kv-range"))
				{
					return {.status = 200, .body = R"({"items":[],"as_of":5})"};
				}
				const bool short_wait = target.ends_with("wait_ms=1");
				return {.status = short_wait ? 200 : lost, .body = R"({"events":[],"as_of":6})"};
			}

			void run_for(std::chrono::milliseconds time)
			{
				loop.call_at(runtime::read_clock() + time, [this] { loop.stop(); });
				loop.run();
			}

			/// Returns how long a confirmation takes, at most 5 s.
			std::chrono::milliseconds confirm()
			{
				run_for(1ms);
				const auto started = loop.now();
				reader.confirm(started);
				while (!reader.is_up_to_date_since(started) && loop.now() - started < 5s)
				{
					run_for(1ms);
				}
				return std::chrono::duration_cast<std::chrono::milliseconds>(loop.now() - started);
			}

			void SetUp() override
			{
				ASSERT_EQ(store.open(), "");
				ASSERT_TRUE(relay.open(own_address(17'437)));
				reader.start();
				run_for(200ms);
				ASSERT_TRUE(reader.state().listed_once);
			}
		};

		// Guards against callers that wait for seconds for the reset of a flow that nobody holds, because the idle
		// connection for confirmations has gone silent: the call timed out, and the store counted as lost.
		TEST_F(store_confirmation_on_loopback, does_not_use_a_connection_that_was_idle)
		{
			EXPECT_LT(confirm(), steering::call_timeout);
			run_for(1'500ms);
			relay.silence_open_connections();
			EXPECT_LT(confirm(), steering::call_timeout);
			EXPECT_FALSE(reader.state().unreachable);
		}

		// Guards against a connection for each of many confirmations, and against one that hangs for good when the
		// connection goes silent between two of them.
		TEST_F(store_confirmation_on_loopback, recovers_when_a_connection_in_use_goes_silent)
		{
			EXPECT_LT(confirm(), steering::call_timeout);
			relay.silence_open_connections();
			const auto time = confirm();
			EXPECT_GE(time, steering::call_timeout) << "the connection is used again";
			EXPECT_LT(time, steering::call_timeout + 2s);
		}

		// Guards against a second call for what is known: a watch that started before a confirmation may be answered
		// after it.
		TEST_F(store_confirmation_on_loopback, keeps_the_latest_time_as_of_which_all_changes_are_known)
		{
			store_confirmation confirmation{loop, store.address, {.target = {}, .done = {}}};
			const auto time = loop.now();
			confirmation.record_up_to_date(time);
			confirmation.record_up_to_date(time - 1s);
			EXPECT_TRUE(confirmation.is_up_to_date_since(time));
			EXPECT_FALSE(confirmation.is_up_to_date_since(time + 1ms));
		}
	}
}
