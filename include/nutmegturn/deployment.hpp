#pragma once

#include "nutmegturn/endpoint.hpp"
#include "nutmegturn/ids.hpp"
#include "nutmegturn/steering/traffic_class.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace nutmegturn
{
	/// Application protocol of a service's datagrams.
	enum class service_protocol : std::uint8_t
	{
		datagram,
		coap
	};

	/// Administrative state of an upstream, set in its record by the operator.
	enum class upstream_admin_state : std::uint8_t
	{
		serving,
		draining,
		out
	};

	/// Administrative state of an availability zone, set in its record by the operator.
	enum class zone_admin_state : std::uint8_t
	{
		in,
		out
	};

	/// Accepted record of an availability zone.
	struct zone_config
	{
		zone_id id{};
		std::string name;   ///< Canonical name.
		std::string region; ///< Empty when the record does not specify one.
		zone_admin_state state = zone_admin_state::in;
	};

	/// Accepted record of a service.
	struct service_config
	{
		service_id id{};
		std::string name; ///< Canonical name.
		std::vector<endpoint> addresses;
		service_protocol protocol = service_protocol::datagram;
		std::chrono::seconds idle_timeout{3600};
		steering::traffic_class traffic{}; ///< Class of its requests.
	};

	/// Accepted record of an upstream.
	struct upstream_config
	{
		upstream_id id{};
		service_id service{};
		zone_id zone{};
		std::string name;                 ///< Canonical name.
		endpoint target;                  ///< Endpoint to which the agent delivers.
		endpoint agent;                   ///< Data endpoint of the agent.
		std::uint32_t slots;              ///< Maximum number of requests in progress.
		std::uint32_t connections = 2000; ///< Maximum number of open flows.
		upstream_admin_state state = upstream_admin_state::serving;
	};

	/// All records in force at one revision, with references resolved to ids, sorted by id. Processes that have
	/// received the same record versions compute the same deployment.
	struct deployment
	{
		revision rev{};
		std::vector<zone_config> zones;
		std::vector<service_config> services;
		std::vector<upstream_config> upstreams;
	};
}
