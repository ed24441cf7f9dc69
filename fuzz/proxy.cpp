#include "nutmegturn/proxy_header.hpp"
#include "nutmegturn/random.hpp"

#include <array>
#include <cstdio>
#include <cstdlib>

/// Feeds mutated headers to the PROXY protocol decoder. Checks that each accepted payload lies within the datagram and
/// extends to its end.
int main()
{
	using namespace nutmegturn;
	random_source rng{3};
	std::array<std::byte, 128> buf{};
	std::size_t accepted = 0;
	for (int round = 0; round < 500'000; ++round)
	{
		const auto source = *parse_endpoint(rng.below(2) == 0 ? "192.0.2.1:7" : "[2001:db8::1]:7");
		const auto encoded = encode_proxy_header(source, *parse_endpoint("198.51.100.9:443"), buf);
		auto size = std::get<std::size_t>(encoded) + rng.below(32);
		for (auto bit_flips = rng.below(4); bit_flips > 0; --bit_flips)
		{
			buf[rng.below(size)] ^= std::byte{static_cast<std::uint8_t>(1U << rng.below(8))};
		}
		size -= rng.below(4) == 0 ? rng.below(size) : 0;
		const auto outcome = decode_proxy_header(std::span{buf}.first(size));
		if (const auto* it = std::get_if<proxied_datagram>(&outcome))
		{
			++accepted;
			if (it->payload.data() < buf.data() || it->payload.data() + it->payload.size() != buf.data() + size)
			{
				std::fprintf(stderr, "round %d: payload starts before the datagram or does not end with it\n", round);
				return EXIT_FAILURE;
			}
		}
	}
	std::printf("500000 inputs, %zu accepted\n", accepted);
}
