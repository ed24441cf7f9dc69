#include "flows.hpp"

#include "../common/program.hpp"

#include <algorithm>
#include <array>

namespace nutmegturn::standin
{
	namespace
	{
		/// Time without an answer after which an established flow counts as unanswered.
		constexpr std::chrono::seconds unanswered_timeout{3};
	}

	flow_callers::flow_callers(flow_options options, std::uint64_t seed, runtime::poller& poller)
		: options_{std::move(options)}, random_{seed}, poller_{poller},
		  flows_(options_.flows * options_.services.size()), opened_(options_.services.size())
	{
	}

	void flow_callers::open(flow_state& flow, std::size_t service, bool is_short)
	{
		auto fd = runtime::connect_udp(options_.services[service].ep);
		if (!has_value(fd))
		{
			exit_with_error(std::get<1>(fd));
		}
		const auto now = load_clock::now();
		flow = flow_state{};
		flow.fd = std::move(std::get<0>(fd));
		flow.service = service;
		flow.is_short = is_short;
		flow.id = ++counts_.opened;
		flow.next_send = now;
		flow.last_answer = now;
		flow.ends_at = load_clock::time_point::max();
		if (is_short)
		{
			flow.ends_at =
				now + std::chrono::duration_cast<load_clock::duration>(options_.short_lifetime * 2 * random_.uniform());
		}
		if (!poller_.add(flow.fd.get(), static_cast<std::uint64_t>(&flow - flows_.data())))
		{
			exit_with_error("epoll_ctl failed for a flow");
		}
	}

	void flow_callers::tick()
	{
		const auto now = load_clock::now();
		const double elapsed = std::chrono::duration<double>(now - started_).count();
		for (std::size_t service = 0; service < opened_.size() && !frozen_; ++service)
		{
			const auto wanted =
				std::min(options_.flows, static_cast<std::size_t>(elapsed * options_.opened_per_second));
			for (; opened_[service] < wanted; ++opened_[service])
			{
				open(flows_[service * options_.flows + opened_[service]], service,
					 random_.uniform() < options_.short_share);
			}
		}
		for (auto& flow : flows_)
		{
			if (!flow.fd)
			{
				continue;
			}
			if (now >= flow.ends_at && !frozen_)
			{
				open(flow, flow.service, true);
			}
			if (now < flow.next_send)
			{
				continue;
			}
			flow.next_send = now + options_.interval;
			const std::string text = fmt::format("{} {}", flow.id, ++flow.sequence);
			counts_.sent += ::send(flow.fd.get(), text.data(), text.size(), MSG_DONTWAIT) > 0 ? 1U : 0U;
		}
	}

	void flow_callers::read(std::uint64_t label)
	{
		auto& flow = flows_[label];
		std::array<char, 2'048> buf{};
		while (true)
		{
			const auto size = ::recv(flow.fd.get(), buf.data(), buf.size(), MSG_DONTWAIT);
			if (size < 0)
			{
				return;
			}
			handle_answer(flow, {buf.data(), static_cast<std::size_t>(size)});
		}
	}

	bool flow_callers::is_excused(std::string_view upstream) const
	{
		return std::ranges::any_of(excused_zones_, [&](const auto& zone) { return upstream.starts_with(zone + '/'); });
	}

	void flow_callers::handle_answer(flow_state& flow, std::string_view answer)
	{
		// Format: "SERVICE UPSTREAM NUMBER\nID SEQUENCE".
		const auto line_end = answer.find('\n');
		const auto space = answer.find(' ');
		if (line_end == std::string_view::npos || space > line_end)
		{
			++counts_.wrong_answers;
			return;
		}
		const auto service = answer.substr(0, space);
		const auto upstream = answer.substr(space + 1, line_end - space - 1);
		std::uint64_t id = 0;
		std::uint64_t sequence = 0;
		if (std::sscanf(std::string{answer.substr(line_end + 1)}.c_str(), "%lu %lu", &id, &sequence) != 2 ||
			id != flow.id || sequence > flow.sequence)
		{
			++counts_.wrong_answers;
			return;
		}
		if (service != options_.services[flow.service].name)
		{
			++counts_.misdelivered;
			return;
		}
		++counts_.answered;
		const auto now = load_clock::now();
		// A reordered answer that arrives after a newer one does not tell which upstream has the flow now.
		if (sequence <= flow.highest_answered)
		{
			return;
		}
		flow.highest_answered = sequence;
		if (!flow.upstream.empty())
		{
			counts_.longest_silence = std::max(
				counts_.longest_silence, std::chrono::duration_cast<std::chrono::milliseconds>(now - flow.last_answer));
		}
		flow.last_answer = now;
		if (flow.upstream == upstream)
		{
			return;
		}
		if (!flow.upstream.empty())
		{
			if (is_excused(flow.upstream))
			{
				++counts_.given_up;
			}
			else
			{
				++counts_.broken;
				fmt::print(stderr, "flow {} broke: moved from {} to {}\n", flow.id, flow.upstream, upstream);
			}
		}
		flow.upstream = upstream;
	}

	std::size_t flow_callers::active() const
	{
		const auto now = load_clock::now();
		return static_cast<std::size_t>(std::ranges::count_if(
			flows_, [&](const flow_state& flow)
			{ return flow.fd && !flow.upstream.empty() && now - flow.last_answer < std::chrono::seconds{1}; }));
	}

	flow_counts flow_callers::counts(const std::map<std::string, std::set<std::string>>& upstreams) const
	{
		auto result = counts_;
		const auto now = load_clock::now();
		std::map<std::string, std::map<std::string, std::size_t>> flows_by_upstream;
		for (const auto& service : options_.services)
		{
			const auto it = upstreams.find(service.name);
			if (it != upstreams.end())
			{
				for (const auto& name : it->second)
				{
					flows_by_upstream[service.name][name] = 0;
				}
			}
		}
		for (const auto& flow : flows_)
		{
			if (!flow.fd)
			{
				continue;
			}
			if (flow.upstream.empty())
			{
				++result.never_open;
			}
			else if (now - flow.last_answer > unanswered_timeout)
			{
				++result.unanswered;
			}
			else
			{
				++flows_by_upstream[options_.services[flow.service].name]
								   [flow.upstream.substr(0, flow.upstream.find(' '))];
			}
		}
		for (const auto& [service, counts] : flows_by_upstream)
		{
			std::size_t sum = 0;
			std::size_t largest = 0;
			for (const auto& [name, n] : counts)
			{
				sum += n;
				largest = std::max(largest, n);
			}
			if (sum > 0)
			{
				const double mean = static_cast<double>(sum) / static_cast<double>(counts.size());
				result.imbalance = std::max(result.imbalance, static_cast<double>(largest) / mean);
			}
		}
		return result;
	}
}
