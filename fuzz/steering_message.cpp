#include "nutmegturn/random.hpp"
#include "nutmegturn/steering/agent_flows.hpp"
#include "nutmegturn/steering/balancer_flows.hpp"
#include "nutmegturn/steering/holder_search.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace
{
	using namespace nutmegturn;
	using namespace nutmegturn::steering;

	constexpr std::uint64_t seed = 1;
	constexpr int inputs = 100'000;

	/// Returns random bytes, or a message of a random kind with random contents, with some bytes overwritten and the
	/// end sometimes cut off.
	std::vector<std::byte> make_input(random_source& random)
	{
		std::vector<std::byte> contents(random.below(64));
		for (auto& it : contents)
		{
			it = std::byte(random.below(256));
		}
		if (random.below(4) == 0)
		{
			return contents;
		}
		message it;
		it.kind = message_kind{static_cast<std::uint8_t>(1 + random.below(12))};
		it.version = random.below(4);
		it.flow.caller.port = static_cast<std::uint16_t>(random.below(100));
		it.load.requests_in_progress = static_cast<std::uint16_t>(random());
		const std::string name(random.below(2 * max_sent_name_size), 'n');
		it.service = it.zone = std::string_view{name}.substr(random.below(name.size() + 1));
		it.packet = contents;
		std::vector<std::byte> buf(encoded_size_bound(it));
		buf.resize(encode_message(it, buf));
		for (auto n = random.below(4); n > 0; --n)
		{
			buf[random.below(buf.size())] = std::byte(random.below(256));
		}
		buf.resize(buf.size() - std::min(buf.size(), random.below(16) * random.below(2)));
		return buf;
	}

	/// Passes a message to each balancer function that handles a part of one, and advances the searches that it
	/// started.
	void handle_balancer_message(balancer_state& balancer, holder_search& search, const catalog& known,
								 const message& it, monotonic_time now)
	{
		const ipv4 agent{static_cast<std::uint32_t>(it.version)};
		static_cast<void>(handle_agent_message(balancer, known, it, nullptr, agent, now));
		for (const auto& answer : decode_answers(it.packet))
		{
			begin_search(search, answer.flow, it.packet, 0, {agent}, {agent}, now);
			static_cast<void>(handle_query_answer(search, agent, answer, now, true));
		}
		static_cast<void>(take_queries(search));
		static_cast<void>(take_probes(search, std::array{agent}, now));
		static_cast<void>(take_far_probes(search, now));
		for (const auto& id : denied_flows(search))
		{
			static_cast<void>(confirm_denied(search, id, {}, now, true));
		}
		static_cast<void>(repeat_queries(search, now));
		static_cast<void>(expire_searches(search, now));
	}
}

/// Feeds seeded datagrams to the message decoder and to the handlers of balancer and agent. The run fails on a crash,
/// on a sanitizer report, if a message changes when it is encoded and decoded again, or if a table exceeds its limit.
int main()
{
	random_source random{seed};
	const catalog known;
	balancer_state balancer;
	agent_state agent;
	holder_search search;
	monotonic_time now{std::chrono::seconds{1}};
	int accepted = 0;
	for (int i = 0; i < inputs; ++i)
	{
		now += std::chrono::milliseconds{1};
		const auto input = make_input(random);
		const auto it = decode_message(input);
		if (!it)
		{
			continue;
		}
		++accepted;
		std::vector<std::byte> reencoded(encoded_size_bound(*it));
		reencoded.resize(encode_message(*it, reencoded));
		const auto redecoded = decode_message(reencoded);
		if (!redecoded || redecoded->kind != it->kind || redecoded->service != it->service ||
			redecoded->zone != it->zone || !std::ranges::equal(redecoded->packet, it->packet))
		{
			fmt::print("input {}: message changes when it is encoded and decoded again\n", i);
			return EXIT_FAILURE;
		}
		if (decode_probe_relay(it->packet).packet.size() > it->packet.size())
		{
			fmt::print("input {}: decoded packet of a probe relay is longer than its message\n", i);
			return EXIT_FAILURE;
		}
		handle_balancer_message(balancer, search, known, *it, now);
		static_cast<void>(answer_query(agent, decode_flows(it->packet)));
		static_cast<void>(handle_subscription(agent, *it, ipv4{static_cast<std::uint32_t>(it->version)}, now));
		if (balancer.flows.size() > max_balancer_flows || search.pending.size() > max_searches)
		{
			fmt::print("input {}: flow table or search table exceeds its limit\n", i);
			return EXIT_FAILURE;
		}
	}
	fmt::print("{} of {} inputs accepted\n", accepted, inputs);
	return EXIT_SUCCESS;
}
