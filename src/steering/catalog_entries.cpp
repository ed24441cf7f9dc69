#include "nutmegturn/impl/catalog.hpp"

#include <algorithm>
#include <tuple>

namespace nutmegturn::steering
{
	namespace
	{
		using namespace detail;

		template <typename Upstream>
		void insert_by_key(std::vector<Upstream*>& list, known_upstream& upstream)
		{
			list.insert(std::ranges::upper_bound(list, upstream.key, {}, &known_upstream::key), &upstream);
		}

		/// Adds an upstream to the indexes, so that a change of one of many upstreams does not rebuild them.
		void add_to_index(catalog& known, known_upstream& upstream)
		{
			insert_by_key(known.by_service[upstream.entry.service], upstream);
			insert_by_key(known.by_service_zone[upstream.entry.service][upstream.entry.zone], upstream);
			insert_by_key(known.by_address[upstream.entry.address], upstream);
		}

		/// Marks all upstreams of one address but the one that registered last. An entry of a service that is not
		/// configured does not show that another upstream has ended: it may be another writer's.
		void mark_superseded(const std::vector<known_upstream*>& upstreams)
		{
			const known_upstream* holder = nullptr;
			for (const auto* it : upstreams)
			{
				const bool configured = it->status == service_status::configured;
				if (configured && (holder == nullptr || registered_later(*it, *holder)))
				{
					holder = it;
				}
			}
			for (auto* it : upstreams)
			{
				it->superseded = holder != nullptr && it != holder;
			}
		}

		void mark_superseded(catalog& known)
		{
			for (const auto& [address, upstreams] : known.by_address)
			{
				mark_superseded(upstreams);
			}
		}

		/// Returns the status of a service by the present configuration.
		/// \param before	Status by the former one.
		[[nodiscard]] service_status next_status(const catalog& known, const std::string& service,
												 service_status before)
		{
			if (is_configured(known, service))
			{
				return service_status::configured;
			}
			return before == service_status::unknown ? service_status::unknown : service_status::removed;
		}

		void rebuild_index(catalog& known)
		{
			known.by_service.clear();
			known.by_service_zone.clear();
			known.by_address.clear();
			for (auto& [key, it] : known.upstreams)
			{
				known.by_service[it.entry.service].push_back(&it);
				known.by_service_zone[it.entry.service][it.entry.zone].push_back(&it);
				known.by_address[it.entry.address].push_back(&it);
			}
			mark_superseded(known);
		}

		/// Returns whether an entry describes the known upstream of its key, or a later run of it. Another writer's
		/// entry under that key may have another service or address.
		[[nodiscard]] bool describes(const upstream_entry& entry, const known_upstream& upstream)
		{
			return entry.service == upstream.entry.service && entry.address == upstream.entry.address;
		}

		/// Returns whether the run of an upstream that the known entry describes may have published an entry.
		[[nodiscard]] bool may_be_same_run(const known_upstream& upstream, const upstream_entry& entry)
		{
			return describes(entry, upstream) && entry.started_at_ms == upstream.entry.started_at_ms;
		}

		/// Returns whether an entry with an unknown service is to leave the upstream of its key as it is, since that
		/// may have open flows of its own service.
		[[nodiscard]] bool is_withheld(const catalog& known, const std::string& key, const upstream_entry& entry)
		{
			const auto found = known.upstreams.find(key);
			return found != known.upstreams.end() && found->second.status != service_status::unknown &&
				   !describes(entry, found->second) && !is_configured(known, entry.service);
		}

		/// Applies the withheld entries whose services the configuration names.
		void apply_withheld(catalog& known, monotonic_time now)
		{
			std::map<std::string, withheld_entry> named;
			for (const auto& [key, it] : known.withheld)
			{
				if (is_configured(known, it.entry.service))
				{
					named.emplace(key, it);
				}
			}
			for (const auto& [key, it] : named)
			{
				apply_entry(known, key, it.created, it.entry, now);
			}
		}
	}

	namespace detail
	{
		std::optional<record_effect> remove_upstream(catalog& known, const std::string& key, monotonic_time now)
		{
			known.withheld.erase(key);
			const auto found = known.upstreams.find(key);
			if (found == known.upstreams.end())
			{
				return std::nullopt;
			}
			auto& upstream = found->second;
			if (!upstream.listed)
			{
				return record_effect::none;
			}
			upstream.listed = false;
			upstream.removed_at = now;
			upstream.removed_era = era_of(known, record_group::upstreams).era;
			upstream.grace_until = now + expired_entry_grace;
			return record_effect::upstream_removed;
		}

		void remove_without_grace(catalog& known, const std::string& key, monotonic_time now)
		{
			remove_upstream(known, key, now);
			if (const auto replaced = known.upstreams.find(key); replaced != known.upstreams.end())
			{
				replaced->second.grace_until = now;
			}
		}

