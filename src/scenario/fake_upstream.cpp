#include "scenario/fake_upstream.hpp"

#include "common/coap_request.hpp"

#include <algorithm>
#include <utility>

namespace nutmegturn::scenario
{
	namespace
	{
		using seconds = std::chrono::duration<double>;

		constexpr std::uint8_t coap_code_content = 0x45;
		/// Ratio of load to capacity above which requests are shed.
		constexpr double shed_factor = 2;
		/// Ratio of load to capacity above which the upstream is overloaded; an excess of a fraction of a request is
		/// tolerated.
		constexpr double overload_factor = 1.2;
	}

	fake_upstream::fake_upstream(std::string service, std::string name, const upstream_model& model,
								 execution_counts& executions, reply_function send_reply, schedule_function schedule)
		: service_{std::move(service)}, name_{std::move(name)}, model_{model}, executions_{executions},
		  send_reply_{std::move(send_reply)}, schedule_{std::move(schedule)}
	{
	}

	double fake_upstream::capacity(monotonic_time now) const
	{
		const auto warm = std::min(1.0, seconds{now - cold_since_} / seconds{model_.warm_up});
		const auto share = model_.cold_share + (1 - model_.cold_share) * std::max(0.0, warm);
		return std::max(1.0, model_.slots * share);
	}

	void fake_upstream::advance(monotonic_time now)
	{
		const double elapsed = seconds{now - advanced_}.count();
		advanced_ = now;
		work_slot_seconds_ += elapsed * static_cast<double>(running_);
		if (static_cast<double>(running_) <= capacity(now) * overload_factor)
		{
			overloaded_s_ = 0;
			return;
		}
		overloaded_s_ += elapsed;
		if (overloaded_s_ > seconds{model_.crash_after_overload}.count())
		{
			++overloads_;
			restart(now);
		}
	}

	void fake_upstream::restart(monotonic_time now)
	{
		++generation_;
		running_ = 0;
		overloaded_s_ = 0;
		exchanges_.clear();
		cold_since_ = now;
		advanced_ = now;
	}

	void fake_upstream::on_coap_datagram(std::uint64_t source, std::span<const std::byte> datagram, monotonic_time now)
	{
		advance(now);
		const auto parsed = parse_coap(datagram);
		if (silent_ || !std::holds_alternative<coap_message>(parsed))
		{
			return;
		}
		const auto& request = std::get<coap_message>(parsed);
		if (!request.is_request())
		{
			return;
		}
		const auto token = request.token();
		const auto payload = standin::text_of(request.payload());
		const auto exchange = std::pair{source, request.message_id()};
		if (const auto it = exchanges_.find(exchange); it != exchanges_.end())
		{
			if (!it->second.empty())
			{
				send_reply_(source, it->second);
			}
			return;
		}
		const double load = static_cast<double>(running_) + 1;
		if (load > shed_factor * capacity(now))
		{
			auto shed = standin::encode_message(coap_type::acknowledgement, coap_code_service_unavailable,
												request.message_id(), token, {}, standin::bytes_of("busy"));
			send_reply_(source, std::move(shed));
			return;
		}
		++running_;
		++executions_[payload];
		const auto text = standin::expected_response_payload(payload, service_, name_);
		exchanges_[exchange] = {};
		auto response = standin::encode_message(coap_type::acknowledgement, coap_code_content, request.message_id(),
												token, {}, standin::bytes_of(text));
		const auto slowdown = std::max(1.0, load / capacity(now));
		const auto delay =
			std::chrono::duration_cast<monotonic_clock::duration>(seconds{model_.service_time} * slowdown);
		schedule_(delay,
				  [this, generation = generation_, source, exchange, response = std::move(response), done = now + delay]
				  {
					  if (generation == generation_)
					  {
						  exchanges_[exchange] = response;
					  }
					  finish(generation, source, response, done);
				  });
	}

	void fake_upstream::finish(std::uint64_t generation, std::uint64_t source, const std::vector<std::byte>& response,
							   monotonic_time now)
	{
		advance(now);
		if (generation != generation_)
		{
			return;
		}
		--running_;
		if (!silent_)
		{
			send_reply_(source, response);
		}
	}
}
