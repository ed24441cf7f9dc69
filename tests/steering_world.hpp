#pragma once

#include "nutmegturn/steering/agent_flows.hpp"
#include "nutmegturn/steering/balancer_flows.hpp"

#include <string>

namespace nutmegturn::steering::testing
{
	using namespace std::chrono_literals;

	inline constexpr monotonic_time start{std::chrono::hours{1}};
	inline constexpr ipv4_endpoint route_address{.ip = ipv4{0xc6120001}, .port = 443};
	inline constexpr ipv4_endpoint caller_address{.ip = ipv4{0x64400007}, .port = 40'001};
	inline constexpr flow_id flow{.caller = caller_address, .route = route_address};

	/// Returns the instance of upstream `number`.
	[[nodiscard]] inline ipv4 instance(std::uint32_t number)
	{
		return ipv4{0x0a010000U + number};
	}

	/// Returns the entry of upstream `number`, ready and not in cold start.
	[[nodiscard]] inline upstream_entry entry(std::uint32_t number, const std::string& service, const std::string& zone)
	{
		upstream_entry made;
		made.service = service;
		made.address = {.ip = instance(number), .port = 8080};
		made.zone = zone;
		made.slots = 5;
		return made;
	}

	/// Applies a record with the next revision of its key to a catalog.
	inline record_effect put(catalog& known, const std::string& key, record_value value, monotonic_time now = start)
	{
		const auto group = key.starts_with('u') ? record_group::upstreams : record_group::operator_orders;
		auto revision = known.revisions[key];
		++revision.number;
		return apply_record(known, group,
							{.key = key, .revision = revision, .created = {}, .value = std::move(value), .encoded = {}},
							now);
	}

	/// Returns a configuration with one route to the given services.
	[[nodiscard]] inline configuration configured(std::uint64_t version, std::vector<weighted_service> services)
	{
		configuration config;
		config.version = version;
		config.routes.push_back({.address = route_address, .services = std::move(services)});
		config.services.push_back({.name = "desk", .cold_time = 2s, .cold_requests_per_s = 0.0});
		config.services.push_back({.name = "archive", .cold_time = 2s, .cold_requests_per_s = 0.0});
		return config;
	}

	/// Returns a catalog with three upstreams of `desk` (1 and 2 in zone `a`, 3 in `b`) and one of `archive` (4 in
	/// `a`). The route has the service `desk`.
	[[nodiscard]] inline catalog small_catalog()
	{
		catalog known;
		put(known, "config", configured(3, {{.service = "desk", .weight = 1}}));
		put(known, "u1", entry(1, "desk", "a"));
		put(known, "u2", entry(2, "desk", "a"));
		put(known, "u3", entry(3, "desk", "b"));
		put(known, "u4", entry(4, "archive", "a"));
		return known;
	}

	/// Returns an opening packet of the caller.
	/// \param retransmission	Retransmission number, 0 for the first packet.
	[[nodiscard]] inline segment opening(std::uint32_t retransmission = 0)
	{
		segment packet;
		packet.source = caller_address;
		packet.destination = route_address;
		packet.syn = true;
		packet.acknowledgement = retransmission;
		return packet;
	}

	/// Returns a data packet of the caller.
	[[nodiscard]] inline segment data(std::uint32_t sequence = 1, std::uint16_t size = 100)
	{
		segment packet;
		packet.source = caller_address;
		packet.destination = route_address;
		packet.ack = true;
		packet.sequence = sequence;
		packet.acknowledgement = 77;
		packet.payload_size = size;
		return packet;
	}

	/// Returns a packet of the upstream to the caller.
	[[nodiscard]] inline segment reply(std::uint16_t size, bool syn = false)
	{
		segment packet;
		packet.source = route_address;
		packet.destination = caller_address;
		packet.ack = true;
		packet.syn = syn;
		packet.payload_size = size;
		return packet;
	}

	/// Returns a message about the flow.
	[[nodiscard]] inline message about_flow(message_kind kind, const flow_id& id = flow)
	{
		message msg;
		msg.kind = kind;
		msg.flow = id;
		msg.service = "desk";
		msg.version = 3;
		return msg;
	}
}
