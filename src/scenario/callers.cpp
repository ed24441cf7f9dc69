#include "scenario/callers.hpp"

#include "common/coap_request.hpp"
#include "scenario/world.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace nutmegturn::scenario
{
	namespace
	{
		/// Time within which a caller expects a response: the deadline of the agents plus the round trip.
		constexpr std::chrono::milliseconds caller_deadline{10'500};
		constexpr std::chrono::seconds initial_retransmission_delay{2};
		constexpr std::uint32_t max_attempts = 3;
		/// Payload of the response with which the upstream itself sheds a request.
		constexpr std::string_view shed_payload = "busy";

		std::string attempt_name(const caller_request& it)
		{
			return fmt::format("{}-{}", it.name, it.attempt);
		}

		std::string token_key(std::size_t caller, std::span<const std::byte> token)
		{
			return fmt::format("{}:", caller) + standin::text_of(token);
		}

		void transmit(world& w, std::size_t n)
		{
			const auto& it = w.callers.requests[n];
			const auto& caller = w.callers.callers[it.caller];
			const auto echo = it.method == coap_code_post ? caller.echo : std::vector<std::byte>{};
			const auto name = attempt_name(it);
			send_from_caller(w, caller.key,
							 standin::encode_message(coap_type::confirmable, it.method, it.message_id, it.token, echo,
													 standin::bytes_of(name)));
		}

		void retransmit(world& w, std::size_t n, std::uint16_t message_id, std::chrono::seconds delay)
		{
			w.queue.after(delay,
						  [&w, n, message_id, delay]
						  {
							  const auto& it = w.callers.requests[n];
							  if (!it.done && !it.acknowledged && it.message_id == message_id)
							  {
								  transmit(w, n);
								  retransmit(w, n, message_id, delay * 2);
							  }
						  });
		}

		/// Sends an attempt with a new message id and token.
		void begin_attempt(world& w, std::size_t n)
		{
			auto& it = w.callers.requests[n];
			// Ids are sequential: a caller must not reuse one within EXCHANGE_LIFETIME (RFC 7252, section 4.4).
			it.message_id = ++w.callers.callers[it.caller].last_message_id;
			it.acknowledged = false;
			it.token.clear();
			for (int i = 0; i < 4; ++i)
			{
				it.token.push_back(static_cast<std::byte>(w.random.below(256)));
			}
			w.callers.by_token[token_key(it.caller, it.token)] = n;
			transmit(w, n);
			retransmit(w, n, it.message_id, initial_retransmission_delay);
		}

		void finish(world& w, caller_request& it, std::uint64_t& count)
		{
			it.done = true;
			++count;
			w.callers.by_token.erase(token_key(it.caller, it.token));
		}

		void begin_request(world& w, std::size_t caller, std::uint8_t method)
		{
			auto& state = w.callers;
			const auto n = state.requests.size();
			state.requests.push_back({});
			auto& added = state.requests.back();
			added.caller = caller;
			added.name = fmt::format("r{}", n);
			added.method = method;
			added.started = w.queue.now();
			++w.counts.requests;
			++state.groups[state.callers[caller].group].requests;
			begin_attempt(w, n);
			w.queue.after(
				caller_deadline,
				[&w, n]
				{
					auto& it = w.callers.requests[n];
					if (!it.done)
					{
						finish(w, it, w.counts.late);
						w.counts.cut_requests += w.callers.had_planned_stop && w.callers.only_planned_stops ? 1 : 0;
						append_trace(w, fmt::format("request {} of {} got no response before the deadline", it.name,
													to_string(w.callers.callers[it.caller].key.client)));
					}
				});
		}

		/// Callers with the same address.
		struct caller_group
		{
			std::size_t first = 0;
			std::size_t stride = 1;
			std::size_t members = 0;
			double rate = 1;
			monotonic_time end{};
			std::string method;
		};

		std::uint8_t choose_method(world& w, const std::string& method)
		{
			constexpr std::array any{coap_code_get, coap_code_put, coap_code_post};
			return method == "MIX"    ? any[w.random.below(any.size())]
				   : method == "POST" ? coap_code_post
				   : method == "PUT"  ? coap_code_put
									  : coap_code_get;
		}

		/// Schedules the next request of a group. Arrivals form a Poisson process.
		void schedule_request(world& w, const caller_group& group)
		{
			const std::chrono::duration<double> wait{-std::log(1 - w.random.uniform()) / group.rate};
			w.queue.after(std::chrono::duration_cast<monotonic_clock::duration>(wait),
						  [&w, group]
						  {
							  if (w.queue.now() < group.end)
							  {
								  const auto caller = group.first + w.random.below(group.members) * group.stride;
								  begin_request(w, caller, choose_method(w, group.method));
								  schedule_request(w, group);
							  }
						  });
		}

		/// Returns whether the text of a response belongs to a request and is complete.
		bool is_expected_answer(const world& w, const caller_request& it, const std::string& text)
		{
			const auto& caller = w.callers.callers[it.caller];
			return std::ranges::any_of(w.upstreams,
									   [&](const upstream_config& up)
									   {
										   return up.service == caller.service &&
												  text == standin::expected_response_payload(
															  attempt_name(it), caller.service_name, up.name);
									   });
		}

		void handle_answer(world& w, caller_request& it, const coap_message& message)
		{
			auto& group = w.callers.groups[w.callers.callers[it.caller].group];
			if (!is_expected_answer(w, it, standin::text_of(message.payload())))
			{
				++w.counts.wrong_answers;
				record_violation(w, fmt::format("request {} got a wrong answer: {:.60}", it.name,
												standin::text_of(message.payload())));
			}
			++group.answered;
			group.total_wait_s += std::chrono::duration<double>{w.queue.now() - it.started}.count();
			finish(w, it, w.counts.answered);
		}

		void handle_challenge(world& w, std::size_t n, const coap_message& message)
		{
			auto& it = w.callers.requests[n];
			w.callers.reported_not_run.push_back(attempt_name(it));
			w.callers.callers[it.caller].echo.assign(message.echo().begin(), message.echo().end());
			w.callers.by_token.erase(token_key(it.caller, it.token));
			if (++it.attempt > max_attempts)
			{
				finish(w, it, w.counts.refused_not_run);
				return;
			}
			begin_attempt(w, n);
		}
	}

	void start_requests(world& w, const service_config& service, const request_load& load)
	{
		auto& state = w.callers;
		if (!state.enabled)
		{
			state.enabled = true;
			for (process_index i = 0; i < w.processes.size(); ++i)
			{
				if (w.processes[i]->agent && w.processes[i]->alive)
				{
					start_request_host(w, i);
				}
			}
		}
		const auto first = state.callers.size();
		const auto end = load.duration.count() > 0 ? w.queue.now() + load.duration : monotonic_time::max();
		const double demand = std::accumulate(load.groups.begin(), load.groups.end(), 0.0);
		for (std::size_t i = 0; i < load.callers; ++i)
		{
			request_caller it;
			it.group = i % load.groups.size();
			const auto n = first + i;
			it.key.client = *parse_endpoint(fmt::format("10.200.0.{}:{}", it.group + 1, 2000 + n));
			it.key.service = service.addresses.front();
			it.service = service.id;
			it.service_name = service.name;
			state.by_endpoint[it.key.client] = n;
			state.callers.push_back(std::move(it));
		}
		for (std::size_t group = 0; group < load.groups.size(); ++group)
		{
			caller_group it{.first = first + group, .stride = load.groups.size(), .end = end, .method = load.method};
			it.members = (load.callers + it.stride - 1 - group) / it.stride;
			it.rate = load.rate * load.groups[group] / demand;
			if (it.members > 0)
			{
				schedule_request(w, it);
			}
		}
	}

	void receive_answer(world& w, const flow_key& key, std::span<const std::byte> datagram)
	{
		const auto caller = w.callers.by_endpoint.find(key.client);
		const auto parsed = parse_coap(datagram);
		if (caller == w.callers.by_endpoint.end() || !std::holds_alternative<coap_message>(parsed))
		{
			return;
		}
		const auto& message = std::get<coap_message>(parsed);
		if (message.is_empty())
		{
			for (auto& it : w.callers.requests)
			{
				it.acknowledged = it.acknowledged ||
								  (!it.done && it.caller == caller->second && it.message_id == message.message_id());
			}
			return;
		}
		if (message.type() == coap_type::confirmable)
		{
			send_from_caller(w, key, encode_coap_empty(coap_type::acknowledgement, message.message_id()));
		}
		const auto found = w.callers.by_token.find(token_key(caller->second, message.token()));
		if (found == w.callers.by_token.end())
		{
			return;
		}
		auto& it = w.callers.requests[found->second];
		auto& group = w.callers.groups[w.callers.callers[it.caller].group];
		const auto text = standin::text_of(message.payload());
		if (message.code() == coap_code_unauthorized)
		{
			handle_challenge(w, found->second, message);
		}
		else if (message.code() == coap_code_service_unavailable &&
				 (text.starts_with("not run") || text == shed_payload))
		{
			w.callers.reported_not_run.push_back(attempt_name(it));
			++group.refused;
			finish(w, it, w.counts.refused_not_run);
		}
		else if (message.code() == coap_code_gateway_timeout)
		{
			w.counts.cut_requests += w.callers.had_planned_stop && w.callers.only_planned_stops ? 1 : 0;
			append_trace(w, fmt::format("request {}: {}", it.name, text));
			finish(w, it, w.counts.outcome_unknown);
		}
		else
		{
			handle_answer(w, it, message);
		}
	}

	void count_request_violations(world& w)
	{
		w.counts.false_not_run = 0;
		for (const auto& it : w.callers.reported_not_run)
		{
			if (w.callers.executions.contains(it))
			{
				++w.counts.false_not_run;
				record_violation(w, fmt::format("{} was executed although the caller got \"not run\"", it));
			}
		}
		w.counts.duplicate_runs = 0;
		for (const auto& it : w.callers.requests)
		{
			std::uint32_t executions = 0;
			for (std::uint32_t attempt = 1; it.method == coap_code_post && attempt <= it.attempt; ++attempt)
			{
				const auto found = w.callers.executions.find(fmt::format("{}-{}", it.name, attempt));
				executions += found == w.callers.executions.end() ? 0 : found->second;
			}
			if (executions > 1)
			{
				++w.counts.duplicate_runs;
				record_violation(w, fmt::format("request {} was executed {} times", it.name, executions));
			}
		}
		w.counts.overloads = 0;
		for (const auto& it : w.processes)
		{
			w.counts.overloads += it->requests ? it->requests->upstream->overloads() : 0;
		}
	}

	double fairness(const world& w, const std::string& of)
	{
		double sum = 0;
		double squares = 0;
		double n = 0;
		// Under max-min fairness, groups whose demand exceeds the equal share get the same share of the served
		// requests. Rejections are therefore related to the demand above that share.
		double served = 0;
		for (const auto& [group, it] : w.callers.groups)
		{
			served += static_cast<double>(it.answered);
		}
		const double share = served / static_cast<double>(std::max<std::size_t>(w.callers.groups.size(), 1));
		for (const auto& [group, it] : w.callers.groups)
		{
			const auto answered = static_cast<double>(it.answered);
			const auto refused = static_cast<double>(it.requests - it.answered);
			const double beyond = static_cast<double>(it.requests) - share;
			const double value = of == "waiting"      ? it.total_wait_s / std::max(answered, 1.0)
								 : of == "rejections" ? refused / std::max(beyond, 1.0)
													  : answered;
			sum += value;
			squares += value * value;
			n += 1;
		}
		return squares == 0 ? 1 : sum * sum / (n * squares);
	}
}
