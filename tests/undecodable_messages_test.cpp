#include "node_on_loopback.hpp"

#include <array>

namespace nutmegturn::node::testing
{
	namespace
	{
		class undecodable_messages : public node_on_loopback
		{
		protected:
			undecodable_messages() : node_on_loopback{17'439} {}

			[[nodiscard]] status_response answer(std::string_view /*target*/) const override
			{
				return {.status = 503, .body = {}};
			}
		};

		// Guards against a build beside one with another layout of messages that drops all of them unseen.
		TEST_F(undecodable_messages, are_counted)
		{
			const std::array former_layout{std::byte{0x50}, std::byte{1}};
			EXPECT_NE(shared.metrics_text().find("nutmegturn_messages_undecodable_total 0\n"), std::string::npos);
			shared.record_undecodable(steering::parse_ipv4_endpoint("10.0.0.1:7720"), former_layout);
			shared.record_undecodable(std::nullopt, {});
			EXPECT_NE(shared.metrics_text().find("nutmegturn_messages_undecodable_total 2\n"), std::string::npos);
		}
	}
}
