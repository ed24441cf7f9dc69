#include "nutmegturn/steering/holder_search.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace nutmegturn::steering
{
	namespace
	{
		/// How long searches without a result are kept for late answers.
		constexpr std::chrono::seconds search_retention{2};

		/// Number of agents over which the relaying of one balancer's probes is spread.
		constexpr std::size_t probe_relay_count = 4;

		[[nodiscard]] search_step end_search(holder_search& search, const flow_id& id, search_step::action what)
		{
			auto& pending = search.pending.at(id);
			search_step step{.what = what, .flow = id, .packets = {}, .acknowledgement = pending.acknowledgement};
			for (auto& it : pending.packets)
			{
				step.packets.push_back(std::move(it.bytes));
			}
			search.pending.erase(id);
			return step;
		}

		/// Adds a packet unless it is a retransmission of one that waits already.
		void add_packet(pending_search& pending, std::span<const std::byte> packet)
		{
			if (std::ranges::any_of(pending.packets,
									[packet](const auto& it) { return std::ranges::equal(it.bytes, packet); }))
			{
				return;
			}
			if (pending.packets.size() >= max_search_packets)
			{
				pending.packets.erase(pending.packets.begin());
			}
			pending.packets.push_back({.bytes = {packet.begin(), packet.end()}, .probed = false});
		}

		/// Queues a query to the search's recipients.
		/// \param required	Instances whose denial this round waits for.
		void start_round(holder_search& search, const flow_id& id, pending_search& pending, std::vector<ipv4> required,
						 monotonic_time now)
		{
			pending.unresponsive = required;
			pending.awaiting_denial = std::move(required);
			pending.started_at = now;
			pending.last_query_at = now;
			pending.denied_at.reset();
			++pending.rounds;
			search.unsent_queries.push_back(id);
		}

		/// Returns the packet to probe with: always the same one, so that the holder is known to have it.
		[[nodiscard]] waiting_packet& packet_to_probe(pending_search& pending)
		{
			const auto probed = std::ranges::find_if(pending.packets, &waiting_packet::probed);
			return probed == pending.packets.end() ? pending.packets.back() : *probed;
		}

		/// Adds the probes of a flow to all its probe targets.
		void add_probes(std::vector<holder_probe>& probes, const flow_id& id, pending_search& pending)
		{
			auto& packet = packet_to_probe(pending);
			for (std::span<const ipv4> remaining = pending.probe_targets; !remaining.empty();)
			{
				const auto chunk = remaining.first(std::min(remaining.size(), max_probe_targets));
				remaining = remaining.subspan(chunk.size());
				// The agents that answer first are the nearest; flows are spread over some of them.
				const auto relay_candidates = std::min(chunk.size(), probe_relay_count);
				probes.push_back({.relay = chunk[hash_flow(id) % relay_candidates],
								  .agents = {chunk.begin(), chunk.end()},
								  .packet = packet.bytes});
			}
			packet.probed = true;
			pending.probed.insert(pending.probed.end(), pending.probe_targets.begin(), pending.probe_targets.end());
			pending.probe_targets.clear();
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
		const bool restart =
			found == search.pending.end() || (!denied && now - found->second.started_at >= search_timeout);
		auto& pending = search.pending[id];
		add_packet(pending, packet);
		pending.acknowledgement = acknowledgement;
		if (!restart)
		{
			return false;
		}
		for (auto& it : pending.packets)
		{
			it.probed = false;
		}
		pending.probed.clear();
		pending.probe_targets.clear();
		pending.query_recipients = candidates;
		pending.candidates = std::move(candidates);
		pending.rounds = 0;
		pending.searched_since = now;
		start_round(search, id, pending, std::move(required), now);
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
		for (auto& [id, pending] : search.pending)
		{
			if (pending.denied_at || pending.unresponsive.empty() || now - pending.last_query_at < search_timeout)
			{
				continue;
			}
			pending.query_recipients = pending.unresponsive;
			pending.last_query_at = now;
			search.unsent_queries.push_back(id);
		}
		return !search.unsent_queries.empty();
	}

	search_step handle_query_answer(holder_search& search, ipv4 agent, const flow_answer& answer, monotonic_time now,
									bool complete)
	{
		const auto found = search.pending.find(answer.flow);
		if (found == search.pending.end())
		{
			return {};
		}
		std::erase(found->second.unresponsive, agent);
		switch (answer.presence)
		{
			case flow_presence::held:
				return end_search(search, answer.flow, search_step::action::deliver);
			case flow_presence::unknown:
				if (found->second.probe_targets.empty())
				{
					search.unsent_probes.push_back(answer.flow);
				}
				found->second.probe_targets.push_back(agent);
				return {.what = search_step::action::probe,
						.flow = answer.flow,
						.packets = {},
						.acknowledgement = found->second.acknowledgement};
			case flow_presence::not_held:
				break;
		}
		const bool was_required = std::erase(found->second.awaiting_denial, agent) > 0;
		if (was_required && found->second.awaiting_denial.empty() && complete)
		{
			found->second.denied_at = now;
		}
		return {};
	}

	std::vector<holder_probe> take_probes(holder_search& search, std::span<const ipv4> near, monotonic_time now)
	{
		const auto is_near = [near](ipv4 agent) { return std::ranges::find(near, agent) != near.end(); };
		std::vector<holder_probe> probes;
		for (const auto& id : std::exchange(search.unsent_probes, {}))
		{
			const auto found = search.pending.find(id);
			if (found == search.pending.end())
			{
				continue;
			}
			auto& targets = found->second.probe_targets;
			const auto first_far = std::stable_partition(targets.begin(), targets.end(), is_near);
			std::vector<ipv4> far;
			if (first_far != targets.begin())
			{
				far.assign(first_far, targets.end());
				targets.erase(first_far, targets.end());
			}
			add_probes(probes, id, found->second);
			if (!far.empty())
			{
				targets = std::move(far);
				search.far_probes.push_back({.flow = id, .due = now + far_probe_delay});
			}
		}
		return probes;
	}

	std::vector<holder_probe> take_far_probes(holder_search& search, monotonic_time now)
	{
		const auto first_early =
			std::ranges::find_if(search.far_probes, [now](const auto& it) { return it.due > now; });
		std::vector<holder_probe> probes;
		for (auto it = search.far_probes.begin(); it != first_early; ++it)
		{
			if (const auto found = search.pending.find(it->flow); found != search.pending.end())
			{
				add_probes(probes, it->flow, found->second);
			}
		}
		search.far_probes.erase(search.far_probes.begin(), first_early);
		return probes;
	}

	search_step finish_search(holder_search& search, const flow_id& id, ipv4 agent)
	{
		const auto found = search.pending.find(id);
		if (found == search.pending.end())
		{
			return {};
		}
		if (std::ranges::find(found->second.probed, agent) != found->second.probed.end())
		{
			std::erase_if(found->second.packets, [](const auto& it) { return it.probed; });
		}
		const auto what = found->second.packets.empty() ? search_step::action::none : search_step::action::deliver;
		return end_search(search, id, what);
	}

	std::vector<flow_id> denied_flows(const holder_search& search)
	{
		std::vector<flow_id> flows;
		for (const auto& [id, pending] : search.pending)
		{
			if (pending.denied_at)
			{
				flows.push_back(id);
			}
		}
		return flows;
	}

	monotonic_time latest_denied_search(const holder_search& search)
	{
		monotonic_time latest{};
		for (const auto& [id, pending] : search.pending)
		{
			latest = pending.denied_at ? std::max(latest, pending.searched_since) : latest;
		}
		return latest;
	}

	search_step confirm_denied(holder_search& search, const flow_id& id, const std::vector<ipv4>& required,
							   monotonic_time now, bool current)
	{
		auto& pending = search.pending.at(id);
		std::vector<ipv4> unasked;
		std::ranges::copy_if(required, std::back_inserter(unasked),
							 [&pending](ipv4 instance)
							 { return std::ranges::find(pending.candidates, instance) == pending.candidates.end(); });
		if (!unasked.empty() && pending.rounds >= max_search_rounds)
		{
			pending.denied_at.reset();
			return {};
		}
		if (!unasked.empty())
		{
			pending.candidates.insert(pending.candidates.end(), unasked.begin(), unasked.end());
			pending.query_recipients = unasked;
			start_round(search, id, pending, std::move(unasked), now);
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
			expired.push_back(
				{.flow = it->first, .unanswered = std::move(it->second.awaiting_denial), .rounds = it->second.rounds});
			it = search.pending.erase(it);
		}
		return expired;
	}
}
