#include "nutmegturn/random.hpp"

#include "platform/packet_format.hpp"

#include <fmt/core.h>

#include <cstdlib>
#include <vector>

namespace
{
	using namespace nutmegturn;

	constexpr std::uint64_t seed = 1;
	constexpr int inputs = 300'000;

	/// Offset of the payload length in the packet header.
	constexpr std::size_t length_offset = 17;

	/// Returns random bytes, or a reset packet that carries the start of an HTTP request, with some bytes overwritten
	/// and the end sometimes cut off.
	std::vector<std::byte> make_input(random_source& random)
	{
		std::vector<std::byte> buf;
		if (random.below(4) == 0)
		{
			buf.resize(random.below(2 * platform::packet_header_size));
			for (auto& it : buf)
			{
				it = std::byte(random.below(256));
			}
			return buf;
		}
		const auto header = platform::encode_reset({}, static_cast<std::uint32_t>(random()));
		constexpr std::string_view head = "GET / HTTP/1.1\r\nNutmegturn-Request-Id: 0123456789abcdef\r\n\r\n";
		buf.assign(header.begin(), header.end());
		for (const char c : head.substr(0, random.below(head.size() + 1)))
		{
			buf.push_back(std::byte(c));
		}
		buf[length_offset] = std::byte(buf.size() - platform::packet_header_size);
		for (auto n = random.below(6); n > 0; --n)
		{
			buf[random.below(buf.size())] = std::byte(random.below(256));
		}
		buf.resize(buf.size() - random.below(4) * random.below(2));
		return buf;
	}
}

/// Feeds seeded datagrams to the packet decoder. The run fails on a crash, on a sanitizer report, on a decoded length
/// that does not match the datagram, or if the bounced flag cannot be cleared.
int main()
{
	random_source random{seed};
	int accepted = 0;
	for (int i = 0; i < inputs; ++i)
	{
		auto input = make_input(random);
		const auto id = platform::find_request_id(input);
		const auto it = platform::decode_packet(input);
		if (!it)
		{
			continue;
		}
		++accepted;
		if (it->payload_size + platform::packet_header_size != input.size() || id.size() > input.size())
		{
			fmt::print("input {}: decoded lengths do not match the datagram of {} bytes: payload of {} bytes\n", i,
					   input.size(), it->payload_size);
			return EXIT_FAILURE;
		}
		platform::clear_bounced_flag(input);
		const auto cleared = platform::decode_packet(input);
		if (!cleared || cleared->bounced)
		{
			fmt::print("input {}: the bounced flag is still set after it was cleared\n", i);
			return EXIT_FAILURE;
		}
	}
	fmt::print("{} of {} inputs accepted\n", accepted, inputs);
	return EXIT_SUCCESS;
}
