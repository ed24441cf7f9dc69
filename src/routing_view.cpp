#include "nutmegturn/routing_view.hpp"

#include "nutmegturn/impl/fixed_log2.hpp"

#include <algorithm>
#include <bit>
#include <cstring>
#include <utility>

namespace nutmegturn
{
	namespace
	{
		[[nodiscard]] std::uint64_t endpoint_hash(const endpoint& ep) noexcept
		{
			std::uint64_t high = 0;
			std::uint64_t low = 0;
			std::memcpy(&high, ep.ip.bytes.data(), sizeof high);
			std::memcpy(&low, ep.ip.bytes.data() + sizeof high, sizeof low);
			return detail::mix_bits(low ^ (high * 0x9e3779b97f4a7c15U) ^ (std::uint64_t{ep.port} << 40U));
		}

		/// Open-addressing table of agents by data endpoint; it is queried once per upstream.
		class agent_index
		{
		public:
			explicit agent_index(const member_view& members) : slots_(std::bit_ceil(2 * members.members.size() + 1))
			{
				for (const auto& it : members.members)
				{
					if (it.role != member_role::agent)
					{
						continue;
					}
					auto& slot = slots_[position(it.data)];
					// A replaced instance may leave a dead entry at its endpoint, so the entry with the best liveness
					// is used.
					if (slot == nullptr || it.liveness < slot->liveness)
					{
						slot = &it;
					}
				}
			}

			[[nodiscard]] const member* find(const endpoint& data) const noexcept
			{
				return slots_[position(data)];
			}

		private:
			[[nodiscard]] std::size_t position(const endpoint& data) const noexcept
			{
				const std::size_t mask = slots_.size() - 1;
				auto at = static_cast<std::size_t>(endpoint_hash(data)) & mask;
				while (slots_[at] != nullptr && slots_[at]->data != data)
				{
					at = (at + 1) & mask;
				}
				return at;
			}

			std::vector<const member*> slots_;
		};

		[[nodiscard]] candidate_state state_from_run_state(upstream_run_state state) noexcept
		{
			switch (state)
			{
				case upstream_run_state::draining:
				case upstream_run_state::leaving:
					return candidate_state::draining;
				case upstream_run_state::out:
					return candidate_state::out;
				default:
					return candidate_state::eligible;
			}
		}

		[[nodiscard]] candidate_state state_from_member(const member& agent, upstream_id upstream) noexcept
		{
			auto state = candidate_state::eligible;
			switch (agent.liveness)
			{
				case member_liveness::dead:
					return candidate_state::dead;
				case member_liveness::leaving:
					state = candidate_state::draining;
					break;
				case member_liveness::suspect:
					state = candidate_state::suspect;
					break;
				case member_liveness::alive:
					break;
			}
			for (const auto& it : agent.upstreams)
			{
				if (it.id == upstream)
				{
					state = std::max(state, state_from_run_state(it.state));
				}
			}
			return state;
		}

		[[nodiscard]] candidate_state state_of(const upstream_config& it, const deployment& records,
											   const agent_index& agents) noexcept
		{
			const auto zone = std::ranges::lower_bound(records.zones, it.zone, {}, &zone_config::id);
			if (zone != records.zones.end() && zone->id == it.zone && zone->state == zone_admin_state::out)
			{
				return candidate_state::zone_out;
			}
			const auto* agent = agents.find(it.agent);
			auto state = agent != nullptr ? state_from_member(*agent, it.id) : candidate_state::eligible;
			if (it.state == upstream_admin_state::draining)
			{
				state = std::max(state, candidate_state::draining);
			}
			if (it.state == upstream_admin_state::out)
			{
				state = std::max(state, candidate_state::out);
			}
			return state;
		}

		void suspect_dead_if_none_available(std::vector<candidate>& candidates) noexcept
		{
			const bool any_primary =
				std::ranges::any_of(candidates, [](const candidate& it) { return may_be_primary(it.state); });
			if (any_primary)
			{
				return;
			}
			for (auto& it : candidates)
			{
				if (it.state == candidate_state::dead)
				{
					it.state = candidate_state::suspect;
				}
			}
		}

