#include "nutmegturn/packet_codec.hpp"
#include "nutmegturn/random.hpp"

#include <array>
#include <cstdio>
#include <cstdlib>

/// Feeds mutated and random datagrams to the packet decoder, with and without keys. Checks that each accepted packet
/// keeps its size and its flow when it is encoded and decoded again.
int main()
{
	using namespace nutmegturn;
	random_source rng{1};
	const std::array keys{shared_key{1, {1}}, shared_key{2, {2}}};
	const std::array rings{key_ring{}, *make_key_ring(keys)};
	std::array<std::byte, 512> buf{};
	std::array<std::byte, 512> reencoded{};
	std::size_t accepted = 0;
	for (int round = 0; round < 500'000; ++round)
	{
		const auto& ring = rings[rng.below(2)];
		std::size_t size = rng.below(buf.size());
		if (rng.below(4) != 0)
		{
			packet_header header;
			header.kind = packet_kind{static_cast<std::uint8_t>(1 + rng.below(5))};
			header.service = service_id{rng()};
			header.rev = revision{rng()};
			const auto written =
				encode_packet(header, std::span{buf}.subspan(encoded_header_size, rng.below(64)), ring, buf);
			size = std::get<std::size_t>(written);
			for (auto bit_flips = rng.below(4); bit_flips > 0; --bit_flips)
			{
				buf[rng.below(size)] ^= std::byte{static_cast<std::uint8_t>(1U << rng.below(8))};
			}
			size -= rng.below(8) == 0 ? rng.below(size) : 0;
		}
		else
		{
			for (auto& byte : buf)
			{
				byte = std::byte{static_cast<std::uint8_t>(rng())};
			}
		}
		const auto outcome = decode_packet(std::span{buf}.first(size), ring);
		if (const auto* it = std::get_if<packet>(&outcome))
		{
			++accepted;
			const auto written = encode_packet(it->header, it->payload, ring, reencoded);
			const auto redecoded = decode_packet(std::span{reencoded}.first(std::get<std::size_t>(written)), ring);
			if (std::get<packet>(redecoded).header.flow != it->header.flow || std::get<std::size_t>(written) != size)
			{
				std::fprintf(stderr, "round %d: accepted packet changes its size or flow when it is encoded again\n",
							 round);
				return EXIT_FAILURE;
			}
		}
	}
	std::printf("500000 inputs, %zu accepted\n", accepted);
}
