#include "nutmegturn/balancer.hpp"

#include <algorithm>
#include <array>
#include <cstdint>

namespace nutmegturn
{
	namespace
	{
		/// Packets whose memory loads overlap; about the number of outstanding cache misses that a core supports.
		constexpr std::size_t prefetch_group_size = 16;

		[[nodiscard]] route_outcome outcome_of(const address_entry& entry, candidate_index primary) noexcept
		{
			if (primary == no_candidate)
			{
				return reason::no_upstream;
			}
			const auto& chosen = entry.candidates[primary];
			return route{chosen.agent, chosen.id, entry.id};
		}

		void route_group(const routing_view& view, std::span<const flow_key> keys,
						 std::span<route_outcome> outcomes) noexcept
		{
			std::array<const address_entry*, prefetch_group_size> entries{};
			std::array<std::uint64_t, prefetch_group_size> buckets{};
			std::array<candidate_index, prefetch_group_size> primaries{};
			for (const auto& it : keys)
			{
				view.addresses.prefetch(it.service);
			}
			for (std::size_t i = 0; i < keys.size(); ++i)
			{
				buckets[i] = flow_hash(keys[i]);
			}
			for (std::size_t i = 0; i < keys.size(); ++i)
			{
				entries[i] = view.addresses.find(keys[i].service);
				if (entries[i] != nullptr)
				{
					buckets[i] &= entries[i]->mask;
					__builtin_prefetch(&entries[i]->primaries[buckets[i]]);
				}
			}
			for (std::size_t i = 0; i < keys.size(); ++i)
			{
				primaries[i] = entries[i] == nullptr ? no_candidate : entries[i]->primaries[buckets[i]];
				if (primaries[i] != no_candidate)
				{
					__builtin_prefetch(&entries[i]->candidates[primaries[i]]);
				}
			}
			for (std::size_t i = 0; i < keys.size(); ++i)
			{
				outcomes[i] = entries[i] == nullptr ? route_outcome{reason::unknown_service}
													: outcome_of(*entries[i], primaries[i]);
			}
		}
	}

	route_outcome route_packet(const routing_view& view, const flow_key& key) noexcept
	{
		const auto* entry = view.addresses.find(key.service);
		if (entry == nullptr)
		{
			return reason::unknown_service;
		}
		return outcome_of(*entry, entry->primaries[flow_hash(key) & entry->mask]);
	}

	void route_packets(const routing_view& view, std::span<const flow_key> keys,
					   std::span<route_outcome> outcomes) noexcept
	{
		for (std::size_t i = 0; i < keys.size(); i += prefetch_group_size)
		{
			const auto n = std::min(prefetch_group_size, keys.size() - i);
			route_group(view, keys.subspan(i, n), outcomes.subspan(i, n));
		}
	}
}
