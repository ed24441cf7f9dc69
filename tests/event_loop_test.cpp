#include "node/event_loop.hpp"
#include "runtime/udp.hpp"

#include <gtest/gtest.h>

#include <stdexcept>

namespace nutmegturn::node
{
	namespace
	{
		using namespace std::chrono_literals;

		// Guards against one malformed message that takes a whole process down: an exception while it is handled is
		// reported, and the next message is handled.
		TEST(event_loop_exceptions, do_not_end_the_process)
		{
			event_loop loop;
			auto opened = runtime::open_udp(*parse_endpoint("127.0.0.1:17432"));
			ASSERT_TRUE(has_value(opened));
			const auto receiver = std::move(std::get<0>(opened));
			runtime::send_batch sender{receiver.get(), 1};
			runtime::receive_batch batch{1, 64};
			int handled = 0;
			std::string reported;
			loop.set_exception_handler([&reported](const std::exception& error) { reported = error.what(); });
			ASSERT_TRUE(loop.watch(receiver.get(),
								   [&]
								   {
									   ASSERT_EQ(batch.receive(receiver.get()), 1U);
									   if (++handled == 1)
									   {
										   throw std::runtime_error{"malformed message"};
									   }
									   loop.stop();
								   }));
			const std::array<std::byte, 1> bytes{};
			sender.add(*parse_endpoint("127.0.0.1:17432"), bytes);
			sender.flush();
			sender.add(*parse_endpoint("127.0.0.1:17432"), bytes);
			sender.flush();
			loop.call_at(loop.now() + 1s, [&loop] { loop.stop(); });
			loop.run();
			EXPECT_EQ(handled, 2);
			EXPECT_EQ(reported, "malformed message");
		}
	}
}
