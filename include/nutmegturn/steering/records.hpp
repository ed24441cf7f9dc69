#pragma once

#include "nutmegturn/steering/ipv4.hpp"
#include "nutmegturn/steering/store_revision.hpp"
#include "nutmegturn/steering/traffic_class.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace nutmegturn::steering
{
	using milliseconds = std::chrono::milliseconds;

	/// Readiness of an upstream for new flows, as it publishes it.
	enum class upstream_readiness : std::uint8_t
	{
		ready,
		draining
	};

	/// Entry by which an upstream registers in the metadata store.
	struct upstream_entry
	{
		std::string service;
		ipv4_endpoint address;
		std::string zone;
		std::uint32_t slots = 1; ///< Requests that the upstream processes concurrently.
		upstream_readiness readiness = upstream_readiness::ready;
		milliseconds cold_remaining{0}; ///< Remaining cold start time, from the entry's last change.
		std::int64_t started_at_ms = 0; ///< Unix time of the upstream's start; tells two runs under the same ID apart.
		std::uint64_t sequence = 0;     ///< Increases with each entry that the upstream publishes during a run.
	};

	/// Service with its share of a route's new flows.
	struct weighted_service
	{
		std::string service;
		std::uint32_t weight = 1;
	};

	/// Address at which callers reach one or more services.
	struct route_record
	{
		ipv4_endpoint address;
		std::vector<weighted_service> services;
		traffic_class traffic{};
	};

	/// Operator's configuration of a service.
	struct service_record
	{
		std::string name;
		milliseconds cold_time{0};        ///< Duration of the cold start, in which an upstream takes only limited load.
		double cold_requests_per_s = 0.0; ///< Request rate during the cold start; 0 means that no limit is published.
	};

	/// Configuration of the whole deployment.
	struct configuration
	{
		std::uint64_t version = 0;
		std::vector<route_record> routes;
		std::vector<service_record> services;
		milliseconds idle_timeout{0};                ///< A flow without packets for this long may be removed.
		std::uint64_t routes_with_default_class = 0; ///< Routes whose class has an invalid field.
		std::string first_invalid_class; ///< The first of them, with the field, its value and what was expected.
	};

	/// Operator's instruction to place no new flows in an availability zone.
	struct zone_evacuation
	{
		std::string zone;
	};

	/// The key was removed.
	struct removed_record
	{
	};

	/// The value cannot be decoded.
	struct unreadable_record
	{
		std::string problem;
	};

	using record_value =
		std::variant<removed_record, upstream_entry, configuration, zone_evacuation, unreadable_record>;

	/// State of one key of the metadata store after a change.
	struct store_record
	{
		std::string key;
		store_revision revision; ///< Of the key's last change.
		store_revision created;  ///< Revision of the key's creation; number 0 if unknown.
		record_value value;
		std::string encoded; ///< The record as the store sent it, to relay it to other processes.
	};
}
