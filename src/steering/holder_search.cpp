#include "nutmegturn/steering/holder_search.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace nutmegturn::steering
{
	namespace
	{
		/// Searches without a result are kept this long for late answers.
		constexpr std::chrono::seconds search_retention{2};

		/// Number of agents that pass on the packets that one balancer wants to be tried.
		constexpr std::size_t spread_receivers = 4;

		[[nodiscard]] search_step end_search(holder_search& search, const flow_id& id, search_step::action what)
		{
			auto& it = search.pending.at(id);
			search_step step{
				.what = what, .flow = id, .packet = std::move(it.packet), .acknowledgement = it.acknowledgement};
			search.pending.erase(id);
			return step;
		}
	}

	bool is_full(const holder_search& search, const flow_id& id)
	{
		return search.pending.size() >= max_searches && !search.pending.contains(id);
	}

	bool begin_search(holder_search& search, const flow_id& id, std::span<const std::byte> packet,
					  std::uint32_t acknowledgement, std::vector<ipv4> asked, std::vector<ipv4> needed,
					  monotonic_time now)
	{
		if (is_full(search, id))
		{
			return false;
		}
		const auto found = search.pending.find(id);
		const bool denied = found != search.pending.end() && found->second.denied.has_value();
		const bool repeat = found == search.pending.end() || (!denied && now - found->second.begun >= search_timeout);
		auto& it = search.pending[id];
		it.packet.assign(packet.begin(), packet.end());
		it.acknowledgement = acknowledgement;
		it.tried.clear();
		if (!repeat)
		{
			return false;
		}
		it.untried.clear();
		it.recipients = asked;
		it.asked = std::move(asked);
		it.unheard = needed;
		it.unanswered = std::move(needed);
		it.begun = now;
		it.queried = now;
		it.denied.reset();
		search.unsent.push_back(id);
		return true;
	}

	std::map<ipv4, std::vector<flow_id>> take_queries(holder_search& search)
	{
		std::map<ipv4, std::vector<flow_id>> queries;
		for (const auto& id : std::exchange(search.unsent, {}))
		{
			const auto found = search.pending.find(id);
			if (found == search.pending.end())
			{
				continue;
			}
			for (const auto agent : found->second.recipients)
			{
				queries[agent].push_back(id);
			}
		}
		return queries;
	}

	bool repeat_queries(holder_search& search, monotonic_time now)
	{
		for (auto& [id, it] : search.pending)
		{
			if (it.denied || it.unheard.empty() || now - it.queried < search_timeout)
			{
				continue;
			}
			it.recipients = it.unheard;
			it.queried = now;
			search.unsent.push_back(id);
		}
		return !search.unsent.empty();
	}

	search_step take_answer(holder_search& search, ipv4 agent, const flow_answer& it, monotonic_time now, bool complete)
	{
		const auto found = search.pending.find(it.flow);
		if (found == search.pending.end())
		{
			return {};
		}
		std::erase(found->second.unheard, agent);
		switch (it.verdict)
		{
			case possession::held:
				return end_search(search, it.flow, search_step::action::deliver);
			case possession::unsure:
				if (found->second.untried.empty())
				{
					search.untried.push_back(it.flow);
				}
				found->second.untried.push_back(agent);
				return {.what = search_step::action::try_out,
						.flow = it.flow,
						.packet = {},
						.acknowledgement = found->second.acknowledgement};
			case possession::not_held:
				break;
		}
		const bool awaited = std::erase(found->second.unanswered, agent) > 0;
		if (awaited && found->second.unanswered.empty() && complete)
		{
			found->second.denied = now;
		}
		return {};
	}

	std::vector<holder_trial> take_trials(holder_search& search)
	{
		std::vector<holder_trial> trials;
		for (const auto& id : std::exchange(search.untried, {}))
		{
			const auto found = search.pending.find(id);
			if (found == search.pending.end())
			{
				continue;
			}
			auto& it = found->second;
			for (std::span<const ipv4> rest = it.untried; !rest.empty();)
			{
				const auto part = rest.first(std::min(rest.size(), max_spread));
				rest = rest.subspan(part.size());
				// The first to answer are the nearest; flows are spread over some of them.
				const auto nearest = std::min(part.size(), spread_receivers);
				trials.push_back({.receiver = part[hash_flow(id) % nearest],
								  .agents = {part.begin(), part.end()},
								  .packet = it.packet});
			}
			it.tried.insert(it.tried.end(), it.untried.begin(), it.untried.end());
			it.untried.clear();
		}
		return trials;
	}

	search_step take_holder(holder_search& search, const flow_id& id, ipv4 agent)
	{
		const auto found = search.pending.find(id);
		if (found == search.pending.end())
		{
			return {};
		}
		const bool delivered = std::ranges::find(found->second.tried, agent) != found->second.tried.end();
		auto step = end_search(search, id, search_step::action::deliver);
		return delivered ? search_step{} : step;
	}

	std::vector<flow_id> denied_flows(const holder_search& search)
	{
		std::vector<flow_id> flows;
		for (const auto& [id, it] : search.pending)
		{
			if (it.denied)
			{
				flows.push_back(id);
			}
		}
		return flows;
	}

	search_step confirm_denied(holder_search& search, const flow_id& id, const std::vector<ipv4>& needed,
							   monotonic_time now, bool current)
	{
		auto& it = search.pending.at(id);
		std::vector<ipv4> unasked;
		std::ranges::copy_if(needed, std::back_inserter(unasked),
							 [&it](ipv4 instance) { return std::ranges::find(it.asked, instance) == it.asked.end(); });
		if (!unasked.empty())
		{
			it.asked = unasked;
			it.recipients = unasked;
			it.unheard = unasked;
			it.unanswered = std::move(unasked);
			it.begun = now;
			it.queried = now;
			it.denied.reset();
			search.unsent.push_back(id);
			return {};
		}
		return current ? end_search(search, id, search_step::action::give_up) : search_step{};
	}

	std::vector<expired_search> forget_searches(holder_search& search, monotonic_time now)
	{
		std::vector<expired_search> expired;
		for (auto it = search.pending.begin(); it != search.pending.end();)
		{
			if (now - it->second.begun <= search_retention)
			{
				++it;
				continue;
			}
			expired.push_back({.flow = it->first, .unanswered = std::move(it->second.unanswered)});
			it = search.pending.erase(it);
		}
		return expired;
	}
}
