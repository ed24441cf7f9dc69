#include "nutmegturn/control_codec.hpp"
#include "nutmegturn/random.hpp"

#include <array>
#include <cstdio>

/// Feeds mutated datagrams to the control message decoder. An exception that escapes the decoder terminates the run.
int main()
{
	using namespace nutmegturn;
	random_source rng{2};
	const key_ring ring; // empty: without authentication tags, mutations reach the Thrift decoder
	std::array<std::size_t, static_cast<std::size_t>(reason::count)> rejections{};
	std::size_t accepted = 0;
	std::uint64_t sequence = 0;
	replay_filter replays;
	for (int round = 0; round < 200'000; ++round)
	{
		wire::control_envelope envelope;
		envelope.version = 1;
		envelope.sender = static_cast<std::int64_t>(rng.below(4));
		for (auto n = rng.below(4); n > 0; --n)
		{
			member generated;
			generated.name.assign(rng.below(40), 'x');
			generated.upstreams.resize(rng.below(3));
			envelope.updates.push_back(to_wire(generated));
		}
		if (rng.below(2) == 0)
		{
			wire::config_push push;
			push.records.resize(rng.below(5));
			envelope.__set_push_message(push);
		}
		auto datagram = std::get<std::vector<std::byte>>(encode_control(envelope, sequence, ring));
		for (auto mutations = rng.below(8); mutations > 0; --mutations)
		{
			datagram[rng.below(datagram.size())] = std::byte{static_cast<std::uint8_t>(rng())};
		}
		if (rng.below(8) == 0)
		{
			datagram.resize(rng.below(datagram.size()));
		}
		const auto outcome = decode_control(datagram, ring, replays);
		if (const auto* rejection = std::get_if<reason>(&outcome))
		{
			++rejections[static_cast<std::size_t>(*rejection)];
			continue;
		}
		++accepted;
		for (const auto& update : std::get<wire::control_envelope>(outcome).updates)
		{
			[[maybe_unused]] const auto decoded = from_wire(update);
		}
	}
	std::printf("200000 inputs, %zu accepted", accepted);
	for (std::size_t i = 0; i < rejections.size(); ++i)
	{
		if (rejections[i] != 0)
		{
			std::printf(", %zu %s", rejections[i], to_string(reason{static_cast<std::uint8_t>(i)}).data());
		}
	}
	std::printf("\n");
}
