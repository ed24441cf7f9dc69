#include "nutmegturn/requests.hpp"

#include "nutmegturn/coap_message.hpp"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <variant>

namespace
{
	using namespace nutmegturn;

	constexpr std::chrono::milliseconds service_time{1};

	request_state make_state(random_source& random, monotonic_time now)
	{
		request_config config;
		config.service = service_id{1};
		config.upstream = upstream_id{1};
		config.admission.slots = 2;
		config.issuer = {member_id{1}, incarnation{1}, config.upstream, {std::byte{1}}};
		return make_request_state(config, now, random);
	}

	/// Returns the payload of the first action of a type.
	/// \throws std::runtime_error	If there is none, since then another code path would be measured.
	template <typename Action>
	coap_bytes payload_of(const action_list& actions)
	{
		for (const auto& it : actions)
		{
			if (const auto* found = std::get_if<Action>(&it))
			{
				return {found->payload.begin(), found->payload.end()};
			}
		}
		throw std::runtime_error{"request did not produce the expected action"};
	}

	/// Returns a confirmable request with a token of 4 bytes, an Echo option for a POST, and 32 bytes of payload.
	coap_bytes make_request(std::uint8_t code, std::uint32_t n, const fencing_token& echo)
	{
		const auto id = static_cast<std::uint16_t>(n);
		std::array<std::byte, 4> token{};
		for (auto& it : token)
		{
			it = std::byte(n);
			n >>= 8U;
		}
		auto buf = code == coap_code_post ? encode_coap_challenge(coap_type::confirmable, id, token, echo)
										  : encode_coap_response(coap_type::confirmable, code, id, token, {});
		buf[1] = std::byte{code};
		buf.push_back(std::byte{0xff});
		buf.insert(buf.end(), 32, std::byte{'x'});
		return buf;
	}

	/// Handles one request from the caller's datagram to the response to the caller.
	void run_request(request_state& requests, std::uint8_t code, std::uint32_t n, const fencing_token& echo,
					 monotonic_time& now, random_source& random, action_list& actions)
	{
		packet_header header;
		header.flow.client.port = static_cast<std::uint16_t>(n % 1000);
		const flow_slot flow{n % 1000};
		const auto request = make_request(code, n, echo);
		actions.clear();
		requests_on_caller_datagram(requests, {header, request}, flow, now, random, actions);
		auto response = payload_of<deliver>(actions);
		now += service_time;
		// The response keeps the message ID and token: 4 bytes of header and 4 of token, then the payload.
		response.resize(8);
		response[0] = std::byte{0x64};
		response[1] = std::byte{0x45};
		response.push_back(std::byte{0xff});
		response.insert(response.end(), 32, std::byte{'y'});
		actions.clear();
		requests_on_upstream_datagram(requests, flow, response, now, actions);
		benchmark::DoNotOptimize(payload_of<send_packet>(actions));
	}

	/// Requests per second from the caller's datagram through the upstream response to the response to the caller.
	/// Outcomes are retained up to the limit of the table. Each iteration fills one table; reports the heap bytes per
	/// outcome.
	void requests_to_answers(benchmark::State& state)
	{
		const auto code = static_cast<std::uint8_t>(state.range(0));
		constexpr std::uint32_t count = 60'000;
		double bytes_per_outcome = 0;
		for (auto _ : state)
		{
			state.PauseTiming();
			random_source random{1};
			monotonic_time now{std::chrono::seconds{1000}};
			auto requests = make_state(random, now);
			action_list actions;
			const auto before = mallinfo2();
			state.ResumeTiming();
			for (std::uint32_t n = 0; n < count; ++n)
			{
				// Each request gets a new fencing token, as if each caller sent only one request.
				const auto echo = issue_fencing_token(requests.config.issuer, now);
				run_request(requests, code, n, echo, now, random, actions);
			}
			state.PauseTiming();
			const auto after = mallinfo2();
			bytes_per_outcome = (static_cast<double>(after.uordblks + after.hblkhd) -
								 static_cast<double>(before.uordblks + before.hblkhd)) /
								static_cast<double>(requests.table.size());
			state.ResumeTiming();
		}
		state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations()) * count);
		state.counters["bytes_per_outcome"] = bytes_per_outcome;
		state.counters["entry_size"] = sizeof(request_entry);
	}
	BENCHMARK(requests_to_answers)
		->ArgName("code")
		->Arg(coap_code_get)
		->Arg(coap_code_post)
		->Unit(benchmark::kMillisecond);
}
