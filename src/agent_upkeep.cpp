#include "nutmegturn/impl/agent_event.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <utility>
#include <vector>

namespace nutmegturn
{
	namespace
	{
		/// Announcements under construction: destination, and index in `agent_state::announcements`.
		using pending_announcements = std::vector<std::pair<const candidate*, std::size_t>>;

		void announce(agent_state& state, pending_announcements& open, const candidate& to, std::uint64_t hash,
					  bool possibly_stale)
		{
			auto it = std::ranges::find(open, &to, &pending_announcements::value_type::first);
			if (it == open.end() || state.announcements[it->second].hashes.size() == max_announced_hashes)
			{
				redirect_announcement announcement{.service = state.settings.service,
												   .holder = state.settings.upstream,
												   .holder_agent = state.settings.agent,
												   .primary = to.id,
												   .destination = to.agent,
												   .possibly_stale = possibly_stale,
												   .hashes = {}};
				state.announcements.push_back(std::move(announcement));
				if (it == open.end())
				{
					it = open.insert(open.end(), {&to, 0});
				}
				it->second = state.announcements.size() - 1;
			}
			state.announcements[it->second].hashes.push_back(hash);
		}

		/// Returns the first candidate of the chain other than the primary and the own upstream, or null. Searches
		/// visit it, so its redirect leads a primary that has just restarted, and lost its own redirects, to a holder
		/// outside the chain.
		const candidate* first_other_candidate(const agent_state& state, upstream_id primary, std::uint64_t hash)
		{
			std::array<candidate_index, 3> chain{};
			const auto n = state.service->chain_of(hash, chain);
			for (std::size_t i = 0; i < n; ++i)
			{
				const auto& it = state.service->candidates[chain[i]];
				if (it.id != primary && it.id != state.settings.upstream)
				{
					return &it;
				}
			}
			return nullptr;
		}

		/// Longest duration of one idle scan of the whole flow table.
		constexpr std::chrono::seconds max_idle_scan_duration{60};
		constexpr std::chrono::milliseconds tick_interval{100};
	}

	void detail::announce_displaced_flows(agent_state& state, monotonic_time now)
	{
		state.announce_now = false;
		state.next_announcement = now + state.settings.announce_interval;
		if (!state.service)
		{
			return;
		}
		std::array<pending_announcements, 2> open; // Index 1 holds possibly stale flows.
		for (std::size_t i = 0; i < state.flows.positions(); ++i)
		{
			const auto& entry = state.flows.at(flow_slot{static_cast<std::uint32_t>(i)});
			const auto* primary = entry.used ? state.service->primary_of(entry.hash) : nullptr;
			if (primary == nullptr || primary->id == state.settings.upstream)
			{
				continue;
			}
			const bool possibly_stale = entry.last_active < state.possibly_stale_before;
			announce(state, open[possibly_stale ? 1 : 0], *primary, entry.hash, possibly_stale);
			if (const auto* other = first_other_candidate(state, primary->id, entry.hash))
			{
				announce(state, open[possibly_stale ? 1 : 0], *other, entry.hash, possibly_stale);
			}
		}
	}

	void detail::abort_all_flows(agent_state& state, reason why, monotonic_time now, action_list& actions)
	{
		for (std::size_t i = 0; i < state.flows.positions(); ++i)
		{
			const flow_slot slot{static_cast<std::uint32_t>(i)};
			if (!state.flows.at(slot).used)
			{
				continue;
			}
			actions.emplace_back(audit_event{.kind = audit_kind::flow_given_up,
											 .subject = to_string(state.flows.at(slot).key.client),
											 .detail = to_string(state.flows.at(slot).key.service),
											 .rev = state.rev,
											 .why = why});
			agent_release_flow(state, slot, why, now, actions);
		}
	}

	void detail::release_idle_flows(agent_state& state, monotonic_time now, action_list& actions)
	{
		const auto n = state.flows.positions();
		if (n == 0)
		{
			return;
		}
		using std::chrono::milliseconds;
		const milliseconds timeout = state.service ? state.service->idle_timeout : std::chrono::seconds{3600};
		const milliseconds scan_duration =
			std::clamp<milliseconds>(timeout / 16, tick_interval, max_idle_scan_duration);
		const auto ticks = static_cast<std::size_t>(scan_duration / tick_interval);
		for (std::size_t remaining = (n + ticks - 1) / ticks; remaining > 0; --remaining)
		{
			state.idle_scan_position = state.idle_scan_position + 1 < n ? state.idle_scan_position + 1 : 0;
			const flow_slot slot{static_cast<std::uint32_t>(state.idle_scan_position)};
			const auto& entry = state.flows.at(slot);
			if (entry.used && now - entry.last_active > timeout)
			{
				agent_release_flow(state, slot, reason::idle, now, actions);
			}
		}
	}

	void agent_on_redirects(agent_state& state, const redirect_announcement& announcement, monotonic_time now,
							action_list& actions)
	{
		if (announcement.service != state.settings.service || announcement.holder == state.settings.upstream ||
			!state.service)
		{
			return;
		}
		for (const auto hash : announcement.hashes)
		{
			if (const auto slot = state.flows.find(hash))
			{
				// After a pause or partition both agents hold the flow. The primary releases its copy if it has
				// received no packet since and the other agent has. Only the primary does so, so that two holders never
				// both release the flow.
				const auto* primary = state.service->primary_of(hash);
				const bool releases_own_copy = !announcement.possibly_stale && primary != nullptr &&
											   primary->id == state.settings.upstream &&
											   state.flows.at(*slot).last_active < state.view_changed_at;
				if (!releases_own_copy)
				{
					continue;
				}
				agent_release_flow(state, *slot, reason::not_current, now, actions);
			}
			const auto* known = state.redirects.find(hash);
			if (known == nullptr || !known->confirmed() || known->holder == announcement.holder)
			{
				state.redirects.set(hash, announcement.holder, announcement.holder_agent, redirect_kind::announced,
									now);
			}
		}
	}

	void agent_release_flow(agent_state& state, flow_slot slot, reason why, monotonic_time now, action_list& actions)
	{
		if (state.requests.on_release != nullptr)
		{
			state.requests.on_release(state.requests.context, state, slot, why, now, actions);
		}
		++state.counters.released[static_cast<std::size_t>(why)];
		actions.emplace_back(close_flow{state.settings.upstream, slot, why});
		state.flows.erase(slot);
	}
}
