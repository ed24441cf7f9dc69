#include "nutmegturn/impl/catalog.hpp"

#include <algorithm>

namespace nutmegturn::steering::detail
{
	record_effect apply_evacuation(catalog& known, const std::string& key, const store_revision& revision,
								   const zone_evacuation& order)
	{
		const known_evacuation made{.key = key, .number = revision.number};
		const bool added = known.evacuations.insert_or_assign(order.zone, made).second;
		return added ? record_effect::zone_evacuated : record_effect::none;
	}

	record_effect end_evacuation(catalog& known, const std::string& key, monotonic_time now)
	{
		const auto zone = std::ranges::find(known.evacuations, key, [](const auto& it) { return it.second.key; });
		if (zone == known.evacuations.end())
		{
			return record_effect::none;
		}
		known.evacuation_ended[zone->first] = now;
		known.ended_evacuations[key] = zone->second.number;
		known.evacuations.erase(zone);
		return record_effect::zone_returned;
	}

	bool is_ended_evacuation(const catalog& known, const std::string& key, const store_revision& revision)
	{
		const auto ended = known.ended_evacuations.find(key);
		return ended != known.ended_evacuations.end() && ended->second == revision.number;
	}
}
