#pragma once

#include "nutmegturn/steering/catalog.hpp"

#include <optional>
#include <string>

/// Parts of the catalog, each in a file of its own: entries of upstreams, the services and routes of a configuration,
/// and evacuations. `apply_record` hands each record to its part.
namespace nutmegturn::steering::detail
{
	/// \name Entries of upstreams
	/// @{

	/// Applies the entry of an upstream.
	/// \param created	Revision of the creation of the entry's key.
	record_effect apply_entry(catalog& known, const std::string& key, const store_revision& created,
							  const upstream_entry& entry, monotonic_time now);

	/// Marks the upstream of a key as removed.
	/// \returns	The effect, or nothing if no upstream has that key.
	std::optional<record_effect> remove_upstream(catalog& known, const std::string& key, monotonic_time now);

	/// Removes the upstream of a key without a grace period, since its entry was replaced by one that names no upstream
	/// to use.
	void remove_without_grace(catalog& known, const std::string& key, monotonic_time now);

	/// Applies to the entries that were read before that the configuration names other services.
	void follow_named_services(catalog& known, monotonic_time now);

	/// Returns whether an entry was published before the known one by the same run of an upstream, for example since it
	/// reached the store late or comes from an older copy. A restored store may hold such an entry of an upstream whose
	/// lease had ended but that lives.
	[[nodiscard]] bool is_former_entry_of_run(const catalog& known, const store_record& record);

	/// Returns whether an entry that a store lists shortly after it was restored is older than the known one.
	[[nodiscard]] bool is_older_entry(const known_upstream& upstream, const upstream_entry& listed, std::uint64_t era);

	/// Removes upstreams after `former_upstream_retention`.
	void expire_former_upstreams(catalog& known, monotonic_time now);
	/// @}

	/// \name Services and routes
	/// @{

	/// Applies a configuration, unless its version is known already or older.
	record_effect apply_configuration(catalog& known, const configuration& config, monotonic_time now);

	/// Returns whether the present configuration or the agent's own settings name a service.
	[[nodiscard]] bool is_configured(const catalog& known, const std::string& service);

	/// Removes former services of routes after `former_upstream_retention`.
	void expire_former_services(catalog& known, monotonic_time now);
	/// @}

	/// \name Evacuations
	/// @{

	/// Applies an evacuation.
	/// \param revision	Of its record.
	record_effect apply_evacuation(catalog& known, const std::string& key, const store_revision& revision,
								   const zone_evacuation& order);

	/// Ends the evacuation of a key, if it is in force.
	record_effect end_evacuation(catalog& known, const std::string& key, monotonic_time now);

	/// Returns whether a record is that of the last evacuation of its key that ended. Numbers may repeat in a later
	/// era, so the caller asks only while the store settles.
	[[nodiscard]] bool is_ended_evacuation(const catalog& known, const std::string& key,
										   const store_revision& revision);
	/// @}
}
