#pragma once

#include "nutmegturn/steering/records.hpp"
#include "nutmegturn/time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nutmegturn::steering
{
	/// Hash of a service's name, as messages carry it.
	enum class service_key : std::uint32_t
	{
	};

	/// Returns the key of a service.
	[[nodiscard]] service_key key_of_service(std::string_view name) noexcept;

	/// Records that are listed and watched together.
	enum class record_group : std::uint8_t
	{
		operator_orders,
		upstreams
	};

	/// Upstream with what the process knows of it.
	struct known_upstream
	{
		std::string key;
		upstream_entry entry;
		service_key service{};
		monotonic_time changed_at;    ///< When the entry was last seen to change.
		bool listed = true;           ///< The store has the entry.
		monotonic_time removed_at;    ///< When the entry was found missing.
		monotonic_time grace_until{}; ///< End of the grace period of an entry that lapsed in an outage.
	};

	/// Route with the services that may hold flows of it.
	struct known_route
	{
		std::vector<std::pair<service_key, std::uint32_t>> services; ///< With weights, for new flows.
		std::uint64_t total_weight = 0;
		std::map<service_key, monotonic_time>
			former_services; ///< Services no longer chosen, with the time of that change.
	};

	/// Everything a process knows from the metadata store. Versions never step back.
	struct catalog
	{
		std::uint64_t version = 0;
		milliseconds idle_timeout{0};
		std::map<ipv4_endpoint, known_route> routes;
		std::map<service_key, service_record> services;
		std::map<std::string, known_upstream> upstreams;
		std::map<std::string, std::string> evacuations;         ///< Zone to the key of the order.
		std::map<std::string, monotonic_time> evacuation_ended; ///< Zone to the time when its evacuation ended.
		std::map<service_key, std::vector<const known_upstream*>> by_service;
		std::map<std::string, std::uint64_t> revisions; ///< Newest revision seen of each key.
		std::uint64_t orders_revision = 0;              ///< Newest revision of an order of the operator.
		std::uint64_t unreadable_records = 0;           ///< Records that were ignored.
	};

	/// How long an upstream without entry is kept as a possible holder of flows.
	inline constexpr std::chrono::seconds former_upstream_retention{60};

	/// How long an entry that went missing may take to come back: entries lapse while the store is down, and a watch
	/// that waits all the while does not notice. Below the time in which a gone upstream must get no more new flows.
	inline constexpr milliseconds expired_entry_grace{2'000};

	/// What a record changed.
	enum class record_effect : std::uint8_t
	{
		none,
		upstream_added,
		upstream_changed,
		upstream_removed,
		configured,
		zone_evacuated,
		zone_returned,
		unreadable
	};

	/// Returns the name for logs.
	[[nodiscard]] std::string_view to_string(record_effect effect) noexcept;

	/// Takes over one record. A record that is not newer than what is known of its key changes nothing, so records may
	/// come from several sources in any order.
	/// \param group	Group of the record's key.
	/// \returns				What it changed.
	record_effect apply_record(catalog& known, record_group group, const store_record& it, monotonic_time now);

	/// Ends a complete listing of a group: what the catalog holds of it but the listing lacked was removed.
	/// \param listed	All keys of the listing.
	void finish_listing(catalog& known, record_group group, const std::set<std::string>& listed, monotonic_time now);

	/// Forgets upstreams that have been missing for longer than `former_upstream_retention`.
	void expire_former(catalog& known, monotonic_time now);

	/// Returns whether new flows may go to an upstream as far as the store tells.
	[[nodiscard]] bool accepts_new_flows(const catalog& known, const known_upstream& it, monotonic_time now);

	/// Returns whether the upstream still bears less than its full load as far as the store tells.
	[[nodiscard]] bool is_cold(const known_upstream& it, monotonic_time now) noexcept;

	/// Chooses the service of a new flow by the route's weights.
	/// \param hash	Hash of the flow, so that every copy of an opening packet gets the same service.
	/// \returns	The service; the route must have one.
	[[nodiscard]] service_key choose_service(const known_route& route, std::uint64_t hash) noexcept;
}
