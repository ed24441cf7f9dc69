#pragma once

#include "nutmegturn/bucket_table.hpp"
#include "nutmegturn/deployment.hpp"
#include "nutmegturn/endpoint.hpp"
#include "nutmegturn/ids.hpp"
#include "nutmegturn/member.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace nutmegturn
{
	/// Candidates and buckets of one service. Immutable, and shared by views in which the service is the same.
	struct service_view
	{
		service_id id{};
		service_protocol protocol = service_protocol::datagram;
		std::chrono::seconds idle_timeout{3600};
		std::vector<candidate> candidates;      ///< All upstreams with a record, sorted by id.
		std::vector<candidate_index> primaries; ///< Primary of each bucket; the size is a power of two.

		/// Returns the bucket of a flow hash.
		[[nodiscard]] std::size_t bucket_of(std::uint64_t hash) const noexcept
		{
			return static_cast<std::size_t>(hash) & (primaries.size() - 1);
		}

		/// Returns the primary for a flow hash, or null when the service has no candidate.
		[[nodiscard]] const candidate* primary_of(std::uint64_t hash) const noexcept
		{
			const auto i = primaries[bucket_of(hash)];
			return i == no_candidate ? nullptr : &candidates[i];
		}

		/// Returns the candidate with this id, or null.
		[[nodiscard]] const candidate* find(upstream_id upstream) const noexcept;

		/// Fills in the first candidates of the chain for a flow hash.
		/// \returns	Number of positions written.
		std::size_t chain_of(std::uint64_t hash, std::span<candidate_index> chain) const noexcept
		{
			return candidate_chain(candidates, bucket_of(hash), chain);
		}
	};

	/// Service address with the data that a routing decision needs: one cache line instead of a chain of pointers.
	struct alignas(64) address_entry
	{
		endpoint ep;
		const service_view* service = nullptr; ///< Null in an unused entry.
		const candidate_index* primaries = nullptr;
		const candidate* candidates = nullptr;
		std::uint64_t mask = 0; ///< Number of buckets - 1.
		service_id id{};        ///< Kept here so that a routing decision does not load the service.
	};

	/// Flat open-addressing table of service addresses. Does not own the services.
	class address_table
	{
	public:
		/// Creates a table for a number of addresses.
		explicit address_table(std::size_t addresses = 0);

		/// Adds an address; one that is present keeps its service.
		void insert(const endpoint& ep, const service_view& service) noexcept;

		/// Returns the entry of an address, or null.
		[[nodiscard]] const address_entry* find(const endpoint& ep) const noexcept;

		/// Prefetches the entry at which `find` starts.
		void prefetch(const endpoint& ep) const noexcept;

	private:
		std::vector<address_entry> entries_;
	};

	/// Data for routing decisions at one configuration revision and one state of the member list.
	struct routing_view
	{
		revision rev{};
		std::vector<std::shared_ptr<const service_view>> services; ///< Sorted by id.
		address_table addresses;
		std::vector<endpoint> balancers; ///< Data endpoints of live balancers, sorted.

		/// Returns the service of an address, or null.
		[[nodiscard]] const service_view* service_at(const endpoint& ep) const noexcept;

		/// Returns a service by id, or a null pointer.
		[[nodiscard]] const std::shared_ptr<const service_view>& find(service_id id) const noexcept;
	};

	/// Computes the view of a deployment and a member list. An upstream whose agent has no member entry is
	/// considered alive, since a process that has just started knows few members. When all upstreams of a service that
	/// are not out are dead, they are considered suspect: more likely, this process itself is cut off.
	/// \param records	Records in force, sorted by id.
	/// \param members	Member list.
	/// \param previous	Earlier view whose unchanged services are shared, or null.
	[[nodiscard]] routing_view build_routing_view(const deployment& records, const member_view& members,
												  const routing_view* previous);
}
