#include "nutmegturn/placement.hpp"

#include <algorithm>
#include <array>

namespace nutmegturn
{
	namespace
	{
		struct peer_option
		{
			const candidate* target = nullptr;
			peer_load* peer = nullptr;
			double load = 0; ///< Open flows over weight.
		};

		/// Flows that one agent may place at a peer between two reports: its share of what the peer accepts.
		[[nodiscard]] std::uint32_t placement_quota(const candidate& target, upstream_run_state state,
													std::size_t agents) noexcept
		{
			const double rate = new_flow_rate(state, target.weight);
			const double share =
				rate * std::chrono::duration<double>(load_report_interval).count() / static_cast<double>(agents);
			return rate > 0 ? std::max(1U, static_cast<std::uint32_t>(share)) : 0;
		}
	}

	peer_load* placement_state::find(upstream_id peer) noexcept
	{
		const auto it = std::ranges::lower_bound(peers, peer, {}, [](const peer_load& p) { return p.load.upstream; });
		return it != peers.end() && it->load.upstream == peer ? &*it : nullptr;
	}

	void placement_on_load(placement_state& state, const upstream_load& load, monotonic_time now)
	{
		const auto it = std::ranges::lower_bound(state.peers, load.upstream, {},
												 [](const peer_load& p) { return p.load.upstream; });
		if (it != state.peers.end() && it->load.upstream == load.upstream)
		{
			it->load = load;
			it->placed = 0;
			it->reported_at = now;
			return;
		}
		state.peers.insert(it, {.load = load, .reported_at = now, .backoff_until = {}});
	}

	const candidate* choose_peer(placement_state& state, std::span<const candidate> candidates,
								 std::span<const candidate_index> chain, const upstream_load& self,
								 const candidate* own, bool may_keep, monotonic_time now, random_source& random)
	{
		std::array<peer_option, search_length> peers{};
		std::size_t n = 0;
		double flows = 0;
		double weight = 0;
		for (const auto i : chain)
		{
			const auto& target = candidates[i];
			if (target.id == self.upstream || target.state != candidate_state::eligible)
			{
				continue;
			}
			auto* peer = state.find(target.id);
			if (peer == nullptr || now - peer->reported_at > load_report_lifetime)
			{
				continue;
			}
			const double open = peer->load.flows + peer->placed;
			flows += open;
			weight += target.weight;
			peers[n++] = {&target, peer, open / target.weight};
		}
		if (n == 0)
		{
			return nullptr;
		}
		const double own_weight = own != nullptr ? own->weight : 0;
		const bool own_is_eligible = own != nullptr && own->state == candidate_state::eligible;
		const double mean = own_is_eligible ? (flows + self.flows) / (weight + own_weight) : flows / weight;
		if (may_keep && self.flows <= max_local_load_ratio * mean * own_weight)
		{
			return nullptr;
		}
		const auto can_accept = [&](const peer_option& it)
		{
			return now >= it.peer->backoff_until && it.load < 1 &&
				   it.peer->placed < placement_quota(*it.target, it.peer->load.state, n + 1);
		};
		const auto place_at = [](const peer_option& it)
		{
			++it.peer->placed;
			return it.target;
		};
		double total_deficit = 0;
		const peer_option* least_loaded = nullptr;
		for (std::size_t i = 0; i < n; ++i)
		{
			if (can_accept(peers[i]))
			{
				total_deficit += std::max(0.0, mean - peers[i].load) * peers[i].target->weight;
				least_loaded = least_loaded == nullptr || peers[i].load < least_loaded->load ? &peers[i] : least_loaded;
			}
		}
		double remaining = random.uniform() * total_deficit;
		for (std::size_t i = 0; i < n && total_deficit > 0; ++i)
		{
			if (can_accept(peers[i]))
			{
				remaining -= std::max(0.0, mean - peers[i].load) * peers[i].target->weight;
				if (remaining < 0)
				{
					return place_at(peers[i]);
				}
			}
		}
		if (least_loaded == nullptr || (may_keep && self.flows <= least_loaded->load * own_weight))
		{
			return nullptr;
		}
		return place_at(*least_loaded);
	}
}
