#pragma once

#include "nutmegturn/steering/records.hpp"
#include "nutmegturn/time.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace nutmegturn::steering
{
	/// Group of records that are listed and watched together.
	enum class record_group : std::uint8_t
	{
		operator_orders, ///< Configuration and zone evacuations, published by the operator.
		upstreams        ///< Entries of upstreams.
	};

	/// What the configurations that a process knows say of a service.
	enum class service_status : std::uint8_t
	{
		unknown,    ///< None has named it. An entry with such a service names no upstream to use.
		configured, ///< The present one names it.
		removed     ///< A former one named it, so its upstreams may still have open flows.
	};

	/// Upstream entry with the times of its changes.
	struct known_upstream
	{
		std::string key;
		upstream_entry entry;
		service_status status = service_status::unknown;
		store_revision registered; ///< Revision at which the upstream registered under this key.
		bool superseded = false;   ///< Another upstream registered later at the same address, so this one has ended.
		monotonic_time changed_at; ///< Last observed change of the entry.
		bool listed = true;        ///< The entry is present in the store.
		monotonic_time removed_at; ///< When the entry was found to be missing.
		std::uint64_t removed_era = 0; ///< Era of the store at that time.
		monotonic_time grace_until{};  ///< End of the grace period of an entry that expired.
	};

	/// Route with the services that may hold its flows.
	struct known_route
	{
		std::vector<weighted_service> services; ///< For new flows; none has weight 0.
		std::uint64_t total_weight = 0;
		std::map<std::string, monotonic_time> former_services; ///< Removed services, with the time of removal.
		traffic_class traffic;
	};

	/// Entry with an unknown service under the key of a known upstream.
	struct withheld_entry
	{
		upstream_entry entry;
		store_revision created;
	};

	/// Priorities of the routes that lead to a service.
	struct priority_range
	{
		std::uint8_t most_urgent = lowest_priority; ///< The smallest number.
		std::uint8_t least_urgent = 0;              ///< The largest number.
	};

	/// Evacuation in force.
	struct known_evacuation
	{
		std::string key;
		std::uint64_t number = 0; ///< Of its record's revision.
	};

	/// Era of a group's records. A restored store lacks what was written after its copy was made until the operator and
	/// the upstreams have written it again.
	struct group_era
	{
		std::uint64_t era = 0;
		bool known = false;              ///< A record or listing of the group has been applied.
		monotonic_time settling_until{}; ///< Until then, what the restored store lacks is expected to be written again.
		std::set<std::string> held;      ///< Keys whose known state is newer than the restored store's.
	};

	/// Largest size of the name of a service or zone that messages carry, in bytes. Such a message fits in one datagram
	/// with a packet. Flows of a service with a longer name are rejected.
	inline constexpr std::size_t max_sent_name_size = 1'024;

	/// Map with names as keys.
	template <typename Value>
	using by_name = std::map<std::string, Value, std::less<>>;

	/// Local copy of the metadata store's records. Versions never decrease. Services, zones and keys of entries stand
	/// here under their names, since a hash of a name may be that of another name too.
	struct catalog
	{
		std::uint64_t version = 0;
		milliseconds idle_timeout{0};
		monotonic_time versions_skipped_at{}; ///< When a version was read without those before it, or zero.
		std::map<ipv4_endpoint, known_route> routes;
		by_name<service_record> services;
		std::set<std::string> named_services;   ///< Services that the configuration describes or that a route leads to.
		std::optional<std::string> own_service; ///< Of an agent's upstream, by its settings; counts as configured.
		by_name<priority_range> priorities;     ///< By service, also those that routes led to formerly.
		std::map<std::string, known_upstream> upstreams;
		std::map<std::string, withheld_entry> withheld;         ///< By key; applied once their services are named.
		std::map<std::string, known_evacuation> evacuations;    ///< By zone.
		std::map<std::string, std::uint64_t> ended_evacuations; ///< Revision number of the last one by key.
		std::map<std::string, monotonic_time> evacuation_ended; ///< Time when the evacuation ended, by zone.
		by_name<std::vector<const known_upstream*>> by_service; ///< Each list in the order of keys.
		/// Upstreams of each service by zone; each list in the order of keys.
		by_name<by_name<std::vector<const known_upstream*>>> by_service_zone;
		std::map<ipv4_endpoint, std::vector<known_upstream*>> by_address; ///< Each list in the order of keys.
		std::map<std::string, store_revision> revisions;                  ///< Newest known revision of each key.
		store_revision orders_revision;       ///< Newest revision of the group `operator_orders`.
		std::array<group_era, 2> eras;        ///< By `record_group`.
		std::uint64_t unreadable_records = 0; ///< Records ignored because they could not be decoded.
	};

	/// How long an upstream without an entry remains a candidate in searches for holders.
	inline constexpr std::chrono::seconds former_upstream_retention{60};

	/// How long an upstream whose entry disappeared still gets new flows. Entries expire while the store is down, and a
	/// pending watch does not detect the outage. Shorter than the time within which new flows to an ended upstream must
	/// stop.
	inline constexpr milliseconds expired_entry_grace{2'000};

	/// Effect of a record on the catalog.
	enum class record_effect : std::uint8_t
	{
		none,
		upstream_added,
		upstream_changed,
		upstream_removed,
		configured,
		zone_evacuated,
		zone_returned,
		unreadable,
		service_unknown ///< The entry names a service that the configuration does not; no upstream is used by it.
	};

	/// Returns the event name used in logs.
	[[nodiscard]] std::string_view to_string(record_effect effect) noexcept;

	/// Returns the era of a group's records.
	[[nodiscard]] inline const group_era& era_of(const catalog& known, record_group group) noexcept
	{
		return known.eras[static_cast<std::size_t>(group)];
	}

	/// How long the known state goes before that of a restored store where the two differ.
	inline constexpr milliseconds restore_settling_time{2'500};

	/// Applies one record. A record that is not newer than the known revision of its key is ignored, so records may
	/// come from several sources in any order. Of configurations, the one with the highest version is in force.
	///
	/// The first record of a key in a later era may be older than the known one. Versions, start times and sequence
	/// numbers show that; such a record is held back for `restore_settling_time`. An earlier entry of the same run of a
	/// listed upstream is never applied, since the upstream may be draining by now.
	///
	/// An entry whose service no known configuration names gets no flows and supersedes no other upstream. The result
	/// does not depend on whether the entry or a configuration that names its service is applied first.
	/// \param group	Group of the record's key.
	record_effect apply_record(catalog& known, record_group group, const store_record& record, monotonic_time now);

	/// Completes a full listing of a group: removes the catalog's records of that group that the listing lacks. An
	/// evacuation that a restored store lacks stays in force for `restore_settling_time`.
	/// \param listed	All keys of the listing.
	/// \param revision	Revision of the listing.
	/// \returns		The keys of the removed records, with the effect of each removal.
	std::vector<std::pair<std::string, record_effect>> finish_listing(catalog& known, record_group group,
																	  const std::set<std::string>& listed,
																	  store_revision revision, monotonic_time now);

	/// Returns the number of entries in the store whose services no known configuration names.
	[[nodiscard]] std::size_t count_upstreams_of_unknown_services(const catalog& known);

	/// Returns the services of the present configuration whose names are longer than `max_sent_name_size`.
	[[nodiscard]] std::vector<std::string_view> services_with_long_names(const catalog& known);

	/// Removes upstreams and former services of routes after `former_upstream_retention`.
	void expire_former(catalog& known, monotonic_time now);

	/// Returns the class of the requests that callers send to an address; the default class for an unknown route.
	[[nodiscard]] traffic_class traffic_class_of(const catalog& known, const ipv4_endpoint& address);

	/// Returns whether the routes that lead to a service differ in priority. A route that led there until
	/// `former_upstream_retention` ago counts, since its open flows remain there.
	[[nodiscard]] bool has_priorities(const catalog& known, std::string_view service);

	/// Returns the smallest priority number of these routes; `lowest_priority` if there is none.
	[[nodiscard]] std::uint8_t most_urgent_priority(const catalog& known, std::string_view service);

	/// Returns whether `a` registered later than `b`. Only upstreams of one address are compared. The order of
	/// registrations decides, since clocks of instances may be set back; start times decide if it is unknown.
	[[nodiscard]] bool registered_later(const known_upstream& a, const known_upstream& b) noexcept;

	/// Returns whether an upstream accepts new flows according to the store. An upstream that restarts registers under
	/// a new ID while its former entry is still listed; the former entry accepts none.
	[[nodiscard]] bool accepts_new_flows(const catalog& known, const known_upstream& upstream, monotonic_time now);

	/// Returns the instances of the upstreams in an availability zone, including upstreams that left the store. Those
	/// of unknown services are left out.
	[[nodiscard]] std::vector<ipv4> instances_in_zone(const catalog& known, std::string_view zone);

	/// Returns whether an upstream is in cold start according to the store and takes only part of its full load.
	[[nodiscard]] bool is_cold(const known_upstream& upstream, monotonic_time now) noexcept;

	/// Chooses the service of a new flow by the route's weights.
	/// \param route	Has at least one service.
	/// \param hash	Hash of the flow, so that every retransmission of an opening packet gets the same service.
	/// \returns		The service's name in the route.
	[[nodiscard]] const std::string& choose_service(const known_route& route, std::uint64_t hash) noexcept;
}
