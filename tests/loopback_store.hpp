#pragma once

#include "base64_text.hpp"
#include "node/status_server.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegturn::node::testing
{
	/// Returns an item of the metadata store.
	[[nodiscard]] inline std::string item(std::string_view key, int revision, std::string_view value = "{}")
	{
		return fmt::format(R"({{"key":"{}","value":"{}","revision":{},"created":1,"lease":0}})", key, base64(value),
						   revision);
	}

	/// Returns an address on loopback for this process. Tests run in parallel, each in its own process.
	[[nodiscard]] inline endpoint own_address(unsigned port)
	{
		constexpr unsigned byte_bits = 8;
		constexpr unsigned byte = 0xff;
		const auto id = static_cast<unsigned>(::getpid());
		return *parse_endpoint(fmt::format("127.{}.{}.{}:{}", 1 + (id >> 2 * byte_bits) % 100, (id >> byte_bits) & byte,
										   1 + (id & byte) % 254, port));
	}

	/// Status of a scripted answer that is lost: its call stays pending, and its connection returns nothing further.
	inline constexpr int lost = 0;

	/// Metadata store on loopback whose answers a test scripts by the target of the call.
	struct loopback_store
	{
		event_loop& loop;
		std::function<status_response(std::string_view target)> respond;
		std::vector<std::string> calls; ///< Targets of the calls so far.
		endpoint address;
		status_server server{loop, [this](std::string_view target)
							 {
								 calls.emplace_back(target);
								 auto answer = respond(target);
								 if (answer.status == lost)
								 {
									 // The loop drops the message; the server sends nothing.
									 throw std::runtime_error{"answer lost"};
								 }
								 return answer;
							 }};

		/// Starts to listen.
		/// \returns	An empty string, or the reason for the failure.
		[[nodiscard]] std::string open()
		{
			loop.set_exception_handler([](const std::exception&) {});
			return server.listen(address);
		}
	};
}
