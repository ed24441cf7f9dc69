#include "requests.hpp"

#include "../common/coap_request.hpp"
#include "../common/program.hpp"

#include <algorithm>
#include <array>
#include <cstring>

namespace nutmegturn::standin
{
	namespace
	{
		using namespace std::chrono_literals;

		constexpr std::chrono::milliseconds initial_retransmission_timeout = 500ms;
		constexpr std::string_view not_run_prefix = "not run: ";
		constexpr std::string_view unknown_prefix = "outcome unknown: ";

		[[nodiscard]] std::uint64_t token_value(std::span<const std::byte> token)
		{
			std::uint64_t number = 0;
			if (token.size() == sizeof number)
			{
				std::memcpy(&number, token.data(), sizeof number);
			}
			return number;
		}
	}

	std::string request_callers::attempt_name(std::uint64_t id, std::uint32_t attempt)
	{
		return fmt::format("r{}.{}", id, attempt);
	}

	request_callers::request_callers(request_options options, std::uint64_t seed, runtime::poller& poller)
		: options_{std::move(options)}, random_{seed}, poller_{poller}
	{
		for (std::size_t s = 0; s < options_.services.size(); ++s)
		{
			for (std::size_t i = 0; i < options_.callers; ++i)
			{
				callers_.emplace_back().service = s;
				open_socket(callers_.size() - 1);
			}
		}
	}

	void request_callers::open_socket(std::size_t index)
	{
		auto& caller = callers_[index];
		auto fd = runtime::connect_udp(options_.services[caller.service].ep);
		if (!has_value(fd) || !poller_.add(std::get<0>(fd).get(), label_flag | index))
		{
			exit_with_error("cannot open the UDP socket of a caller");
		}
		caller.fd = std::move(std::get<0>(fd));
		caller.port = runtime::local_endpoint(caller.fd.get()).port;
		// Starts at random, since another caller may have used this port recently (RFC 7252, section 4.4).
		caller.next_message_id = static_cast<std::uint16_t>(random_());
		caller.replace_at = load_clock::now();
		if (options_.socket_lifetime.count() > 0)
		{
			caller.replace_at +=
				std::chrono::duration_cast<load_clock::duration>(options_.socket_lifetime * 2 * random_.uniform());
		}
	}

	void request_callers::replace_sockets(load_clock::time_point now)
	{
		if (options_.socket_lifetime.count() == 0)
		{
			return;
		}
		std::vector<bool> busy(callers_.size());
		for (const auto& [token, request] : pending_)
		{
			busy[request.caller] = true;
		}
		for (std::size_t i = 0; i < callers_.size(); ++i)
		{
			if (!busy[i] && now >= callers_[i].replace_at)
			{
				open_socket(i);
			}
		}
	}

	void request_callers::send(pending_request& request)
	{
		auto& caller = callers_[request.caller];
		if (request.message.empty())
		{
			// Each attempt is a new exchange with a new token and message id, so that responses to earlier attempts do
			// not match it.
			std::uint64_t token = 0;
			while (token == 0)
			{
				token = random_();
			}
			request.message_id = caller.next_message_id++;
			request.acknowledged = false;
			request.retransmission_timeout = initial_retransmission_timeout;
			const std::string payload = attempt_name(request.id, request.attempt);
			request.message = encode_message(coap_type::confirmable, request.post ? coap_code_post : coap_code_get,
											 request.message_id, std::as_bytes(std::span{&token, 1}), request.echo,
											 bytes_of(payload));
			request.next_send = load_clock::now() + request.retransmission_timeout;
			::send(caller.fd.get(), request.message.data(), request.message.size(), MSG_DONTWAIT);
			pending_.emplace(token, std::move(request));
			return;
		}
		request.retransmission_timeout *= 2;
		request.next_send = load_clock::now() + request.retransmission_timeout;
		::send(caller.fd.get(), request.message.data(), request.message.size(), MSG_DONTWAIT);
	}

	void request_callers::schedule_retry(pending_request request, std::chrono::milliseconds delay)
	{
		++counts_.retries;
		++request.attempt;
		request.message.clear();
		request.next_send = load_clock::now() + delay;
		// A request that waits for its retry gets a placeholder token, so that one table holds all pending requests.
		pending_.emplace(random_(), std::move(request));
	}

