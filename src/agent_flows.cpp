#include "nutmegturn/agent_flows.hpp"

#include "nutmegturn/flow_key.hpp"
#include "nutmegturn/impl/agent_event.hpp"

#include <algorithm>

namespace nutmegturn
{
	namespace
	{
		using namespace detail;

		/// Largest number of earlier views; with more changes within a search window the oldest is dropped.
		constexpr std::size_t max_earlier_views = 4;

		void notify_newer_revision(const agent_event& e)
		{
			const auto& header = e.pkt.header;
			if (header.rev >= e.state.rev || e.now < e.state.next_revision_notice)
			{
				return;
			}
			e.state.next_revision_notice = e.now + std::chrono::seconds{1};
			packet_header notice;
			notice.kind = packet_kind::newer_revision;
			notice.service = e.state.settings.service;
			notice.origin = e.state.settings.upstream;
			notice.origin_agent = e.state.settings.agent;
			notice.rev = e.state.rev;
			const bool from_balancer = to_number(header.origin) == 0;
			e.actions.emplace_back(send_packet{from_balancer ? header.balancer : header.origin_agent, notice, {}});
		}

		void detect_pause(agent_state& state, monotonic_time now) noexcept
		{
			if (!state.paused && now - state.last_tick > state.settings.pause_limit)
			{
				state.paused = true;
				state.confirmed_revision = {};
			}
		}

		/// Returns whether a candidate that was dead is dead no longer. While the two agents could not reach each
		/// other, callers may have used another copy of a flow.
		[[nodiscard]] bool has_recovered_candidate(const service_view* before, const service_view* after) noexcept
		{
			if (before == nullptr || after == nullptr)
			{
				return false;
			}
			return std::ranges::any_of(before->candidates,
									   [after](const candidate& it)
									   {
										   const auto* now = after->find(it.id);
										   return it.state == candidate_state::dead && now != nullptr &&
												  now->state != candidate_state::dead;
									   });
		}

		void resume(agent_state& state, monotonic_time now) noexcept
		{
			state.paused = false;
			state.last_tick = now;
			state.possibly_stale_before = now;
			state.view_changed_at = now;
			state.search_window_end = now + state.settings.search_window;
			state.announce_now = true;
		}
	}

	agent_state::agent_state(const agent_settings& config, monotonic_time now)
		: settings{config}, flows{config.connections}, redirects{config.redirects, config.redirect_lifetime},
		  last_tick{now}, search_window_end{now + config.search_window}, view_changed_at{now},
		  next_announcement{now + config.announce_interval}, next_revision_notice{now}, tokens_refilled_at{now}
	{
	}

	agent_state* find_agent(std::span<agent_state> agents, upstream_id upstream) noexcept
	{
		const auto it =
			std::ranges::find_if(agents, [&](const agent_state& a) { return a.settings.upstream == upstream; });
		return it == agents.end() ? nullptr : &*it;
	}

	void agent_on_packet(agent_state& state, const packet& pkt, const routing_view& view, monotonic_time now,
						 random_source& random, action_list& actions)
	{
		const auto& header = pkt.header;
		const agent_event e{state, pkt, view, now, random, actions, flow_hash(header.flow)};
		detect_pause(state, now);
		if (view.find(state.settings.service) != state.service || view.rev != state.rev)
		{
			agent_on_view(state, view, now, actions);
		}
		if (state.paused)
		{
			drop_packet(e, reason::paused);
			return;
		}
		if (state.handover != handover_phase::none)
		{
			drop_packet(e, state.handover == handover_phase::exported ? reason::stopping : reason::not_current);
			return;
		}
		if (header.kind != packet_kind::forward)
		{
			drop_packet(e, reason::bad_kind);
			return;
		}
		if (header.upstream != state.settings.upstream || header.service != state.settings.service)
		{
			drop_packet(e, reason::wrong_upstream);
			return;
		}
		notify_newer_revision(e);
		if (!state.service)
		{
			drop_packet(e, reason::unknown_service);
			return;
		}
		// The operator moved the address to another service, unless the sender knows a newer revision.
		const auto* addressed = view.service_at(header.flow.service);
		if (addressed != nullptr && addressed->id != state.settings.service && header.rev <= state.rev)
		{
			drop_packet(e, reason::wrong_upstream);
			return;
		}
		if (state.zone_out)
		{
			drop_packet(e, reason::zone_out);
			return;
		}
		if (const auto slot = state.flows.find(header.flow, e.hash))
		{
			on_held_flow(e, *slot);
		}
		else if ((header.flags & packet_flag_placed) != 0)
		{
			on_placed_packet(e);
		}
		else if ((header.flags & packet_flag_redirected) != 0)
		{
			on_redirected_packet(e);
		}
		else if ((header.flags & packet_flag_search_done) != 0)
		{
			if (!follow_redirect(e))
			{
				const auto position = header.search_position;
				search_earlier_primaries(e, position < earlier_view_base ? 0 : position - earlier_view_base + 1U);
			}
		}
		else if ((header.flags & packet_flag_searching) != 0)
		{
			continue_search(e);
		}
		else
		{
			on_unheld_flow(e, false);
		}
	}

