#include "nutmegturn/impl/agent_event.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <limits>

namespace nutmegturn
{
	namespace
	{
		using namespace detail;

		/// Hops after which an agent acts as the primary even if its view names another one. So many hops mean that the
		/// views of several agents form a cycle.
		constexpr std::uint8_t max_hops_to_primary = 4;

		/// Forwards the packet to the holder that a redirect names. Soon after a placement this packet may arrive
		/// before the placed one, so the holder may admit the flow with this packet too.
		void forward_to_holder(const agent_event& e, const redirect& known)
		{
			++e.state.counters.redirected;
			const bool may_overtake = may_be_reordered(known, e.now);
			forward_as_origin(e, known.holder, known.agent, may_overtake ? packet_flag_placed : packet_flag_redirected,
							  holder_tag(known.holder));
		}

		/// Sends the packet to the first candidate from position `next` on other than the origin and this upstream.
		/// \returns	Whether there is such a candidate.
		bool forward_along_chain(const agent_event& e, std::size_t next, upstream_id origin,
								 const endpoint& origin_agent)
		{
			std::array<candidate_index, search_length> chain{};
			const auto& service = *e.state.service;
			const auto n = service.chain_of(e.hash, chain);
			for (; next < n; ++next)
			{
				const auto& it = service.candidates[chain[next]];
				if (it.id != origin && it.id != e.state.settings.upstream)
				{
					forward_packet(e, it.id, it.agent, origin, origin_agent, packet_flag_searching,
								   static_cast<std::uint8_t>(next));
					return true;
				}
			}
			return false;
		}

		/// Returns 1 + the milliseconds since a held flow was last used.
		[[nodiscard]] std::uint32_t copy_age_of(const agent_event& e, flow_slot slot)
		{
			using std::chrono::milliseconds;
			const auto idle = std::chrono::floor<milliseconds>(e.now - e.state.flows.at(slot).last_active).count();
			constexpr std::int64_t max_age = std::numeric_limits<std::uint32_t>::max() - 1;
			return static_cast<std::uint32_t>(1 + std::clamp<std::int64_t>(idle, 0, max_age));
		}

		/// Starts a search along the candidate chain.
		/// \param copy_age	Age of this agent's copy of the flow, or 0.
		void start_search(const agent_event& from, std::uint32_t copy_age = 0)
		{
			const auto& own = from.state.settings;
			auto search_packet = from.pkt;
			search_packet.header.copy_age = copy_age;
			const agent_event e{from.state, search_packet, from.view, from.now, from.random, from.actions, from.hash};
			++e.state.counters.searched;
			// A redirect to this upstream marks the search in progress, so that searches of other agents detect it.
			e.state.redirects.set(e.hash, own.upstream, own.agent, redirect_kind::searched, e.now);
			if (!forward_along_chain(e, 0, own.upstream, own.agent))
			{
				search_earlier_primaries(e, 0);
			}
		}
	}

	void detail::search_earlier_primaries(const agent_event& e, std::size_t next)
	{
		std::array<candidate_index, search_length> chain{};
		const auto& service = *e.state.service;
		const auto n = service.chain_of(e.hash, chain);
		for (; next < e.state.earlier_views.size(); ++next)
		{
			const auto& earlier = e.state.earlier_views[next];
			const auto* primary = earlier.until > e.now ? earlier.service->primary_of(e.hash) : nullptr;
			if (primary == nullptr || primary->id == e.state.settings.upstream)
			{
				continue;
			}
			const auto* current = service.find(primary->id);
			const bool visited =
				std::any_of(chain.begin(), chain.begin() + static_cast<std::ptrdiff_t>(n),
							[&](candidate_index i) { return service.candidates[i].id == primary->id; });
			const bool gone = current != nullptr &&
							  (current->state == candidate_state::dead || current->state == candidate_state::zone_out);
			if (!visited && !gone)
			{
				forward_as_origin(e, primary->id, primary->agent, packet_flag_searching,
								  static_cast<std::uint8_t>(earlier_view_base + next));
				return;
			}
		}
		if (const auto slot = e.state.flows.find(e.pkt.header.flow, e.hash))
		{
			deliver_packet(e, *slot);
			return;
		}
		admit_or_place(e);
	}