	void request_callers::tick()
	{
		const auto now = load_clock::now();
		replace_sockets(now);
		const double elapsed = std::chrono::duration<double>(now - started_).count();
		while (!frozen_ && static_cast<double>(counts_.started) < elapsed * options_.per_second)
		{
			pending_request request;
			request.id = ++counts_.started;
			request.post = random_.uniform() < options_.post_share;
			request.caller = random_.below(callers_.size());
			request.deadline = now + options_.deadline;
			if (request.post)
			{
				post_ids_.insert(request.id);
			}
			send(request);
		}
		std::vector<std::uint64_t> due;
		for (const auto& [token, request] : pending_)
		{
			if (now >= request.deadline || (now >= request.next_send && !request.acknowledged))
			{
				due.push_back(token);
			}
		}
		for (const auto token : due)
		{
			auto& request = pending_.at(token);
			if (now < request.deadline)
			{
				if (request.message.empty())
				{
					auto retry = std::move(request);
					pending_.erase(token);
					send(retry);
				}
				else
				{
					send(request);
				}
				continue;
			}
			fmt::print(stderr, "{} request {} from {} has no result: {}, deadline passed at {}\n",
					   request.post ? "POST" : "GET", attempt_name(request.id, request.attempt),
					   to_string(runtime::local_endpoint(callers_[request.caller].fd.get())),
					   request.message.empty() ? "waiting for its retry"
					   : request.acknowledged  ? "acknowledged"
											   : "not acknowledged",
					   unix_ms());
			if (request.message.empty() && !request.may_have_run)
			{
				++counts_.refused;
			}
			else if (request.post || request.may_have_run)
			{
				++counts_.outcome_unknown;
				++counts_.reasons["no response within the deadline"];
			}
			else
			{
				++counts_.unanswered;
				++counts_.reasons["no response within the deadline"];
			}
			finished_attempts_[token] = {request.id, request.attempt, callers_[request.caller].port};
			pending_.erase(token);
		}
	}

	void request_callers::read(std::uint64_t label)
	{
		const std::size_t index = label & ~label_flag;
		std::array<std::byte, 4'096> buf{};
		while (true)
		{
			const auto size = ::recv(callers_[index].fd.get(), buf.data(), buf.size(), MSG_DONTWAIT);
			if (size < 0)
			{
				return;
			}
			const auto parsed = parse_coap(std::span{buf}.first(static_cast<std::size_t>(size)));
			const auto* message = std::get_if<coap_message>(&parsed);
			if (message == nullptr)
			{
				++counts_.wrong_answers;
				continue;
			}
			if (message->type() == coap_type::confirmable)
			{
				const auto ack =
					encode_message(coap_type::acknowledgement, coap_code_empty, message->message_id(), {}, {}, {});
				::send(callers_[index].fd.get(), ack.data(), ack.size(), MSG_DONTWAIT);
			}
			if (message->is_response())
			{
				handle_response(index, *message);
			}
			else if (message->type() == coap_type::reset)
			{
				handle_reset(index, message->message_id());
			}
			else if (message->type() == coap_type::acknowledgement)
			{
				for (auto& [token, request] : pending_)
				{
					request.acknowledged |= request.caller == index && request.message_id == message->message_id();
				}
			}
		}
	}

	void request_callers::handle_reset(std::size_t caller, std::uint16_t message_id)
	{
		const auto found = std::ranges::find_if(pending_,
												[&](const auto& entry) {
													return entry.second.caller == caller &&
														   entry.second.message_id == message_id &&
														   !entry.second.message.empty();
												});
		if (found == pending_.end())
		{
			return;
		}
		++counts_.reasons["reset"];
		auto request = std::move(found->second);
		finished_attempts_[found->first] = {request.id, request.attempt, callers_[request.caller].port};
		pending_.erase(found);
		if (request.post)
		{
			++counts_.outcome_unknown;
			return;
		}
		request.may_have_run = true;
		schedule_retry(std::move(request), 100ms);
	}

