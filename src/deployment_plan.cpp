#include "nutmegturn/deployment_plan.hpp"

#include "nutmegturn/flow_key.hpp"
#include "nutmegturn/member.hpp"
#include "nutmegturn/record.hpp"
#include "nutmegturn/routing_view.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <map>
#include <utility>

namespace nutmegturn
{
	namespace
	{
		using field_map = std::vector<std::pair<std::string, std::string>>;
		using fields_by_name = std::map<std::string, field_map>;

		template <typename Config>
		std::string name_of(const std::vector<Config>& configs, decltype(Config::id) id)
		{
			for (const auto& it : configs)
			{
				if (it.id == id)
				{
					return it.name;
				}
			}
			return {};
		}

		fields_by_name describe_records(const deployment& records)
		{
			fields_by_name all;
			for (const auto& zone : records.zones)
			{
				all[zone.name] = {{"state", std::string{to_string(zone.state)}}, {"region", zone.region}};
			}
			for (const auto& service : records.services)
			{
				std::vector<std::string> addresses;
				for (const auto& ep : service.addresses)
				{
					addresses.push_back(to_string(ep));
				}
				all[service.name] = {{"addresses", fmt::format("{}", fmt::join(addresses, " "))},
									 {"protocol", std::string{to_string(service.protocol)}},
									 {"idle_timeout", fmt::format("{}s", service.idle_timeout.count())},
									 {"request_kind", std::string{to_string(service.traffic.kind)}},
									 {"latency_target", fmt::format("{}ms", service.traffic.latency_target.count())},
									 {"timeout", fmt::format("{}ms", service.traffic.timeout.count())},
									 {"priority", std::to_string(service.traffic.priority)}};
			}
			for (const auto& upstream : records.upstreams)
			{
				all[upstream.name] = {{"state", std::string{to_string(upstream.state)}},
									  {"service", name_of(records.services, upstream.service)},
									  {"zone", name_of(records.zones, upstream.zone)},
									  {"endpoint", to_string(upstream.target)},
									  {"agent", to_string(upstream.agent)},
									  {"slots", std::to_string(upstream.slots)},
									  {"connections", std::to_string(upstream.connections)}};
			}
			return all;
		}

		std::vector<planned_change> compare_records(const deployment& before, const deployment& after)
		{
			const auto old_records = describe_records(before);
			const auto new_records = describe_records(after);
			std::vector<planned_change> changes;
			for (const auto& [name, fields] : old_records)
			{
				const auto it = new_records.find(name);
				if (it == new_records.end())
				{
					changes.push_back({name, {}, "in force", {}});
					continue;
				}
				for (std::size_t i = 0; i < std::min(fields.size(), it->second.size()); ++i)
				{
					if (fields[i] != it->second[i])
					{
						changes.push_back({name, fields[i].first, fields[i].second, it->second[i].second});
					}
				}
			}
			for (const auto& [name, fields] : new_records)
			{
				if (!old_records.contains(name))
				{
					changes.push_back({name, {}, {}, "in force"});
				}
			}
			return changes;
		}

		flow_key sample_key(const endpoint& service, random_source& random)
		{
			flow_key key;
			key.client.ip = *parse_address("10.0.0.0");
			const auto bits = random();
			for (std::size_t i = 13; i < key.client.ip.bytes.size(); ++i)
			{
				key.client.ip.bytes[i] = static_cast<std::uint8_t>(bits >> (8 * (i - 13)));
			}
			key.client.port = static_cast<std::uint16_t>(1 + ((bits >> 24U) % 65'535));
			key.service = service;
			return key;
		}

		const candidate* primary_for(const routing_view& view, const flow_key& key)
		{
			const auto* service = view.service_at(key.service);
			return service == nullptr ? nullptr : service->primary_of(flow_hash(key));
		}
	}

	deployment_plan plan_deployment(const deployment& before, const deployment& after, std::uint32_t samples,
									random_source& random)
	{
		deployment_plan plan;
		plan.changes = compare_records(before, after);
		const auto old_view = build_routing_view(before, {}, nullptr);
		const auto new_view = build_routing_view(after, {}, nullptr);
		std::map<upstream_id, std::pair<double, double>> shares;
		for (const auto& service : before.services)
		{
			planned_flows flows{service.name};
			for (std::uint32_t i = 0; i < samples; ++i)
			{
				const auto key = sample_key(service.addresses[i % service.addresses.size()], random);
				const auto* old_primary = primary_for(old_view, key);
				const auto* new_primary = primary_for(new_view, key);
				if (new_primary != nullptr)
				{
					shares[new_primary->id].second += 1.0 / samples;
				}
				if (old_primary == nullptr)
				{
					continue;
				}
				shares[old_primary->id].first += 1.0 / samples;
				++flows.sampled;
				const auto* new_service = new_view.service_at(key.service);
				const auto* holder = new_service == nullptr ? nullptr : new_service->find(old_primary->id);
				if (new_service == nullptr || new_service->id != service.id ||
					(holder != nullptr && !is_in_chain(holder->state)))
				{
					++flows.given_up;
				}
				else if (holder == nullptr)
				{
					++flows.removed;
				}
				else
				{
					++(new_primary != nullptr && new_primary->id == old_primary->id ? flows.kept : flows.moved);
				}
			}
			plan.flows.push_back(flows);
		}
		for (const auto& [id, share] : shares)
		{
			if (share.first != share.second)
			{
				const auto name = name_of(after.upstreams, id);
				plan.shares.push_back({name.empty() ? name_of(before.upstreams, id) : name, share.first, share.second});
			}
		}
		return plan;
	}
}
