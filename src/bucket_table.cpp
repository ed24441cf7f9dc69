#include "nutmegturn/bucket_table.hpp"

#include "nutmegturn/impl/fixed_log2.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace nutmegturn
{
	namespace
	{
		constexpr std::size_t smallest_bucket_count = 1024;
		constexpr std::size_t largest_bucket_count = 65'536;
		constexpr std::size_t bucket_count_factor = 8;
		constexpr std::size_t buckets_per_candidate = 64;

		/// Returns the best state among the candidates; only candidates in this state become primaries.
		[[nodiscard]] candidate_state best_state(std::span<const candidate> candidates) noexcept
		{
			auto best = candidate_state::zone_out;
			for (const auto& it : candidates)
			{
				best = std::min(best, it.state);
			}
			return best;
		}

		[[nodiscard]] candidate_index choose_primary(std::span<const candidate> candidates,
													 std::span<const candidate_index> choices,
													 std::size_t bucket) noexcept
		{
			auto chosen = no_candidate;
			auto lowest = std::numeric_limits<std::uint64_t>::max();
			for (const auto i : choices)
			{
				// The list is sorted by id, so the lower id wins a tie.
				const auto cost = candidate_cost(candidates[i], bucket);
				if (cost < lowest)
				{
					lowest = cost;
					chosen = i;
				}
			}
			return chosen;
		}

		[[nodiscard]] std::vector<candidate_index> positions_in_state(std::span<const candidate> candidates,
																	  candidate_state state)
		{
			std::vector<candidate_index> positions;
			for (std::size_t i = 0; i < candidates.size(); ++i)
			{
				if (candidates[i].state == state)
				{
					positions.push_back(static_cast<candidate_index>(i));
				}
			}
			return positions;
		}
	}

	candidate make_candidate(upstream_id id, zone_id zone, const endpoint& agent, candidate_state state,
							 std::uint32_t weight) noexcept
	{
		const auto effective_weight = std::max<std::uint32_t>(weight, 1);
		return {.id = id,
				.zone = zone,
				.agent = agent,
				.state = state,
				.weight = effective_weight,
				.seed = detail::mix_bits(to_number(id)),
				.inverse_weight = (std::uint64_t{1} << 48U) / effective_weight};
	}

	std::size_t bucket_count_for(std::size_t candidates) noexcept
	{
		std::size_t n = smallest_bucket_count;
		while (n < largest_bucket_count && n < buckets_per_candidate * candidates)
		{
			n *= bucket_count_factor;
		}
		return n;
	}

	std::uint64_t candidate_cost(const candidate& it, std::size_t bucket) noexcept
	{
		const std::uint64_t bits = detail::mix_bits(it.seed + (std::uint64_t{bucket} + 1) * 0x9e3779b97f4a7c15U);
		// At most 39 bits times 49 bits; the shift leaves 64.
		__extension__ using wide = unsigned __int128;
		return static_cast<std::uint64_t>((static_cast<wide>(detail::negative_log2(bits)) * it.inverse_weight) >> 24U);
	}

	std::size_t candidate_chain(std::span<const candidate> candidates, std::size_t bucket,
								std::span<candidate_index> chain) noexcept
	{
		std::array<std::uint64_t, search_length> costs{};
		const std::size_t limit = std::min(chain.size(), search_length);
		std::size_t n = 0;
		for (std::size_t i = 0; i < candidates.size(); ++i)
		{
			if (!is_in_chain(candidates[i].state))
			{
				continue;
			}
			const auto cost = candidate_cost(candidates[i], bucket);
			std::size_t at = n;
			while (at > 0 && cost < costs[at - 1])
			{
				--at;
			}
			if (at >= limit)
			{
				continue;
			}
			n = std::min(n + 1, limit);
			for (std::size_t k = n - 1; k > at; --k)
			{
				costs[k] = costs[k - 1];
				chain[k] = chain[k - 1];
			}
			costs[at] = cost;
			chain[at] = static_cast<candidate_index>(i);
		}
		return n;
	}

	std::vector<candidate_index> build_primaries(std::span<const candidate> candidates, std::size_t buckets)
	{
		std::vector<candidate_index> primaries(buckets, no_candidate);
		const auto state = best_state(candidates);
		if (!may_be_primary(state))
		{
			return primaries;
		}
		const auto choices = positions_in_state(candidates, state);
		for (std::size_t bucket = 0; bucket < buckets; ++bucket)
		{
			primaries[bucket] = choose_primary(candidates, choices, bucket);
		}
		return primaries;
	}

	std::vector<candidate_index> update_primaries(std::span<const candidate> candidates,
												  std::span<const candidate> earlier,
												  std::span<const candidate_index> primaries)
	{
		const auto state = best_state(candidates);
		if (!may_be_primary(state) || best_state(earlier) != state)
		{
			return build_primaries(candidates, primaries.size());
		}
		const auto choices = positions_in_state(candidates, state);
		std::vector<candidate_index> new_positions(earlier.size(), no_candidate);
		std::vector<candidate_index> added;
		std::size_t old = 0;
		for (const auto i : choices)
		{
			while (old < earlier.size() && earlier[old].id < candidates[i].id)
			{
				++old;
			}
			const bool unchanged = old < earlier.size() && earlier[old].id == candidates[i].id &&
								   earlier[old].state == state && earlier[old].weight == candidates[i].weight;
			if (unchanged)
			{
				new_positions[old] = i;
			}
			else
			{
				added.push_back(i);
			}
		}
		std::vector<candidate_index> updated(primaries.size(), no_candidate);
		for (std::size_t bucket = 0; bucket < primaries.size(); ++bucket)
		{
			const auto previous = primaries[bucket];
			const auto kept = previous == no_candidate ? no_candidate : new_positions[previous];
			if (kept == no_candidate)
			{
				updated[bucket] = choose_primary(candidates, choices, bucket);
				continue;
			}
			updated[bucket] = kept;
			if (added.empty())
			{
				continue;
			}
			auto lowest = candidate_cost(candidates[kept], bucket);
			for (const auto i : added)
			{
				const auto cost = candidate_cost(candidates[i], bucket);
				if (cost < lowest || (cost == lowest && i < updated[bucket]))
				{
					lowest = cost;
					updated[bucket] = i;
				}
			}
		}
		return updated;
	}
}
