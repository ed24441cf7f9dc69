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

		constexpr std::chrono::milliseconds first_retransmission = 500ms;
		constexpr std::string_view not_run_prefix = "not run: ";
		constexpr std::string_view unknown_prefix = "outcome unknown: ";

		[[nodiscard]] std::uint64_t token_number(std::span<const std::byte> token)
		{
			std::uint64_t number = 0;
			if (token.size() == sizeof number)
			{
				std::memcpy(&number, token.data(), sizeof number);
			}
			return number;
		}
	}

	std::string request_callers::name_of(std::uint64_t id, std::uint32_t attempt)
	{
		return fmt::format("r{}.{}", id, attempt);
	}

	request_callers::request_callers(request_plan plan, std::uint64_t seed, runtime::poller& waiter)
		: plan_{std::move(plan)}, random_{seed}, waiter_{waiter}
	{
		for (std::size_t s = 0; s < plan_.services.size(); ++s)
		{
			for (std::size_t i = 0; i < plan_.callers; ++i)
			{
				callers_.emplace_back().service = s;
				open_socket(callers_.size() - 1);
			}
		}
	}

	void request_callers::open_socket(std::size_t index)
	{
		auto& it = callers_[index];
		auto fd = runtime::connect_udp(plan_.services[it.service].ep);
		if (!has_value(fd) || !waiter_.add(std::get<0>(fd).get(), label_flag | index))
		{
			fail("cannot open a caller's socket");
		}
		it.fd = std::move(std::get<0>(fd));
		it.port = runtime::local_endpoint(it.fd.get()).port;
		// Random, since another caller may have used this port a short time ago (RFC 7252, section 4.4).
		it.next_message_id = static_cast<std::uint16_t>(random_());
		it.renewed = load_clock::now();
		if (plan_.caller_life.count() > 0)
		{
			it.renewed += std::chrono::duration_cast<load_clock::duration>(plan_.caller_life * 2 * random_.uniform());
		}
	}

	void request_callers::renew_sockets(load_clock::time_point now)
	{
		if (plan_.caller_life.count() == 0)
		{
			return;
		}
		std::vector<bool> busy(callers_.size());
		for (const auto& [token, it] : open_)
		{
			busy[it.caller] = true;
		}
		for (std::size_t i = 0; i < callers_.size(); ++i)
		{
			if (!busy[i] && now >= callers_[i].renewed)
			{
				open_socket(i);
			}
		}
	}

	void request_callers::send(request& it)
	{
		auto& from = callers_[it.caller];
		if (it.message.empty())
		{
			// A new attempt is a new exchange: new token and message id, so that no earlier response matches it.
			std::uint64_t number = 0;
			while (number == 0)
			{
				number = random_();
			}
			it.message_id = from.next_message_id++;
			it.acknowledged = false;
			it.interval = first_retransmission;
			const std::string payload = name_of(it.id, it.attempt);
			it.message = encode_message(coap_type::confirmable, it.post ? coap_code_post : coap_code_get, it.message_id,
										std::as_bytes(std::span{&number, 1}), it.echo, bytes_of(payload));
			it.due = load_clock::now() + it.interval;
			::send(from.fd.get(), it.message.data(), it.message.size(), MSG_DONTWAIT);
			open_.emplace(number, std::move(it));
			return;
		}
		it.interval *= 2;
		it.due = load_clock::now() + it.interval;
		::send(from.fd.get(), it.message.data(), it.message.size(), MSG_DONTWAIT);
	}

	void request_callers::repeat_later(request it, std::chrono::milliseconds wait)
	{
		++counts_.retries;
		++it.attempt;
		it.message.clear();
		it.due = load_clock::now() + wait;
		// Waiting requests have tokens too, so that all open requests are in one table.
		open_.emplace(random_(), std::move(it));
	}

	void request_callers::tick()
	{
		const auto now = load_clock::now();
		renew_sockets(now);
		const double elapsed = std::chrono::duration<double>(now - started_).count();
		while (!frozen_ && static_cast<double>(counts_.made) < elapsed * plan_.per_second)
		{
			request it;
			it.id = ++counts_.made;
			it.post = random_.uniform() < plan_.post_share;
			it.caller = random_.below(callers_.size());
			it.deadline = now + plan_.deadline;
			if (it.post)
			{
				posts_.insert(it.id);
			}
			send(it);
		}
		std::vector<std::uint64_t> due;
		for (const auto& [token, it] : open_)
		{
			if (now >= it.deadline || (now >= it.due && !it.acknowledged))
			{
				due.push_back(token);
			}
		}
		for (const auto token : due)
		{
			auto& it = open_.at(token);
			if (now < it.deadline)
			{
				if (it.message.empty())
				{
					auto next = std::move(it);
					open_.erase(token);
					send(next);
				}
				else
				{
					send(it);
				}
				continue;
			}
			fmt::print(stderr, "{} request {} from {} got no result: {}, deadline passed at {}\n",
					   it.post ? "POST" : "GET", name_of(it.id, it.attempt),
					   to_string(runtime::local_endpoint(callers_[it.caller].fd.get())),
					   it.message.empty() ? "waited to be repeated"
					   : it.acknowledged  ? "acknowledged"
										  : "not acknowledged",
					   unix_ms());
			if (it.message.empty() && !it.unknown)
			{
				++counts_.refused;
			}
			else if (it.post || it.unknown)
			{
				++counts_.unknown;
				++counts_.reasons["no response within the deadline"];
			}
			else
			{
				++counts_.unanswered;
				++counts_.reasons["no response within the deadline"];
			}
			finished_[token] = {it.id, it.attempt, callers_[it.caller].port};
			open_.erase(token);
		}
	}

	void request_callers::read(std::uint64_t label)
	{
		const std::size_t index = label & ~label_flag;
		std::array<std::byte, 4'096> buf{};
		while (true)
		{
			const auto n = ::recv(callers_[index].fd.get(), buf.data(), buf.size(), MSG_DONTWAIT);
			if (n < 0)
			{
				return;
			}
			const auto parsed = parse_coap(std::span{buf}.first(static_cast<std::size_t>(n)));
			const auto* message = std::get_if<coap_message>(&parsed);
			if (message == nullptr)
			{
				++counts_.wrong;
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
				take_response(index, *message);
			}
			else if (message->type() == coap_type::reset)
			{
				take_reset(index, message->message_id());
			}
			else if (message->type() == coap_type::acknowledgement)
			{
				for (auto& [token, it] : open_)
				{
					it.acknowledged |= it.caller == index && it.message_id == message->message_id();
				}
			}
		}
	}

	void request_callers::take_reset(std::size_t from, std::uint16_t message_id)
	{
		const auto found = std::ranges::find_if(
			open_, [&](const auto& it)
			{ return it.second.caller == from && it.second.message_id == message_id && !it.second.message.empty(); });
		if (found == open_.end())
		{
			return;
		}
		++counts_.reasons["reset"];
		auto it = std::move(found->second);
		finished_[found->first] = {it.id, it.attempt, callers_[it.caller].port};
		open_.erase(found);
		if (it.post)
		{
			++counts_.unknown;
			return;
		}
		it.unknown = true;
		repeat_later(std::move(it), 100ms);
	}

	void request_callers::check_answer(std::uint64_t id, std::uint32_t attempt, std::size_t from,
									   const std::string& text)
	{
		const std::string sent = name_of(id, attempt);
		const auto first = text.find(' ');
		const auto second = text.find(' ', first + 1);
		const auto third = text.find(' ', second + 1);
		if (third == std::string::npos)
		{
			++counts_.wrong;
			return;
		}
		const auto service = text.substr(first + 1, second - first - 1);
		const auto upstream = text.substr(second + 1, third - second - 1);
		if (service != plan_.services[callers_[from].service].name)
		{
			++counts_.misdelivered;
		}
		if (text != expected_answer(sent, service, upstream))
		{
			++counts_.wrong;
			fmt::print(stderr, "request {} got the response \"{}\"\n", sent, text.substr(0, 80));
		}
	}

	void request_callers::take_response(std::size_t from, const coap_message& message)
	{
		const auto token = token_number(message.token());
		const std::string text = text_of(message.payload());
		constexpr std::uint8_t first_error = 0x80;
		const bool success = message.code() < first_error;
		const auto found = open_.find(token);
		if (found == open_.end() || found->second.caller != from)
		{
			const auto late = finished_.find(token);
			// A port may have been another caller's before; what was addressed to that one is discarded by its token.
			if (late == finished_.end() || late->second.port != callers_[from].port)
			{
				++counts_.wrong;
				fmt::print(stderr, "response {:#04x} \"{}\" to no request of this caller\n", message.code(),
						   text.substr(0, 80));
			}
			else if (success)
			{
				check_answer(late->second.id, late->second.attempt, from, text);
			}
			return;
		}
		auto it = std::move(found->second);
		open_.erase(found);
		finished_[token] = {it.id, it.attempt, callers_[it.caller].port};
		const std::string name = name_of(it.id, it.attempt);
		const bool in_time = load_clock::now() < it.deadline;
		if (success)
		{
			++counts_.answered;
			answered_.insert(name);
			check_answer(it.id, it.attempt, from, text);
			return;
		}
		if (message.code() == coap_code_unauthorized && !message.echo().empty())
		{
			not_run_.insert(name);
			it.echo.assign(message.echo().begin(), message.echo().end());
			++it.attempt;
			it.message.clear();
			send(it);
			return;
		}
		++counts_.reasons[text.substr(0, 80)];
		if (message.code() == coap_code_service_unavailable && text.starts_with(not_run_prefix))
		{
			not_run_.insert(name);
			if (in_time)
			{
				it.echo.clear();
				repeat_later(std::move(it), std::chrono::milliseconds{100 + random_.below(200)});
				return;
			}
			++counts_.refused;
			return;
		}
		if (!text.starts_with(unknown_prefix))
		{
			fmt::print(stderr, "response {:#04x} \"{}\" to request {} is neither a result nor a rejection\n",
					   message.code(), text, name);
			++counts_.wrong;
		}
		if (!it.post && in_time)
		{
			it.unknown = true;
			repeat_later(std::move(it), 100ms);
			return;
		}
		++counts_.unknown;
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
			if (posts_.contains(id))
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
		for (const auto& name : not_run_)
		{
			if (runs.contains(name))
			{
				++result.false_not_run;
				fmt::print(stderr, "request {} ran after the response \"not run\"\n", name);
			}
		}
		for (const auto& name : answered_)
		{
			if (!runs.contains(name))
			{
				++result.wrong;
				fmt::print(stderr, "request {} was answered but no upstream ran it\n", name);
			}
		}
		return result;
	}
}