	void agent_on_upstream_datagram(agent_state& state, flow_slot slot, std::span<const std::byte> payload,
									monotonic_time now, action_list& actions)
	{
		detect_pause(state, now);
		const bool stopping = state.handover == handover_phase::exported;
		if (state.paused || stopping || static_cast<std::size_t>(slot) >= state.flows.positions() ||
			!state.flows.at(slot).used)
		{
			const auto why = state.paused ? reason::paused : stopping ? reason::stopping : reason::idle;
			++state.counters.dropped[static_cast<std::size_t>(why)];
			actions.emplace_back(drop{why});
			return;
		}
		state.flows.at(slot).last_active = now;
		if (state.requests.on_upstream_datagram != nullptr)
		{
			state.requests.on_upstream_datagram(state.requests.context, state, slot, payload, now, actions);
			return;
		}
		agent_answer(state, slot, payload, now, actions);
	}

	void agent_on_tick(agent_state& state, const routing_view& view, monotonic_time now, random_source& random,
					   action_list& actions)
	{
		detect_pause(state, now);
		if (state.handover == handover_phase::exported)
		{
			return;
		}
		agent_on_view(state, view, now, actions);
		if (state.paused)
		{
			return;
		}
		state.last_tick = now;
		state.redirects.expire(now);
		release_idle_flows(state, now, actions);
		if (state.announce_now || now >= state.next_announcement)
		{
			announce_displaced_flows(state, now);
		}
		if (state.requests.on_tick != nullptr)
		{
			state.requests.on_tick(state.requests.context, state, now, random, actions);
		}
	}

	void agent_on_view(agent_state& state, const routing_view& view, monotonic_time now, action_list& actions)
	{
		state.rev = std::max(state.rev, view.rev);
		if (state.balancers != view.balancers)
		{
			state.balancers = view.balancers;
		}
		if (state.paused && to_number(state.confirmed_revision) != 0 && state.rev >= state.confirmed_revision)
		{
			resume(state, now);
		}
		const auto& service = view.find(state.settings.service);
		if (service == state.service)
		{
			return;
		}
		std::erase_if(state.earlier_views, [&](const earlier_service_view& it) { return it.until <= now; });
		if (state.service)
		{
			if (state.earlier_views.size() == max_earlier_views)
			{
				state.earlier_views.erase(state.earlier_views.begin());
			}
			state.earlier_views.push_back({state.service, now + state.settings.search_window});
		}
		if (has_recovered_candidate(state.service.get(), service.get()))
		{
			state.possibly_stale_before = now;
		}
		state.service = service;
		state.search_window_end = now + state.settings.search_window;
		state.view_changed_at = now;
		const auto* own = own_candidate(state);
		// Without a record the zone's state is unknown, so the last known state stays in force.
		state.zone_out = own != nullptr ? own->state == candidate_state::zone_out : state.zone_out;
		if (state.zone_out)
		{
			abort_all_flows(state, reason::zone_out, now, actions);
		}
		if (!state.paused)
		{
			announce_displaced_flows(state, now);
		}
	}

	void agent_on_load_report(agent_state& state, const load_report& report, monotonic_time now)
	{
		for (const auto& it : report.loads)
		{
			const bool peer =
				state.service && it.upstream != state.settings.upstream && state.service->find(it.upstream) != nullptr;
			if (peer)
			{
				placement_on_load(state.placement, it, now);
			}
		}
	}

	void agent_on_confirmation(agent_state& state, revision confirmed, monotonic_time now)
	{
		if (!state.paused)
		{
			return;
		}
		state.confirmed_revision = std::max(state.confirmed_revision, confirmed);
		if (state.rev >= state.confirmed_revision)
		{
			resume(state, now);
		}
	}

	void agent_answer(agent_state& state, flow_slot slot, std::span<const std::byte> payload, monotonic_time now,
					  action_list& actions)
	{
		auto& entry = state.flows.at(slot);
		entry.last_active = now;
		const bool live = state.balancers.empty() || std::ranges::binary_search(state.balancers, entry.balancer);
		packet_header header;
		header.kind = packet_kind::answer;
		header.service = state.settings.service;
		header.upstream = state.settings.upstream;
		header.origin = state.settings.upstream;
		header.origin_agent = state.settings.agent;
		header.rev = state.rev;
		header.flow = entry.key;
		header.balancer = live ? entry.balancer : state.balancers[entry.hash % state.balancers.size()];
		++state.counters.answered;
		actions.emplace_back(send_packet{header.balancer, header, payload});
	}

	upstream_load agent_load(const agent_state& state) noexcept
	{
		return {.upstream = state.settings.upstream,
				.flows = static_cast<std::uint32_t>(state.flows.size()),
				.in_progress = state.requests_in_progress,
				.limit = state.request_limit,
				.state = state.run_state};
	}
}