	void request_callers::check_response(std::uint64_t id, std::uint32_t attempt, std::size_t caller,
										 const std::string& text)
	{
		const std::string name = attempt_name(id, attempt);
		const auto first_space = text.find(' ');
		const auto second_space = text.find(' ', first_space + 1);
		const auto third_space = text.find(' ', second_space + 1);
		if (third_space == std::string::npos)
		{
			++counts_.wrong_answers;
			return;
		}
		const auto service = text.substr(first_space + 1, second_space - first_space - 1);
		const auto upstream = text.substr(second_space + 1, third_space - second_space - 1);
		if (service != options_.services[callers_[caller].service].name)
		{
			++counts_.misdelivered;
		}
		if (text != expected_response_payload(name, service, upstream))
		{
			++counts_.wrong_answers;
			fmt::print(stderr, "request {} received the unexpected response \"{}\"\n", name, text.substr(0, 80));
		}
	}

	void request_callers::handle_response(std::size_t caller, const coap_message& message)
	{
		const auto token = token_value(message.token());
		const std::string text = text_of(message.payload());
		constexpr std::uint8_t first_error = 0x80;
		const bool success = message.code() < first_error;
		const auto found = pending_.find(token);
		if (found == pending_.end() || found->second.caller != caller)
		{
			const auto late = finished_attempts_.find(token);
			// The port may have belonged to another caller before; responses to that caller are recognized by their
			// token and discarded.
			if (late == finished_attempts_.end() || late->second.port != callers_[caller].port)
			{
				++counts_.wrong_answers;
				fmt::print(stderr, "response {:#04x} \"{}\" matches no request of its caller\n", message.code(),
						   text.substr(0, 80));
			}
			else if (success)
			{
				check_response(late->second.id, late->second.attempt, caller, text);
			}
			return;
		}
		auto request = std::move(found->second);
		pending_.erase(found);
		finished_attempts_[token] = {request.id, request.attempt, callers_[request.caller].port};
		const std::string name = attempt_name(request.id, request.attempt);
		const bool in_time = load_clock::now() < request.deadline;
		if (success)
		{
			++counts_.answered;
			answered_attempts_.insert(name);
			check_response(request.id, request.attempt, caller, text);
			return;
		}
		if (message.code() == coap_code_unauthorized && !message.echo().empty())
		{
			not_run_attempts_.insert(name);
			request.echo.assign(message.echo().begin(), message.echo().end());
			++request.attempt;
			request.message.clear();
			send(request);
			return;
		}
		++counts_.reasons[text.substr(0, 80)];
		if (message.code() == coap_code_service_unavailable && text.starts_with(not_run_prefix))
		{
			not_run_attempts_.insert(name);
			if (in_time)
			{
				request.echo.clear();
				schedule_retry(std::move(request), std::chrono::milliseconds{100 + random_.below(200)});
				return;
			}
			++counts_.refused;
			return;
		}
		if (!text.starts_with(unknown_prefix))
		{
			fmt::print(stderr, "response {:#04x} \"{}\" to request {} is neither a result nor a known rejection\n",
					   message.code(), text, name);
			++counts_.wrong_answers;
		}
		if (!request.post && in_time)
		{
			request.may_have_run = true;
			schedule_retry(std::move(request), 100ms);
			return;
		}
		++counts_.outcome_unknown;
	}

	request_counts request_callers::counts(const std::map<std::string, std::uint64_t>& runs, bool complete) const
	{
		auto result = counts_;
		if (!complete)
		{
			return result;
		}
		std::map<std::uint64_t, std::uint64_t> runs_of_post;
		for (const auto& [name, n] : runs)
		{
			const auto id = std::strtoull(name.c_str() + 1, nullptr, 10);
			if (post_ids_.contains(id))
			{
				runs_of_post[id] += n;
			}
		}
		for (const auto& [id, n] : runs_of_post)
		{
			if (n > 1)
			{
				result.duplicate_runs += n - 1;
				fmt::print(stderr, "request r{} ran {} times\n", id, n);
			}
		}
		for (const auto& name : not_run_attempts_)
		{
			if (runs.contains(name))
			{
				++result.false_not_run;
				fmt::print(stderr, "request {} ran after the response \"not run\"\n", name);
			}
		}
		for (const auto& name : answered_attempts_)
		{
			if (!runs.contains(name))
			{
				++result.wrong_answers;
				fmt::print(stderr, "request {} was answered, but no upstream reported a run\n", name);
			}
		}
		return result;
	}
}
