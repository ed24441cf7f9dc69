#pragma once

#include "nutmegturn/endpoint.hpp"
#include "nutmegturn/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace nutmegturn
{
	/// State of a candidate, best first. The first three may be primaries; the first four are part of the candidate
	/// chains.
	enum class candidate_state : std::uint8_t
	{
		eligible, ///< May be the primary of a bucket.
		suspect,  ///< Primary only when the service has no eligible candidate.
		draining, ///< Draining or leaving; primary only when the service has no better candidate.
		out,      ///< Taken out by its record or its own agent; searched, since it may still hold flows.
		dead,     ///< Its agent is dead.
		zone_out  ///< Its availability zone is out of rotation.
	};

	/// Upstream of a service in a routing view. Aligned so that a routing decision loads one cache line of it.
	struct alignas(64) candidate
	{
		upstream_id id{};
		zone_id zone{};
		endpoint agent; ///< Data endpoint of its agent.
		candidate_state state = candidate_state::eligible;
		std::uint32_t weight = 1;         ///< Published `connections`, at least 1.
		std::uint64_t seed = 0;           ///< Mixed id; input of the scores.
		std::uint64_t inverse_weight = 0; ///< 2^48 / weight.

		/// Compares all parts.
		[[nodiscard]] friend bool operator==(const candidate&, const candidate&) noexcept = default;
	};

	/// Position of a candidate in its service's list.
	using candidate_index = std::uint16_t;

	/// Index that means "no candidate".
	inline constexpr candidate_index no_candidate = 0xffff;

	/// Largest number of upstreams of one service.
	inline constexpr std::size_t max_candidates = no_candidate;

	/// Length of a candidate chain: the candidates that a search visits and among which new flows are placed.
	inline constexpr std::size_t search_length = 8;

	/// Returns a candidate with its derived fields filled in.
	[[nodiscard]] candidate make_candidate(upstream_id id, zone_id zone, const endpoint& agent, candidate_state state,
										   std::uint32_t weight) noexcept;

	/// Returns whether a candidate in this state is part of the candidate chains.
	[[nodiscard]] constexpr bool is_in_chain(candidate_state state) noexcept
	{
		return state <= candidate_state::out;
	}

	/// Returns whether a candidate in this state may be a primary.
	[[nodiscard]] constexpr bool may_be_primary(candidate_state state) noexcept
	{
		return state <= candidate_state::draining;
	}

	/// Returns the number of buckets of a service: 1,024 up to 16 upstreams, 8,192 up to 128, 65,536 beyond, which is
	/// at least 64 per upstream up to 1,024 upstreams. A change of the number gives every bucket another chain, so
	/// there are few steps, and upstreams that are out or dead are counted too.
	[[nodiscard]] std::size_t bucket_count_for(std::size_t candidates) noexcept;

	/// Returns the cost of a candidate in a bucket; a chain is in order of increasing cost (weighted rendezvous
	/// hashing). The cost is -log2 of a hash divided by the weight, so each candidate is first in a share of the
	/// buckets proportional to its weight.
	[[nodiscard]] std::uint64_t candidate_cost(const candidate& it, std::size_t bucket) noexcept;

	/// Fills in the first candidates of a bucket's chain. Allocates nothing.
	/// \param candidates	All candidates of the service.
	/// \param bucket		Bucket number.
	/// \param chain		Receives positions in `candidates`, best first; at most `search_length` are written.
	/// \returns			Number of positions written.
	std::size_t candidate_chain(std::span<const candidate> candidates, std::size_t bucket,
								std::span<candidate_index> chain) noexcept;

	/// Returns the primary of each bucket: the first of the chain in the best state that the service has.
	/// \param candidates	All candidates, sorted by id.
	/// \param buckets		Number of buckets.
	[[nodiscard]] std::vector<candidate_index> build_primaries(std::span<const candidate> candidates,
															   std::size_t buckets);

	/// Same result as `build_primaries`, updated from the result for an earlier list of candidates. A candidate that
	/// joined takes two cost computations per bucket; one that left takes a new choice only in the buckets where it
	/// was the primary.
	/// \param candidates	All candidates, sorted by id.
	/// \param earlier		Candidates from which `primaries` was built, sorted by id.
	/// \param primaries	Primary of each bucket as a position in `earlier`.
	[[nodiscard]] std::vector<candidate_index> update_primaries(std::span<const candidate> candidates,
																std::span<const candidate> earlier,
																std::span<const candidate_index> primaries);
}
