#include "command.hpp"
#include "platform/store_format.hpp"
#include "runtime/clock.hpp"
#include "runtime/http.hpp"

#include <QCoreApplication>

#include <fmt/format.h>

#include <cstdio>
#include <map>
#include <vector>

namespace nutmegturn::ctl
{
	using namespace nutmegturn::runtime;

	namespace
	{
		/// Routes and upstreams as one process knows them.
		struct known_routes
		{
			steering::configuration config;
			steering::catalog known;
			bool lists_upstreams = false; ///< Balancers know all upstreams, agents only their own.
			monotonic_time read_at;
		};

		[[nodiscard]] http_response fetch(const std::string& url)
		{
			http_client reader;
			http_response result;
			reader.get(url, http_timeout, max_response_bytes,
					   [&result](const http_response& response)
					   {
						   result = response;
						   QCoreApplication::quit();
					   });
			QCoreApplication::exec();
			return result;
		}

		void apply_listing(known_routes& routes, steering::record_group group, const http_response& response)
		{
			const std::string_view body{response.body.data(), static_cast<std::size_t>(response.body.size())};
			constexpr int status_ok = 200;
			for (const auto& it : platform::decode_response(status_ok, {}, body).records)
			{
				apply_record(routes.known, group, it, routes.read_at);
				if (const auto* config = std::get_if<steering::configuration>(&it.value))
				{
					routes.config = *config;
				}
			}
		}

		/// Returns how many upstreams of a service take new flows, by zone.
		[[nodiscard]] std::map<std::string, int> count_upstreams(const known_routes& routes, std::string_view service)
		{
			std::map<std::string, int> counts;
			for (const auto& [key, it] : routes.known.upstreams)
			{
				if (it.entry.service == service)
				{
					counts[it.entry.zone] += accepts_new_flows(routes.known, it, routes.read_at) ? 1 : 0;
				}
			}
			return counts;
		}

		[[nodiscard]] QJsonObject describe_share(const known_routes& routes, const steering::weighted_service& share,
												 std::uint64_t total_weight)
		{
			QJsonObject described{{"service", to_qstring(share.service)},
								  {"share", static_cast<double>(share.weight) / static_cast<double>(total_weight)}};
			if (routes.lists_upstreams)
			{
				QJsonObject zones;
				for (const auto& [zone, n] : count_upstreams(routes, share.service))
				{
					zones.insert(to_qstring(zone), n);
				}
				described.insert("upstreams", zones);
			}
			return described;
		}

		[[nodiscard]] QJsonObject describe_route(const known_routes& routes, const steering::route_record& route)
		{
			std::uint64_t total_weight = 0;
			for (const auto& it : route.services)
			{
				total_weight += it.weight;
			}
			QJsonArray services;
			for (const auto& it : route.services)
			{
				if (it.weight > 0)
				{
					services.append(describe_share(routes, it, total_weight));
				}
			}
			return {{"address", to_qstring(to_string(route.address))},
					{"class", to_json(route.traffic)},
					{"services", services}};
		}

		void print_route(const QJsonObject& route, const steering::traffic_class& traffic)
		{
			const auto services = route["services"].toArray();
			if (services.isEmpty())
			{
				fmt::print("{:<22} no service; class {}\n", route["address"].toString().toStdString(),
						   describe(traffic));
			}
			for (const auto& it : services)
			{
				const auto share = it.toObject();
				constexpr double percent = 100;
				std::string zones;
				const auto upstreams = share["upstreams"].toObject();
				for (auto zone = upstreams.begin(); zone != upstreams.end(); ++zone)
				{
					zones += fmt::format(" {}:{}", zone.key().toStdString(), zone.value().toInt());
				}
				fmt::print("{:<22} {:>5.1f} % {}{}; class {}\n", route["address"].toString().toStdString(),
						   percent * share["share"].toDouble(), share["service"].toString().toStdString(),
						   share.contains("upstreams") && zones.empty() ? " no upstreams" : zones, describe(traffic));
			}
		}
	}

	int run_routes(const endpoint& process, const std::optional<endpoint>& address, bool is_json)
	{
		const auto base = fmt::format("http://{}", to_string(process));
		const auto orders = fetch(base + "/orders");
		if (!orders.error.empty())
		{
			fmt::print(stderr, "{}/orders: {}\n", base, orders.error);
			return exit_no_answer;
		}
		const auto upstreams = fetch(base + "/upstreams");
		known_routes routes;
		routes.read_at = read_clock();
		routes.lists_upstreams = upstreams.error.empty();
		apply_listing(routes, steering::record_group::operator_orders, orders);
		apply_listing(routes, steering::record_group::upstreams, upstreams);
		QJsonArray described;
		std::vector<steering::traffic_class> classes;
		for (const auto& it : routes.config.routes)
		{
			if (!address || steering::to_endpoint(it.address) == *address)
			{
				described.append(describe_route(routes, it));
				classes.push_back(it.traffic);
			}
		}
		if (is_json)
		{
			print_json({{"version", static_cast<qint64>(routes.config.version)},
						{"routes_with_default_class", static_cast<qint64>(routes.config.routes_with_default_class)},
						{"first_invalid_class", to_qstring(routes.config.first_invalid_class)},
						{"routes", described}});
		}
		else
		{
			fmt::print("configuration version {}\n", routes.config.version);
			if (routes.config.routes_with_default_class > 0)
			{
				fmt::print("{} routes with an invalid class have the default class; the first one is {}\n",
						   routes.config.routes_with_default_class, routes.config.first_invalid_class);
			}
			for (qsizetype i = 0; i < described.size(); ++i)
			{
				print_route(described[i].toObject(), classes[static_cast<std::size_t>(i)]);
			}
		}
		if (address && described.isEmpty())
		{
			fmt::print(stderr, "no route at {}\n", to_string(*address));
			return exit_no_upstream;
		}
		return exit_ok;
	}
}
