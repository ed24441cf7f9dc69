#include "nutmegturn/coap_message.hpp"
#include "nutmegturn/random.hpp"
#include "nutmegturn/requests.hpp"

#include <fmt/core.h>

#include <chrono>
#include <cstdint>
#include <span>

namespace
{
	using namespace nutmegturn;

	constexpr std::uint64_t seed = 1;
	constexpr int inputs = 200'000;

	/// Returns random bytes, or a valid request with up to three bytes overwritten and the end sometimes cut off.
	coap_bytes make_input(random_source& random)
	{
		coap_bytes buf;
		if (random.below(4) == 0)
		{
			buf.resize(random.below(80));
			for (auto& it : buf)
			{
				it = std::byte(random.below(256));
			}
			return buf;
		}
		const coap_bytes echo(1 + random.below(40), std::byte(random.below(256)));
		const coap_bytes token(random.below(9), std::byte(random.below(4)));
		buf = encode_coap_challenge(static_cast<coap_type>(random.below(4)),
									static_cast<std::uint16_t>(random.below(8)), token, echo);
		buf[1] = std::byte(random.below(6));
		for (auto n = random.below(4); n > 0; --n)
		{
			buf[random.below(buf.size())] = std::byte(random.below(256));
		}
		buf.resize(buf.size() - random.below(4) * random.below(2));
		return buf;
	}
}

/// Feeds seeded datagrams to the CoAP parser and to the request handlers. The run fails on a crash, on a sanitizer
/// report, or if the parser accepts no input.
int main()
{
	random_source random{seed};
	monotonic_time now{std::chrono::seconds{1}};
	request_config config;
	config.admission.slots = 2;
	config.table_bound = 1000;
	auto state = make_request_state(config, now, random);
	int accepted = 0;
	for (int i = 0; i < inputs; ++i)
	{
		now += std::chrono::milliseconds{1};
		const auto input = make_input(random);
		accepted += parse_coap(input).index() == 0 ? 1 : 0;
		action_list actions;
		// Half of the messages between agents start with a valid header, whose numbers are all 0 except for the last
		// byte of the sequence number.
		coap_bytes delegated(random.below(2) == 0 ? 0 : delegation_header_size);
		if (!delegated.empty())
		{
			delegated[23] = std::byte(random.below(256));
			delegated[24] = std::byte(1);
		}
		delegated.insert(delegated.end(), input.begin(), input.end());
		coap_bytes delegate_result(random.below(2) == 0 ? 0 : delegation_result_size);
		if (!delegate_result.empty())
		{
			delegate_result[15] = std::byte(random.below(32));
			delegate_result[16] = std::byte(random.below(6));
		}
		delegate_result.insert(delegate_result.end(), input.begin(), input.end());
		const packet datagram{{}, input};
		const flow_slot flow{static_cast<std::uint32_t>(random.below(3))};
		switch (random.below(5))
		{
			case 0:
				requests_on_upstream_datagram(state, flow, input, now, actions);
				break;
			case 1:
				requests_on_delegate(state, {{}, delegated}, {}, flow, now, actions);
				break;
			case 2:
				requests_on_delegate_result(state, {{}, delegate_result}, now, random, actions);
				break;
			default:
				requests_on_caller_datagram(state, datagram, flow, now, random, actions);
				break;
		}
		if (i % 100 == 0)
		{
			const request_peer peer{{}, {}, {}, 1};
			requests_set_peers(state, {&peer, 1});
			requests_on_tick(state, now, random, actions);
		}
	}
	fmt::print("seed {}: {} inputs, {} accepted by the parser\n", seed, inputs, accepted);
	return accepted > 0 ? 0 : 1;
}
