#include "flows.hpp"

#include "../common/program.hpp"

#include <algorithm>
#include <array>

namespace nutmegturn::standin
{
	namespace
	{
		/// Time without an answer after which an established flow counts as lost.
		constexpr std::chrono::seconds silence{3};
	}

	flow_callers::flow_callers(flow_plan plan, std::uint64_t seed, runtime::poller& waiter)
		: plan_{std::move(plan)}, random_{seed}, waiter_{waiter}, flows_(plan_.flows * plan_.services.size()),
		  open_(plan_.services.size())
	{
	}

	void flow_callers::open(flow& it, std::size_t service, bool is_short)
	{
		auto fd = runtime::connect_udp(plan_.services[service].ep);
		if (!has_value(fd))
		{
			fail(std::get<1>(fd));
		}
		const auto now = load_clock::now();
		it = flow{};
		it.fd = std::move(std::get<0>(fd));
		it.service = service;
		it.is_short = is_short;
		it.id = ++counts_.opened;
		it.next_send = now;
		it.last_answer = now;
		it.ends = load_clock::time_point::max();
		if (is_short)
		{
			it.ends = now + std::chrono::duration_cast<load_clock::duration>(plan_.short_life * 2 * random_.uniform());
		}
		if (!waiter_.add(it.fd.get(), static_cast<std::uint64_t>(&it - flows_.data())))
		{
			fail("epoll_ctl failed for a flow");
		}
	}

	void flow_callers::tick()
	{
		const auto now = load_clock::now();
		const double elapsed = std::chrono::duration<double>(now - started_).count();
		for (std::size_t s = 0; s < open_.size() && !frozen_; ++s)
		{
			const auto wanted = std::min(plan_.flows, static_cast<std::size_t>(elapsed * plan_.opened_per_second));
			for (; open_[s] < wanted; ++open_[s])
			{
				open(flows_[s * plan_.flows + open_[s]], s, random_.uniform() < plan_.short_share);
			}
		}
		for (auto& it : flows_)
		{
			if (!it.fd)
			{
				continue;
			}
			if (now >= it.ends && !frozen_)
			{
				open(it, it.service, true);
			}
			if (now < it.next_send)
			{
				continue;
			}
			it.next_send = now + plan_.interval;
			const std::string text = fmt::format("{} {}", it.id, ++it.sequence);
			counts_.sent += ::send(it.fd.get(), text.data(), text.size(), MSG_DONTWAIT) > 0 ? 1U : 0U;
		}
	}

	void flow_callers::read(std::uint64_t label)
	{
		auto& it = flows_[label];
		std::array<char, 2'048> buf{};
		while (true)
		{
			const auto n = ::recv(it.fd.get(), buf.data(), buf.size(), MSG_DONTWAIT);
			if (n < 0)
			{
				return;
			}
			take_answer(it, {buf.data(), static_cast<std::size_t>(n)});
		}
	}

	bool flow_callers::is_excused(std::string_view upstream) const
	{
		return std::ranges::any_of(excused_zones_, [&](const auto& zone) { return upstream.starts_with(zone + '/'); });
	}

	void flow_callers::take_answer(flow& it, std::string_view answer)
	{
		// "SERVICE UPSTREAM NUMBER\nID SEQUENCE"
		const auto line = answer.find('\n');
		const auto space = answer.find(' ');
		if (line == std::string_view::npos || space > line)
		{
			++counts_.wrong;
			return;
		}
		const auto service = answer.substr(0, space);
		const auto upstream = answer.substr(space + 1, line - space - 1);
		std::uint64_t id = 0;
		std::uint64_t sequence = 0;
		if (std::sscanf(std::string{answer.substr(line + 1)}.c_str(), "%lu %lu", &id, &sequence) != 2 || id != it.id ||
			sequence > it.sequence)
		{
			++counts_.wrong;
			return;
		}
		if (service != plan_.services[it.service].name)
		{
			++counts_.misdelivered;
			return;
		}
		++counts_.answered;
		const auto now = load_clock::now();
		// An answer that was overtaken says nothing new about where the flow is.
		if (sequence <= it.newest_answer)
		{
			return;
		}
		it.newest_answer = sequence;
		if (!it.upstream.empty())
		{
			counts_.longest_silence = std::max(
				counts_.longest_silence, std::chrono::duration_cast<std::chrono::milliseconds>(now - it.last_answer));
		}
		it.last_answer = now;
		if (it.upstream == upstream)
		{
			return;
		}
		if (!it.upstream.empty())
		{
			if (is_excused(it.upstream))
			{
				++counts_.given_up;
			}
			else
			{
				++counts_.broken;
				fmt::print(stderr, "flow {} broke: {} -> {}\n", it.id, it.upstream, upstream);
			}
		}
		it.upstream = upstream;
	}

	std::size_t flow_callers::active() const
	{
		const auto now = load_clock::now();
		return static_cast<std::size_t>(std::ranges::count_if(
			flows_, [&](const flow& it)
			{ return it.fd && !it.upstream.empty() && now - it.last_answer < std::chrono::seconds{1}; }));
	}

	flow_counts flow_callers::counts(const std::map<std::string, std::set<std::string>>& upstreams) const
	{
		auto result = counts_;
		const auto now = load_clock::now();
		std::map<std::string, std::map<std::string, std::size_t>> open;
		for (const auto& service : plan_.services)
		{
			const auto it = upstreams.find(service.name);
			if (it != upstreams.end())
			{
				for (const auto& name : it->second)
				{
					open[service.name][name] = 0;
				}
			}
		}
		for (const auto& it : flows_)
		{
			if (!it.fd)
			{
				continue;
			}
			if (it.upstream.empty())
			{
				++result.never_open;
			}
			else if (now - it.last_answer > silence)
			{
				++result.unanswered;
			}
			else
			{
				++open[plan_.services[it.service].name][it.upstream.substr(0, it.upstream.find(' '))];
			}
		}
		for (const auto& [service, counts] : open)
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
