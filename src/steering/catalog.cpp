#include "nutmegturn/impl/catalog.hpp"

#include <algorithm>
#include <array>

namespace nutmegturn::steering
{
	namespace
	{
		using namespace detail;

		constexpr std::array<std::string_view, 9> effect_names{
			"none",           "upstream_added", "upstream_changed", "upstream_removed", "configured",
			"zone_evacuated", "zone_returned",  "unreadable",       "service_unknown"};

		record_effect remove_record(catalog& known, const std::string& key, monotonic_time now)
		{
			const auto removed = remove_upstream(known, key, now);
			return removed ? *removed : end_evacuation(known, key, now);
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
				return is_ended_evacuation(known, record.key, record.revision);
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
			return apply_evacuation(known, record.key, record.revision, *order);
		}
		remove_without_grace(known, record.key, now);
		end_evacuation(known, record.key, now);
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
		detail::expire_former_upstreams(known, now);
		detail::expire_former_services(known, now);
	}
}
