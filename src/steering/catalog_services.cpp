#include "nutmegturn/impl/catalog.hpp"
#include "nutmegturn/impl/fixed_log2.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace nutmegturn::steering
{
	namespace
	{
		using namespace detail;

		[[nodiscard]] known_route make_route(const route_record& record)
		{
			known_route made;
			made.traffic = record.traffic;
			for (const auto& share : record.services)
			{
				if (share.weight > 0)
				{
					made.services.push_back(share);
					made.total_weight += share.weight;
				}
			}
			return made;
		}

		/// Keeps services that were removed from a route: their open flows remain there, so searches include them.
		void keep_former_services(known_route& made, const known_route& before, monotonic_time now)
		{
			made.former_services = before.former_services;
			for (const auto& share : before.services)
			{
				made.former_services[share.service] = now;
			}
			for (const auto& share : made.services)
			{
				made.former_services.erase(share.service);
			}
		}

		void rebuild_priorities(catalog& known)
		{
			known.priorities.clear();
			const auto add = [&known](const std::string& service, std::uint8_t priority)
			{
				auto& range = known.priorities[service];
				range.most_urgent = std::min(range.most_urgent, priority);
				range.least_urgent = std::max(range.least_urgent, priority);
			};
			for (const auto& [address, route] : known.routes)
			{
				for (const auto& share : route.services)
				{
					add(share.service, route.traffic.priority);
				}
				for (const auto& [service, removed_at] : route.former_services)
				{
					add(service, route.traffic.priority);
				}
			}
		}

		[[nodiscard]] std::set<std::string> services_named_by(const configuration& config)
		{
			std::set<std::string> named;
			for (const auto& service : config.services)
			{
				named.insert(service.name);
			}
			for (const auto& route : config.routes)
			{
				for (const auto& share : route.services)
				{
					named.insert(share.service);
				}
			}
			return named;
		}

		/// Sets the services that the configuration names, and what follows for the entries that were read before.
		void set_named_services(catalog& known, std::set<std::string> named, monotonic_time now)
		{
			if (known.named_services == named)
			{
				return;
			}
			known.named_services = std::move(named);
			follow_named_services(known, now);
		}
	}

	namespace detail
	{
		bool is_configured(const catalog& known, const std::string& service)
		{
			return known.own_service == service || known.named_services.contains(service);
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
			rebuild_priorities(known);
			known.services.clear();
			for (const auto& service : config.services)
			{
				known.services[service.name] = service;
			}
			known.version = config.version;
			known.idle_timeout = config.idle_timeout;
			set_named_services(known, services_named_by(config), now);
			return record_effect::configured;
		}

		void expire_former_services(catalog& known, monotonic_time now)
		{
			std::size_t n = 0;
			for (auto& [address, route] : known.routes)
			{
				n += std::erase_if(route.former_services,
								   [now](const auto& it) { return now - it.second > former_upstream_retention; });
			}
			if (n > 0)
			{
				rebuild_priorities(known);
			}
		}
	}

	std::vector<std::string_view> services_with_long_names(const catalog& known)
	{
		std::vector<std::string_view> found;
		std::ranges::copy_if(known.named_services, std::back_inserter(found),
							 [](const auto& it) { return it.size() > max_sent_name_size; });
		return found;
	}

	traffic_class traffic_class_of(const catalog& known, const ipv4_endpoint& address)
	{
		const auto found = known.routes.find(address);
		return found == known.routes.end() ? traffic_class{} : found->second.traffic;
	}

	bool has_priorities(const catalog& known, std::string_view service)
	{
		const auto found = known.priorities.find(service);
		return found != known.priorities.end() && found->second.most_urgent != found->second.least_urgent;
	}

	std::uint8_t most_urgent_priority(const catalog& known, std::string_view service)
	{
		const auto found = known.priorities.find(service);
		return found == known.priorities.end() ? lowest_priority : found->second.most_urgent;
	}

	const std::string& choose_service(const known_route& route, std::uint64_t hash) noexcept
	{
		auto draw = nutmegturn::detail::mix_bits(hash) % std::max<std::uint64_t>(route.total_weight, 1);
		for (const auto& share : route.services)
		{
			if (draw < share.weight)
			{
				return share.service;
			}
			draw -= share.weight;
		}
		return route.services.front().service;
	}
}