	void detail::continue_search(const agent_event& e)
	{
		auto& state = e.state;
		const auto& header = e.pkt.header;
		const auto* known = state.redirects.find(e.hash);
		if (known != nullptr && known->confirmed() && known->holder != header.origin)
		{
			forward_to_holder(e, *known);
			return;
		}
		if (known != nullptr && known->holder == state.settings.upstream && state.settings.upstream < header.origin)
		{
			// Two searches for the same flow meet: the upstream with the lower id continues, with this packet too.
			start_search(e);
			return;
		}
		if (known == nullptr || known->confirmed() || known->holder == state.settings.upstream ||
			header.origin <= known->holder)
		{
			state.redirects.set(e.hash, header.origin, header.origin_agent, redirect_kind::searched, e.now);
		}
		if (header.search_position >= earlier_view_base)
		{
			return_to_origin(e, packet_flag_search_done);
			return;
		}
		// The position in this agent's chain is used rather than the sender's, since the chains may differ.
		std::array<candidate_index, search_length> chain{};
		const auto n = state.service->chain_of(e.hash, chain);
		std::size_t at = header.search_position;
		for (std::size_t i = 0; i < n; ++i)
		{
			if (state.service->candidates[chain[i]].id == state.settings.upstream)
			{
				at = i;
			}
		}
		if (!forward_along_chain(e, at + 1, header.origin, header.origin_agent))
		{
			return_to_origin(e, packet_flag_search_done);
		}
	}

	void detail::on_held_flow(const agent_event& e, flow_slot slot)
	{
		auto& state = e.state;
		const auto& header = e.pkt.header;
		const auto age = copy_age_of(e, slot);
		if ((header.flags & packet_flag_searching) != 0 && header.origin != state.settings.upstream)
		{
			if (header.copy_age == 0 || age <= header.copy_age)
			{
				deliver_packet(e, slot);
				return;
			}
			agent_release_flow(state, slot, reason::not_current, e.now, e.actions);
			continue_search(e);
			return;
		}
		const bool searched = (header.flags & packet_flag_search_done) != 0;
		if (searched || state.flows.at(slot).last_active >= state.possibly_stale_before)
		{
			deliver_packet(e, slot);
			return;
		}
		// An agent on the way may drop the search, for example one that is still paused. The local copy is therefore
		// used once the search has gone unanswered for `search_timeout`.
		constexpr std::chrono::seconds search_timeout{3};
		const auto* known = state.redirects.find(e.hash);
		const bool is_searching = known != nullptr && known->holder == state.settings.upstream;
		const auto search_start = is_searching ? known->refreshed_at : e.now;
		if (e.now - search_start >= search_timeout)
		{
			deliver_packet(e, slot);
			return;
		}
		start_search(e, age);
		state.redirects.set(e.hash, state.settings.upstream, state.settings.agent, redirect_kind::searched,
							search_start);
	}

	bool detail::follow_redirect(const agent_event& e)
	{
		const auto* known = e.state.redirects.find(e.hash);
		if (known == nullptr || known->holder == e.state.settings.upstream)
		{
			return false;
		}
		const auto* holder = e.state.service->find(known->holder);
		const bool gone =
			holder != nullptr && (holder->state == candidate_state::dead || holder->state == candidate_state::zone_out);
		// A packet that comes from the named holder proves that it does not hold the flow, unless the flow was placed
		// there after the packet was sent.
		if (gone || (known->holder == e.pkt.header.origin && !may_be_reordered(*known, e.now)))
		{
			e.state.redirects.erase(e.hash);
			return false;
		}
		forward_to_holder(e, *known);
		return true;
	}

	void detail::on_unheld_flow(const agent_event& e, bool views_differ)
	{
		auto& state = e.state;
		if (follow_redirect(e))
		{
			return;
		}
		const auto* primary = state.service->primary_of(e.hash);
		if (primary == nullptr)
		{
			drop_packet(e, reason::no_upstream);
			return;
		}
		bool search = views_differ || state.search_window_end > e.now;
		if (primary->id != state.settings.upstream)
		{
			const bool returned = e.pkt.header.origin == primary->id;
			if (!returned && e.pkt.header.hops < max_hops_to_primary)
			{
				forward_as_origin(e, primary->id, primary->agent, 0, 0);
				return;
			}
			// The views differ: the primary of this view considers this agent the primary, or the packet has taken
			// `max_hops_to_primary` hops.
			search = true;
		}
		if (search)
		{
			start_search(e);
			return;
		}
		admit_or_place(e);
	}

	void detail::on_redirected_packet(const agent_event& e)
	{
		auto& state = e.state;
		if (e.pkt.header.origin == state.settings.upstream)
		{
			// The holder no longer has the flow, unless the flow was placed there since. Several packets may be
			// returned, and only the first may cause a new placement.
			const auto* known = state.redirects.find(e.hash);
			if (known != nullptr && !may_be_reordered(*known, e.now) &&
				holder_tag(known->holder) == e.pkt.header.search_position)
			{
				state.redirects.erase(e.hash);
			}
			on_unheld_flow(e, false);
			return;
		}
		const auto* known = state.redirects.find(e.hash);
		if (known != nullptr && known->holder == state.settings.upstream)
		{
			start_search(e);
			return;
		}
		if (known != nullptr && follow_redirect(e))
		{
			return;
		}
		return_to_origin(e, packet_flag_redirected);
	}
}
