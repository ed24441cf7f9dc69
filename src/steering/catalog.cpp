#include "nutmegturn/steering/catalog.hpp"

#include "nutmegturn/impl/fixed_log2.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <tuple>

namespace nutmegturn::steering
{
	namespace
	{
		constexpr std::array<std::string_view, 9> effect_names{
			"none",           "upstream_added", "upstream_changed", "upstream_removed", "configured",
			"zone_evacuated", "zone_returned",  "unreadable",       "service_unknown"};

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

		[[nodiscard]] bool is_configured(const catalog& known, const std::string& service)
		{
			return known.own_service == service || known.named_services.contains(service);
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

		record_effect remove_record(catalog& known, const std::string& key, monotonic_time now)
		{
			known.withheld.erase(key);
			if (const auto it = known.upstreams.find(key); it != known.upstreams.end())
			{
				if (!it->second.listed)
				{
					return record_effect::none;
				}
				it->second.listed = false;
				it->second.removed_at = now;
				it->second.removed_era = era_of(known, record_group::upstreams).era;
				it->second.grace_until = now + expired_entry_grace;
				return record_effect::upstream_removed;
			}
			const auto zone = std::ranges::find(known.evacuations, key, [](const auto& it) { return it.second.key; });
			if (zone != known.evacuations.end())
			{
				known.evacuation_ended[zone->first] = now;
				known.ended_evacuations[key] = zone->second.number;
				known.evacuations.erase(zone);
				return record_effect::zone_returned;
			}
			return record_effect::none;
		}

		/// Removes the upstream of a key without a grace period, since its entry was replaced by one that names no
		/// upstream to use.
		void remove_without_grace(catalog& known, const std::string& key, monotonic_time now)
		{
			remove_record(known, key, now);
			if (const auto replaced = known.upstreams.find(key); replaced != known.upstreams.end())
			{
				replaced->second.grace_until = now;
			}
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

		/// \param created	Revision of the creation of the entry's key.
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

		[[nodiscard]] known_route make_route(const route_record& record)
		{
			known_route made;
			made.traffic = record.traffic;
			for (const auto& share : record.services)
			{
				if (share.weight > 0)
				{
					made.services.push_back(share);
					made.total_weight += share.weight;
				}
			}
			return made;
		}

		/// Keeps services that were removed from a route: their open flows remain there, so searches include them.
		void keep_former_services(known_route& made, const known_route& before, monotonic_time now)
		{
			made.former_services = before.former_services;
			for (const auto& share : before.services)
			{
				made.former_services[share.service] = now;
			}
			for (const auto& share : made.services)
			{
				made.former_services.erase(share.service);
			}
		}

		void rebuild_priorities(catalog& known)
		{
			known.priorities.clear();
			const auto add = [&known](const std::string& service, std::uint8_t priority)
			{
				auto& range = known.priorities[service];
				range.most_urgent = std::min(range.most_urgent, priority);
				range.least_urgent = std::max(range.least_urgent, priority);
			};
			for (const auto& [address, route] : known.routes)
			{
				for (const auto& share : route.services)
				{
					add(share.service, route.traffic.priority);
				}
				for (const auto& [service, removed_at] : route.former_services)
				{
					add(service, route.traffic.priority);
				}
			}
		}

		[[nodiscard]] std::set<std::string> services_named_by(const configuration& config)
		{
			std::set<std::string> named;
			for (const auto& service : config.services)
			{
				named.insert(service.name);
			}
			for (const auto& route : config.routes)
			{
				for (const auto& share : route.services)
				{
					named.insert(share.service);
				}
			}
			return named;
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

		/// Sets the services that the configuration names, and what follows for the entries that were read before.
		void set_named_services(catalog& known, std::set<std::string> named, monotonic_time now)
		{
			if (known.named_services == named)
			{
				return;
			}
			known.named_services = std::move(named);
			for (auto& [key, it] : known.upstreams)
			{
				it.status = next_status(known, it.entry.service, it.status);
			}
			mark_superseded(known);
			apply_withheld(known, now);
		}

		record_effect apply_configuration(catalog& known, const configuration& config, monotonic_time now)
		{
			if (config.version <= known.version)
			{
				return record_effect::none;
			}
			std::map<ipv4_endpoint, known_route> routes;
			for (const auto& record : config.routes)
			{
				auto made = make_route(record);
				if (const auto before = known.routes.find(record.address); before != known.routes.end())
				{
					keep_former_services(made, before->second, now);
				}
				routes.insert_or_assign(record.address, std::move(made));
			}
			known.routes = std::move(routes);
			rebuild_priorities(known);
			known.services.clear();
			for (const auto& service : config.services)
			{
				known.services[service.name] = service;
			}
			known.version = config.version;
			known.idle_timeout = config.idle_timeout;
			set_named_services(known, services_named_by(config), now);
			return record_effect::configured;
		}

		void enter_era(catalog& known, record_group group, std::uint64_t era, monotonic_time now)
		{
			auto& current = known.eras[static_cast<std::size_t>(group)];
			if (current.known && era > current.era)
			{
				current.settling_until = now + restore_settling_time;
			}
			current.era = std::max(current.era, era);
			current.known = true;
		}

		[[nodiscard]] bool is_newer_configuration(const catalog& known, const store_record& record)
		{
			const auto* config = std::get_if<configuration>(&record.value);
			return config != nullptr && config->version > known.version;
		}

		/// Returns the keys of a group that a listing may lack: those of upstreams or of evacuations.
		[[nodiscard]] std::vector<std::string> keys_in_force(const catalog& known, record_group group)
		{
			std::vector<std::string> keys;
			if (group == record_group::upstreams)
			{
				// The key of a withheld entry is that of a known upstream.
				for (const auto& [key, it] : known.upstreams)
				{
					keys.push_back(key);
				}
				return keys;
			}
			for (const auto& [zone, it] : known.evacuations)
			{
				keys.push_back(it.key);
			}
			return keys;
		}

		/// Returns whether an entry was published before the known one by the same run of an upstream, for example
		/// since it reached the store late or comes from an older copy. A restored store may hold such an entry of an
		/// upstream whose lease had ended but that lives.
		[[nodiscard]] bool is_former_entry_of_run(const catalog& known, const store_record& record)
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

		/// Returns whether an entry that a store lists shortly after it was restored is older than the known one.
		[[nodiscard]] bool is_older_entry(const known_upstream& upstream, const upstream_entry& listed,
										  std::uint64_t era)
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

		/// Returns whether the first record of a key in a later era was already replaced in an earlier one.
		[[nodiscard]] bool is_older_copy(const catalog& known, record_group group, const store_record& record,
										 monotonic_time now)
		{
			if (now >= era_of(known, group).settling_until)
			{
				return false;
			}
			const auto upstream = known.upstreams.find(record.key);
			if (const auto* entry = std::get_if<upstream_entry>(&record.value))
			{
				return upstream != known.upstreams.end() &&
					   is_older_entry(upstream->second, *entry, record.revision.era);
			}
			if (std::holds_alternative<zone_evacuation>(record.value))
			{
				const auto ended = known.ended_evacuations.find(record.key);
				return ended != known.ended_evacuations.end() && ended->second == record.revision.number;
			}
			return std::holds_alternative<unreadable_record>(record.value) && upstream != known.upstreams.end() &&
				   upstream->second.listed;
		}
	}

	std::string_view to_string(record_effect effect) noexcept
	{
		return effect_names[static_cast<std::size_t>(effect)];
	}

	record_effect apply_record(catalog& known, record_group group, const store_record& record, monotonic_time now)
	{
		auto& newest = known.revisions[record.key];
		if (record.revision <= newest && !is_newer_configuration(known, record))
		{
			return record_effect::none;
		}
		enter_era(known, group, record.revision.era, now);
		auto& held = known.eras[static_cast<std::size_t>(group)].held;
		const bool later_era = record.revision.era > newest.era;
		if (is_former_entry_of_run(known, record) || (later_era && is_older_copy(known, group, record, now)))
		{
			if (later_era)
			{
				held.insert(record.key);
			}
			return record_effect::none;
		}
		held.erase(record.key);
		newest = std::max(newest, record.revision);
		if (group == record_group::operator_orders)
		{
			known.orders_revision = std::max(known.orders_revision, record.revision);
		}
		if (std::holds_alternative<removed_record>(record.value))
		{
			return remove_record(known, record.key, now);
		}
		if (const auto* entry = std::get_if<upstream_entry>(&record.value))
		{
			return apply_entry(known, record.key, record.created, *entry, now);
		}
		if (const auto* config = std::get_if<configuration>(&record.value))
		{
			return apply_configuration(known, *config, now);
		}
		if (const auto* order = std::get_if<zone_evacuation>(&record.value))
		{
			const known_evacuation made{.key = record.key, .number = record.revision.number};
			const bool added = known.evacuations.insert_or_assign(order->zone, made).second;
			return added ? record_effect::zone_evacuated : record_effect::none;
		}
		remove_without_grace(known, record.key, now);
		++known.unreadable_records;
		return record_effect::unreadable;
	}

	std::vector<std::pair<std::string, record_effect>> finish_listing(catalog& known, record_group group,
																	  const std::set<std::string>& listed,
																	  store_revision revision, monotonic_time now)
	{
		std::vector<std::pair<std::string, record_effect>> removed;
		enter_era(known, group, revision.era, now);
		auto& era = known.eras[static_cast<std::size_t>(group)];
		std::erase_if(era.held, [&listed](const auto& key) { return !listed.contains(key); });
		for (const auto& key : keys_in_force(known, group))
		{
			if (listed.contains(key))
			{
				continue;
			}
			const bool may_return = now < era.settling_until && known.revisions[key].era < era.era;
			if (may_return && group == record_group::operator_orders)
			{
				era.held.insert(key);
				continue;
			}
			if (const auto effect = remove_record(known, key, now); effect != record_effect::none)
			{
				removed.emplace_back(key, effect);
			}
		}
		return removed;
	}

	void expire_former(catalog& known, monotonic_time now)
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
		std::size_t former_services = 0;
		for (auto& [address, route] : known.routes)
		{
			former_services += std::erase_if(route.former_services, [now](const auto& it)
											 { return now - it.second > former_upstream_retention; });
		}
		if (former_services > 0)
		{
			rebuild_priorities(known);
		}
	}

	std::size_t count_upstreams_of_unknown_services(const catalog& known)
	{
		const auto n =
			std::ranges::count_if(known.upstreams, [](const auto& it)
								  { return it.second.listed && it.second.status == service_status::unknown; });
		return static_cast<std::size_t>(n) + known.withheld.size();
	}

	std::vector<std::string_view> services_with_long_names(const catalog& known)
	{
		std::vector<std::string_view> found;
		std::ranges::copy_if(known.named_services, std::back_inserter(found),
							 [](const auto& it) { return it.size() > max_sent_name_size; });
		return found;
	}

	traffic_class traffic_class_of(const catalog& known, const ipv4_endpoint& address)
	{
		const auto found = known.routes.find(address);
		return found == known.routes.end() ? traffic_class{} : found->second.traffic;
	}

	bool has_priorities(const catalog& known, std::string_view service)
	{
		const auto found = known.priorities.find(service);
		return found != known.priorities.end() && found->second.most_urgent != found->second.least_urgent;
	}

	std::uint8_t most_urgent_priority(const catalog& known, std::string_view service)
	{
		const auto found = known.priorities.find(service);
		return found == known.priorities.end() ? lowest_priority : found->second.most_urgent;
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

	const std::string& choose_service(const known_route& route, std::uint64_t hash) noexcept
	{
		auto draw = detail::mix_bits(hash) % std::max<std::uint64_t>(route.total_weight, 1);
		for (const auto& share : route.services)
		{
			if (draw < share.weight)
			{
				return share.service;
			}
			draw -= share.weight;
		}
		return route.services.front().service;
	}
}