		record_effect apply_entry(catalog& known, const std::string& key, const store_revision& created,
								  const upstream_entry& entry, monotonic_time now)
		{
			if (is_withheld(known, key, entry))
			{
				remove_without_grace(known, key, now);
				known.withheld[key] = {.entry = entry, .created = created};
				return record_effect::service_unknown;
			}
			known.withheld.erase(key);
			const auto [found, added] = known.upstreams.try_emplace(key);
			auto& upstream = found->second;
			const bool same_service = !added && upstream.entry.service == entry.service;
			const bool moved = !added && (!same_service || upstream.entry.address != entry.address ||
										  upstream.entry.zone != entry.zone);
			const bool same_run = !added && may_be_same_run(upstream, entry);
			const auto former_status = same_service ? upstream.status : service_status::unknown;
			upstream = {.key = key,
						.entry = entry,
						.status = next_status(known, entry.service, former_status),
						.registered = same_run ? upstream.registered : created,
						.superseded = false,
						.changed_at = now,
						.listed = true,
						.removed_at = {},
						.removed_era = 0,
						.grace_until = {}};
			if (added)
			{
				add_to_index(known, upstream);
			}
			if (moved)
			{
				rebuild_index(known);
			}
			mark_superseded(known.by_address[entry.address]);
			if (known.version != 0 && upstream.status == service_status::unknown)
			{
				return record_effect::service_unknown;
			}
			return added ? record_effect::upstream_added : record_effect::upstream_changed;
		}

		void follow_named_services(catalog& known, monotonic_time now)
		{
			for (auto& [key, it] : known.upstreams)
			{
				it.status = next_status(known, it.entry.service, it.status);
			}
			mark_superseded(known);
			apply_withheld(known, now);
		}

		bool is_former_entry_of_run(const catalog& known, const store_record& record)
		{
			const auto* entry = std::get_if<upstream_entry>(&record.value);
			const auto found = known.upstreams.find(record.key);
			if (entry == nullptr || found == known.upstreams.end())
			{
				return false;
			}
			const auto& upstream = found->second;
			const bool same_run = entry->started_at_ms != 0 && may_be_same_run(upstream, *entry);
			const bool same_era = known.revisions.at(record.key).era == record.revision.era;
			return same_run && entry->sequence < upstream.entry.sequence && (upstream.listed || same_era);
		}

		bool is_older_entry(const known_upstream& upstream, const upstream_entry& listed, std::uint64_t era)
		{
			const auto& entry = upstream.entry;
			const auto known_age = std::tie(entry.started_at_ms, entry.sequence);
			const auto listed_age = std::tie(listed.started_at_ms, listed.sequence);
			if (upstream.listed)
			{
				return listed_age < known_age;
			}
			// The upstream had left before the store was restored.
			return upstream.removed_era < era && listed_age <= known_age;
		}

		void expire_former_upstreams(catalog& known, monotonic_time now)
		{
			const auto is_over = [&known, now](const known_upstream& it)
			{
				const bool removed = !it.listed && !known.withheld.contains(it.key);
				return removed && now - it.removed_at > former_upstream_retention;
			};
			for (const auto& [key, it] : known.upstreams)
			{
				if (is_over(it))
				{
					known.revisions.erase(key);
				}
			}
			const auto n = std::erase_if(known.upstreams, [&is_over](const auto& it) { return is_over(it.second); });
			if (n > 0)
			{
				rebuild_index(known);
			}
		}
	}

	std::size_t count_upstreams_of_unknown_services(const catalog& known)
	{
		const auto n =
			std::ranges::count_if(known.upstreams, [](const auto& it)
								  { return it.second.listed && it.second.status == service_status::unknown; });
		return static_cast<std::size_t>(n) + known.withheld.size();
	}

	bool registered_later(const known_upstream& a, const known_upstream& b) noexcept
	{
		return std::tie(a.registered, a.entry.started_at_ms) > std::tie(b.registered, b.entry.started_at_ms);
	}

	bool accepts_new_flows(const catalog& known, const known_upstream& upstream, monotonic_time now)
	{
		// Without a configuration, nothing tells which services are unknown.
		const bool usable = known.version == 0 || upstream.status == service_status::configured;
		if (!usable || upstream.superseded || (!upstream.listed && now >= upstream.grace_until))
		{
			return false;
		}
		return upstream.entry.readiness == upstream_readiness::ready &&
			   !known.evacuations.contains(upstream.entry.zone);
	}

	std::vector<ipv4> instances_in_zone(const catalog& known, std::string_view zone)
	{
		std::vector<ipv4> instances;
		for (const auto& [key, it] : known.upstreams)
		{
			if (it.entry.zone == zone && it.status != service_status::unknown)
			{
				instances.push_back(it.entry.address.ip);
			}
		}
		return instances;
	}

	bool is_cold(const known_upstream& upstream, monotonic_time now) noexcept
	{
		return now < upstream.changed_at + upstream.entry.cold_remaining;
	}
}
