#include "nutmegturn/impl/agent_event.hpp"

#include <algorithm>
#include <array>
#include <span>

namespace nutmegturn
{
	namespace
	{
		using namespace detail;

		/// Time after a placement in which later packets of the flow may reach the peer before the placed packet.
		constexpr std::chrono::seconds placement_reorder_window{2};

		void refill_tokens(agent_state& state, std::uint32_t weight, monotonic_time now) noexcept
		{
			const double rate = new_flow_rate(state.run_state, weight);
			const double elapsed = std::chrono::duration<double>(now - state.tokens_refilled_at).count();
			state.tokens_refilled_at = now;
			// The burst size is a quarter of a second at the full rate, which is what peers place between two reports.
			state.new_flow_tokens = std::min(state.new_flow_tokens + elapsed * rate, std::max(1.0, rate / 4));
		}

		/// Returns the reason why the upstream cannot admit a new flow now, or `none`.
		[[nodiscard]] reason admission_refusal(agent_state& state, monotonic_time now)
		{
			const auto* own = own_candidate(state);
			if (own == nullptr || own->state == candidate_state::out || state.run_state == upstream_run_state::out)
			{
				return reason::upstream_out;
			}
			if (own->state == candidate_state::draining || state.run_state == upstream_run_state::draining ||
				state.run_state == upstream_run_state::leaving)
			{
				return reason::upstream_draining;
			}
			if (state.flows.size() >= state.flows.capacity())
			{
				return reason::connections_full;
			}
			if (state.run_state == upstream_run_state::cold || state.run_state == upstream_run_state::warming)
			{
				refill_tokens(state, own->weight, now);
				if (state.new_flow_tokens < 1)
				{
					return reason::upstream_cold;
				}
			}
			if (state.admission.may_admit != nullptr &&
				!state.admission.may_admit(state.admission.context, state.settings.upstream, now))
			{
				return reason::upstream_shed;
			}
			return reason::none;
		}

		void admit(const agent_event& e)
		{
			const auto slot = e.state.flows.insert(e.pkt.header.flow, e.hash);
			if (!slot)
			{
				drop_packet(e, reason::connections_full);
				return;
			}
			e.state.redirects.erase(e.hash);
			e.state.new_flow_tokens -= 1;
			++e.state.counters.admitted;
			deliver_packet(e, *slot);
		}
	}

	bool detail::may_be_reordered(const redirect& known, monotonic_time now) noexcept
	{
		return known.kind == redirect_kind::placed && now - known.refreshed_at < placement_reorder_window;
	}

	std::uint8_t detail::holder_tag(upstream_id holder) noexcept
	{
		return static_cast<std::uint8_t>(to_number(holder));
	}

	void detail::admit_or_place(const agent_event& e)
	{
		auto& state = e.state;
		const auto refused = admission_refusal(state, e.now);
		std::array<candidate_index, search_length> chain{};
		const auto n = state.service->chain_of(e.hash, chain);
		const auto* peer =
			choose_peer(state.placement, state.service->candidates, std::span{chain}.first(n), agent_load(state),
						own_candidate(state), refused == reason::none, e.now, e.random);
		if (peer == nullptr)
		{
			if (refused == reason::none)
			{
				admit(e);
			}
			else
			{
				drop_packet(e, refused);
			}
			return;
		}
		++state.counters.placed;
		state.redirects.set(e.hash, peer->id, peer->agent, redirect_kind::placed, e.now);
		forward_as_origin(e, peer->id, peer->agent, packet_flag_placed, holder_tag(peer->id));
	}

	void detail::on_placed_packet(const agent_event& e)
	{
		auto& state = e.state;
		if (e.pkt.header.origin == state.settings.upstream)
		{
			const auto* known = state.redirects.find(e.hash);
			const bool stale = known != nullptr && holder_tag(known->holder) != e.pkt.header.search_position;
			if (stale && follow_redirect(e))
			{
				return;
			}
			if (known != nullptr && known->holder != state.settings.upstream)
			{
				if (auto* peer = state.placement.find(known->holder); peer != nullptr)
				{
					peer->backoff_until = e.now + refusal_backoff;
				}
				state.redirects.erase(e.hash);
			}
			admit_or_place(e);
			return;
		}
		// A refusal holds for all packets of the flow, since the primary places the flow elsewhere after the first one.
		const auto* known = state.redirects.find(e.hash);
		const bool refused_before =
			known != nullptr && known->kind == redirect_kind::refused && known->holder == e.pkt.header.origin;
		if (!refused_before && admission_refusal(state, e.now) == reason::none)
		{
			admit(e);
			return;
		}
		state.redirects.set(e.hash, e.pkt.header.origin, e.pkt.header.origin_agent, redirect_kind::refused, e.now);
		return_to_origin(e, packet_flag_placed);
	}
}
