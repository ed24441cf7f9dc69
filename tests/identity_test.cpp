#include "nutmegturn/nutmegturn.hpp"

#include <gtest/gtest.h>

#include <array>
#include <string_view>

namespace nutmegturn
{
	// Guards against host names, missing ports and ambiguous IPv6 forms being accepted as endpoints.
	TEST(an_endpoint, is_parsed_only_from_a_numeric_ip_address_and_a_port)
	{
		for (const std::string_view text : {"192.0.2.1:80", "[2001:db8::1]:65535"})
		{
			const auto ep = parse_endpoint(text);
			ASSERT_TRUE(ep) << text;
			EXPECT_EQ(to_string(*ep), text);
		}
		for (const std::string_view text : {"", "host:80", "192.0.2.1", "192.0.2.1:0", "192.0.2.1:65536",
											"192.0.2.1:8x", "2001:db8::1:80", "[192.0.2.1]:80", "192.0.2.01:80"})
		{
			EXPECT_FALSE(parse_endpoint(text)) << text;
		}
	}

	// Guards against fields of the key that are swapped in the hash or omitted from it.
	TEST(a_flow_hash, depends_on_every_part_of_the_key)
	{
		const auto a = *parse_endpoint("192.0.2.1:80");
		const auto b = *parse_endpoint("192.0.2.2:80");
		const std::array keys{flow_key{a, b}, flow_key{b, a}, flow_key{a, a}, flow_key{a, b, transport::tcp}};
		for (std::size_t i = 0; i < keys.size(); ++i)
		{
			for (std::size_t j = i + 1; j < keys.size(); ++j)
			{
				EXPECT_NE(flow_hash(keys[i]), flow_hash(keys[j])) << i << ' ' << j;
			}
		}
	}
}
