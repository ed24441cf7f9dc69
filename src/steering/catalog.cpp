#include "nutmegturn/steering/catalog.hpp"

#include "nutmegturn/impl/fixed_log2.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <tuple>

namespace nutmegturn::steering
{
	namespace
	{
		constexpr std::array<std::string_view, 8> effect_names{
			"none",       "upstream_added", "upstream_changed", "upstream_removed",
			"configured", "zone_evacuated", "zone_returned",    "unreadable"};

		void rebuild_index(catalog& known)
		{
			known.by_service.clear();
			for (const auto& [key, it] : known.upstreams)
			{
				known.by_service[it.service].push_back(&it);
			}
		}

		void mark_superseded(catalog& known)
		{
			std::map<ipv4_endpoint, known_upstream*> latest;
			for (auto& [key, it] : known.upstreams)
			{
				auto& newest = latest[it.entry.address];
				const bool is_newest = newest == nullptr || registered_later(it, *newest);
				it.superseded = !is_newest;
				if (is_newest)
				{
					if (newest != nullptr)
					{
						newest->superseded = true;
					}
					newest = &it;
				}
			}
		}

		record_effect remove_record(catalog& known, const std::string& key, monotonic_time now)
		{
			if (const auto it = known.upstreams.find(key); it != known.upstreams.end())
			{
				if (!it->second.listed)
				{
					return record_effect::none;
				}
				it->second.listed = false;
				it->second.removed_at = now;
				it->second.grace_until = now + expired_entry_grace;
				return record_effect::upstream_removed;
			}
			const auto zone = std::ranges::find(known.evacuations, key, [](const auto& it) { return it.second; });
			if (zone != known.evacuations.end())
			{
				known.evacuation_ended[zone->first] = now;
				known.evacuations.erase(zone);
				return record_effect::zone_returned;
			}
			return record_effect::none;
		}

		record_effect apply_entry(catalog& known, const store_record& record, const upstream_entry& entry,
								  monotonic_time now)
		{
			const auto found = known.upstreams.find(record.key);
			const bool added = found == known.upstreams.end();
			known.upstreams[record.key] = {.key = record.key,
										   .entry = entry,
										   .service = key_of_service(entry.service),
										   .registered = record.created,
										   .superseded = false,
										   .changed_at = now,
										   .listed = true,
										   .removed_at = {},
										   .grace_until = {}};
			rebuild_index(known);
			mark_superseded(known);
			return added ? record_effect::upstream_added : record_effect::upstream_changed;
		}

		[[nodiscard]] known_route make_route(const route_record& record)
		{
			known_route made;
			for (const auto& share : record.services)
			{
				if (share.weight > 0)
				{
					made.services.emplace_back(key_of_service(share.service), share.weight);
					made.total_weight += share.weight;
				}
			}
			return made;
		}

		/// Keeps services that were removed from a route: their open flows remain there, so searches include them.
		void keep_former_services(known_route& made, const known_route& before, monotonic_time now)
		{
			made.former_services = before.former_services;
			for (const auto& [service, weight] : before.services)
			{
				made.former_services[service] = now;
			}
			for (const auto& [service, weight] : made.services)
			{
				made.former_services.erase(service);
			}
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
			known.services.clear();
			for (const auto& service : config.services)
			{
				known.services[key_of_service(service.name)] = service;
			}
			known.version = config.version;
			known.idle_timeout = config.idle_timeout;
			return record_effect::configured;
		}
	}

	service_key key_of_service(std::string_view name) noexcept
	{
		return service_key{static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size()))};
	}

	std::string_view to_string(record_effect effect) noexcept
	{
		return effect_names[static_cast<std::size_t>(effect)];
	}

	record_effect apply_record(catalog& known, record_group group, const store_record& record, monotonic_time now)
	{
		auto& newest = known.revisions[record.key];
		if (record.revision <= newest)
		{
			return record_effect::none;
		}
		newest = record.revision;
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
			return apply_entry(known, record, *entry, now);
		}
		if (const auto* config = std::get_if<configuration>(&record.value))
		{
			return apply_configuration(known, *config, now);
		}
		if (const auto* order = std::get_if<zone_evacuation>(&record.value))
		{
			const bool added = known.evacuations.insert_or_assign(order->zone, record.key).second;
			return added ? record_effect::zone_evacuated : record_effect::none;
		}
		// An upstream with an unreadable entry gets no new flows, not even in the grace period.
		remove_record(known, record.key, now);
		if (const auto unreadable = known.upstreams.find(record.key); unreadable != known.upstreams.end())
		{
			unreadable->second.grace_until = now;
		}
		++known.unreadable_records;
		return record_effect::unreadable;
	}

	void finish_listing(catalog& known, record_group group, const std::set<std::string>& listed, monotonic_time now)
	{
		std::vector<std::string> known_keys;
		if (group == record_group::upstreams)
		{
			for (const auto& [key, it] : known.upstreams)
			{
				known_keys.push_back(key);
			}
		}
		else
		{
			for (const auto& [zone, key] : known.evacuations)
			{
				known_keys.push_back(key);
			}
		}
		for (const auto& key : known_keys)
		{
			if (!listed.contains(key))
			{
				remove_record(known, key, now);
			}
		}
	}

	void expire_former(catalog& known, monotonic_time now)
	{
		for (const auto& [key, it] : known.upstreams)
		{
			if (!it.listed && now - it.removed_at > former_upstream_retention)
			{
				known.revisions.erase(key);
			}
		}
		const auto n =
			std::erase_if(known.upstreams, [now](const auto& it)
						  { return !it.second.listed && now - it.second.removed_at > former_upstream_retention; });
		if (n > 0)
		{
			rebuild_index(known);
			mark_superseded(known);
		}
		for (auto& [address, route] : known.routes)
		{
			std::erase_if(route.former_services,
						  [now](const auto& it) { return now - it.second > former_upstream_retention; });
		}
	}

	bool registered_later(const known_upstream& a, const known_upstream& b) noexcept
	{
		return std::tie(a.registered, a.entry.started_at_ms) > std::tie(b.registered, b.entry.started_at_ms);
	}

	bool accepts_new_flows(const catalog& known, const known_upstream& upstream, monotonic_time now)
	{
		if (upstream.superseded || (!upstream.listed && now >= upstream.grace_until))
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
			if (it.entry.zone == zone)
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

	service_key choose_service(const known_route& route, std::uint64_t hash) noexcept
	{
		auto draw = detail::mix_bits(hash) % std::max<std::uint64_t>(route.total_weight, 1);
		for (const auto& [service, weight] : route.services)
		{
			if (draw < weight)
			{
				return service;
			}
			draw -= weight;
		}
		return route.services.front().first;
	}
}
