#pragma once

#include "loopback_store.hpp"
#include "node/node.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace nutmegturn::node::testing
{
	/// State that both roles share, with a store on loopback.
	class node_on_loopback : public ::testing::Test
	{
	protected:
		/// \param port	Port of the store.
		explicit node_on_loopback(unsigned port) : address{own_address(port)} {}

		/// Returns the store's answer to a call.
		[[nodiscard]] virtual status_response answer(std::string_view target) const = 0;

		void run_for(std::chrono::milliseconds time)
		{
			shared.loop.call_at(runtime::read_clock() + time, [this] { shared.loop.stop(); });
			shared.loop.run();
		}

		/// Runs until a condition holds, at most 5 s.
		void run_until(const std::function<bool()>& condition)
		{
			const auto end = runtime::read_clock() + std::chrono::seconds{5};
			while (!condition() && runtime::read_clock() < end)
			{
				run_for(std::chrono::milliseconds{1});
			}
		}

		/// Starts the store and reads it.
		void read_store()
		{
			ASSERT_EQ(store.open(), "");
			shared.orders_reader.start();
			shared.upstreams_reader.start();
			run_until([this] { return shared.loaded(); });
			ASSERT_TRUE(shared.loaded());
		}

		static steering::node_settings settings_with(const endpoint& store_address)
		{
			steering::node_settings settings;
			settings.store = *steering::parse_ipv4_endpoint(to_string(store_address));
			return settings;
		}

		node_log log{"test"};
		endpoint address;
		node shared{settings_with(address), {}, log};
		loopback_store store{.loop = shared.loop,
							 .respond = [this](auto target) { return answer(target); },
							 .calls = {},
							 .address = address};
	};
}
