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
		constexpr std::size_t probe_relay_count = 4;

		[[nodiscard]] search_step end_search(holder_search& search, const flow_id& id, search_step::action what)
		{
			auto& it = search.pending.at(id);
			search_step step{
				.what = what, .flow = id, .packet = std::move(it.packet), .acknowledgement = it.acknowledgement};
			search.pending.erase(id);
			return step;
		}
	}

	bool search_table_full(const holder_search& search, const flow_id& id)
	{
		return search.pending.size() >= max_searches && !search.pending.contains(id);
	}

	bool begin_search(holder_search& search, const flow_id& id, std::span<const std::byte> packet,
					  std::uint32_t acknowledgement, std::vector<ipv4> candidates, std::vector<ipv4> required,
					  monotonic_time now)
	{
		if (search_table_full(search, id))
		{
			return false;
		}
		const auto found = search.pending.find(id);
		const bool denied = found != search.pending.end() && found->second.denied_at.has_value();
		const bool repeat =
			found == search.pending.end() || (!denied && now - found->second.started_at >= search_timeout);
		auto& it = search.pending[id];
		it.packet.assign(packet.begin(), packet.end());
		it.acknowledgement = acknowledgement;
		it.probed.clear();
		if (!repeat)
		{
			return false;
		}
		it.probe_targets.clear();
		it.query_recipients = candidates;
		it.candidates = std::move(candidates);
		it.unresponsive = required;
		it.awaiting_denial = std::move(required);
		it.started_at = now;
		it.last_query_at = now;
		it.denied_at.reset();
		search.unsent_queries.push_back(id);
		return true;
	}

	std::map<ipv4, std::vector<flow_id>> take_queries(holder_search& search)
	{
		std::map<ipv4, std::vector<flow_id>> queries;
		for (const auto& id : std::exchange(search.unsent_queries, {}))
		{
			const auto found = search.pending.find(id);
			if (found == search.pending.end())
			{
				continue;
			}
			for (const auto agent : found->second.query_recipients)
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
			if (it.denied_at || it.unresponsive.empty() || now - it.last_query_at < search_timeout)
			{
				continue;
			}
			it.query_recipients = it.unresponsive;
			it.last_query_at = now;
			search.unsent_queries.push_back(id);
		}
		return !search.unsent_queries.empty();
	}

	search_step handle_query_answer(holder_search& search, ipv4 agent, const flow_answer& it, monotonic_time now,
									bool complete)
	{
		const auto found = search.pending.find(it.flow);
		if (found == search.pending.end())
		{
			return {};
		}
		std::erase(found->second.unresponsive, agent);
		switch (it.presence)
		{
			case flow_presence::held:
				return end_search(search, it.flow, search_step::action::deliver);
			case flow_presence::unknown:
				if (found->second.probe_targets.empty())
				{
					search.unsent_probes.push_back(it.flow);
				}
				found->second.probe_targets.push_back(agent);
				return {.what = search_step::action::probe,
						.flow = it.flow,
						.packet = {},
						.acknowledgement = found->second.acknowledgement};
			case flow_presence::not_held:
				break;
		}
		const bool awaited = std::erase(found->second.awaiting_denial, agent) > 0;
		if (awaited && found->second.awaiting_denial.empty() && complete)
		{
			found->second.denied_at = now;
		}
		return {};
	}

	std::vector<holder_probe> take_probes(holder_search& search)
	{
		std::vector<holder_probe> probes;
		for (const auto& id : std::exchange(search.unsent_probes, {}))
		{
			const auto found = search.pending.find(id);
			if (found == search.pending.end())
			{
				continue;
			}
			auto& it = found->second;
			for (std::span<const ipv4> rest = it.probe_targets; !rest.empty();)
			{
				const auto part = rest.first(std::min(rest.size(), max_probe_targets));
				rest = rest.subspan(part.size());
				// The first to answer are the nearest; flows are spread over some of them.
				const auto nearest = std::min(part.size(), probe_relay_count);
				probes.push_back({.relay = part[hash_flow(id) % nearest],
								  .agents = {part.begin(), part.end()},
								  .packet = it.packet});
			}
			it.probed.insert(it.probed.end(), it.probe_targets.begin(), it.probe_targets.end());
			it.probe_targets.clear();
		}
		return probes;
	}

	search_step finish_search(holder_search& search, const flow_id& id, ipv4 agent)
	{
		const auto found = search.pending.find(id);
		if (found == search.pending.end())
		{
			return {};
		}
		const bool delivered = std::ranges::find(found->second.probed, agent) != found->second.probed.end();
		auto step = end_search(search, id, search_step::action::deliver);
		return delivered ? search_step{} : step;
	}

	std::vector<flow_id> denied_flows(const holder_search& search)
	{
		std::vector<flow_id> flows;
		for (const auto& [id, it] : search.pending)
		{
			if (it.denied_at)
			{
				flows.push_back(id);
			}
		}
		return flows;
	}

	search_step confirm_denied(holder_search& search, const flow_id& id, const std::vector<ipv4>& required,
							   monotonic_time now, bool current)
	{
		auto& it = search.pending.at(id);
		std::vector<ipv4> unasked;
		std::ranges::copy_if(required, std::back_inserter(unasked),
							 [&it](ipv4 instance)
							 { return std::ranges::find(it.candidates, instance) == it.candidates.end(); });
		if (!unasked.empty())
		{
			it.candidates = unasked;
			it.query_recipients = unasked;
			it.unresponsive = unasked;
			it.awaiting_denial = std::move(unasked);
			it.started_at = now;
			it.last_query_at = now;
			it.denied_at.reset();
			search.unsent_queries.push_back(id);
			return {};
		}
		return current ? end_search(search, id, search_step::action::reset) : search_step{};
	}

	std::vector<expired_search> expire_searches(holder_search& search, monotonic_time now)
	{
		std::vector<expired_search> expired;
		for (auto it = search.pending.begin(); it != search.pending.end();)
		{
			if (now - it->second.started_at <= search_retention)
			{
				++it;
				continue;
			}
			expired.push_back({.flow = it->first, .unanswered = std::move(it->second.awaiting_denial)});
			it = search.pending.erase(it);
		}
		return expired;
	}
}