		[[nodiscard]] std::shared_ptr<const service_view>
		make_service(const service_config& config, std::vector<candidate>&& candidates,
					 const std::shared_ptr<const service_view>& earlier)
		{
			if (earlier && earlier->candidates == candidates && earlier->protocol == config.protocol &&
				earlier->idle_timeout == config.idle_timeout)
			{
				return earlier;
			}
			auto service = std::make_shared<service_view>();
			service->id = config.id;
			service->protocol = config.protocol;
			service->idle_timeout = config.idle_timeout;
			const auto buckets = bucket_count_for(candidates.size());
			service->primaries = earlier && earlier->primaries.size() == buckets
									 ? update_primaries(candidates, earlier->candidates, earlier->primaries)
									 : build_primaries(candidates, buckets);
			service->candidates = std::move(candidates);
			return service;
		}
	}

	const candidate* service_view::find(upstream_id upstream) const noexcept
	{
		const auto it = std::ranges::lower_bound(candidates, upstream, {}, &candidate::id);
		return it != candidates.end() && it->id == upstream ? &*it : nullptr;
	}

	address_table::address_table(std::size_t addresses) : entries_(std::bit_ceil(2 * addresses + 1)) {}

	void address_table::insert(const endpoint& ep, const service_view& service) noexcept
	{
		const std::size_t mask = entries_.size() - 1;
		auto at = static_cast<std::size_t>(endpoint_hash(ep)) & mask;
		while (entries_[at].service != nullptr)
		{
			if (entries_[at].ep == ep)
			{
				return;
			}
			at = (at + 1) & mask;
		}
		entries_[at] = {.ep = ep,
						.service = &service,
						.primaries = service.primaries.data(),
						.candidates = service.candidates.data(),
						.mask = service.primaries.size() - 1,
						.id = service.id};
	}

	const address_entry* address_table::find(const endpoint& ep) const noexcept
	{
		const std::size_t mask = entries_.size() - 1;
		auto at = static_cast<std::size_t>(endpoint_hash(ep)) & mask;
		while (entries_[at].service != nullptr)
		{
			if (entries_[at].ep == ep)
			{
				return &entries_[at];
			}
			at = (at + 1) & mask;
		}
		return nullptr;
	}

	void address_table::prefetch(const endpoint& ep) const noexcept
	{
		__builtin_prefetch(&entries_[static_cast<std::size_t>(endpoint_hash(ep)) & (entries_.size() - 1)]);
	}

	const service_view* routing_view::service_at(const endpoint& ep) const noexcept
	{
		const auto* entry = addresses.find(ep);
		return entry == nullptr ? nullptr : entry->service;
	}

	const std::shared_ptr<const service_view>& routing_view::find(service_id id) const noexcept
	{
		static const std::shared_ptr<const service_view> none;
		const auto it =
			std::ranges::lower_bound(services, id, {}, [](const auto& service) noexcept { return service->id; });
		return it != services.end() && (*it)->id == id ? *it : none;
	}

	routing_view build_routing_view(const deployment& records, const member_view& members, const routing_view* previous)
	{
		routing_view view;
		view.rev = records.rev;
		for (const auto& it : members.members)
		{
			if (it.role == member_role::balancer && it.liveness != member_liveness::dead)
			{
				view.balancers.push_back(it.data);
			}
		}
		std::ranges::sort(view.balancers);

		const agent_index agents{members};
		// Upstreams are sorted by id, so appending keeps each service's list sorted.
		std::vector<std::vector<candidate>> candidates(records.services.size());
		for (const auto& it : records.upstreams)
		{
			const auto service = std::ranges::lower_bound(records.services, it.service, {}, &service_config::id);
			if (service == records.services.end() || service->id != it.service)
			{
				continue;
			}
			auto& list = candidates[static_cast<std::size_t>(service - records.services.begin())];
			if (list.size() < max_candidates)
			{
				list.push_back(make_candidate(it.id, it.zone, it.agent, state_of(it, records, agents), it.connections));
			}
		}

		std::size_t addresses = 0;
		for (const auto& it : records.services)
		{
			addresses += it.addresses.size();
		}
		view.addresses = address_table{addresses};
		view.services.reserve(records.services.size());
		for (std::size_t i = 0; i < records.services.size(); ++i)
		{
			const auto& config = records.services[i];
			suspect_dead_if_none_available(candidates[i]);
			const auto earlier = previous != nullptr ? previous->find(config.id) : nullptr;
			view.services.push_back(make_service(config, std::move(candidates[i]), earlier));
			for (const auto& ep : config.addresses)
			{
				view.addresses.insert(ep, *view.services.back());
			}
		}
		return view;
	}
}
