#include "fleet_status.hpp"

#include "command.hpp"
#include "runtime/http.hpp"

#include <QEventLoop>
#include <QJsonArray>
#include <QJsonDocument>

#include <fmt/format.h>

#include <algorithm>

namespace nutmegturn::ctl
{
	namespace
	{
		std::optional<std::int64_t> read_count(const QJsonObject& object, const char* name)
		{
			const auto value = object[QLatin1String{name}];
			return value.isDouble() ? std::optional<std::int64_t>{value.toInteger()} : std::nullopt;
		}

		QJsonValue to_json_value(const std::optional<std::int64_t>& count)
		{
			return count ? QJsonValue{static_cast<qint64>(*count)} : QJsonValue{};
		}

		/// Derives the names of zone and service from an upstream name `/deployment/zone/service/ordinal`.
		void set_zone_and_service(upstream_row& row)
		{
			const auto parts = to_qstring(row.name).split('/');
			if (parts.size() == 5)
			{
				row.zone = QString{"/" + parts[1] + "/" + parts[2]}.toStdString();
				row.service = QString{"/" + parts[1] + "/" + parts[3]}.toStdString();
			}
		}
	}

	void add_status(fleet_status& fleet, const std::string& url, const QJsonObject& status)
	{
		fleet.processes.push_back({url, status["name"].toString().toStdString(),
								   status["role"].toString().toStdString(), status["zone"].toString().toStdString(),
								   status["state"].toString().toStdString(), status["revision"].toInteger(), ""});
		const auto zones = status["zones"].toObject();
		for (auto it = zones.begin(); it != zones.end(); ++it)
		{
			const auto name = it.key().toStdString();
			const auto state = it.value().toString().toStdString();
			const auto found = std::ranges::find(fleet.zones, name, &zone_row::name);
			if (found == fleet.zones.end())
			{
				fleet.zones.push_back({name, state});
			}
			else if (found->state != state)
			{
				found->state = "differs";
			}
		}
		const auto upstreams = status["upstreams"].toObject();
		for (auto it = upstreams.begin(); it != upstreams.end(); ++it)
		{
			const auto object = it.value().toObject();
			upstream_row row;
			row.name = it.key().toStdString();
			set_zone_and_service(row);
			row.state = object["state"].toString().toStdString();
			row.flows = read_count(object, "flows");
			row.in_progress = read_count(object, "requests_in_progress");
			row.admitted = read_count(object, "admitted");
			row.refused = read_count(object, "refused");
			fleet.upstreams.push_back(std::move(row));
		}
	}

	fleet_status read_fleet(const std::vector<std::string>& urls)
	{
		fleet_status fleet;
		runtime::http_client reader;
		QEventLoop loop;
		auto pending = urls.size();
		for (const auto& url : urls)
		{
			reader.get(url + "/status", http_timeout, max_response_bytes,
					   [&, url](const runtime::http_response& response)
					   {
						   QJsonParseError error;
						   const auto document = QJsonDocument::fromJson(response.body, &error);
						   if (!response.error.empty() || !document.isObject())
						   {
							   const auto cause =
								   response.error.empty() ? error.errorString().toStdString() : response.error;
							   fleet.processes.push_back({url, "", "", "", "", 0, cause});
						   }
						   else
						   {
							   add_status(fleet, url, document.object());
						   }
						   if (--pending == 0)
						   {
							   loop.quit();
						   }
					   });
		}
		if (pending > 0)
		{
			loop.exec();
		}
		std::ranges::sort(fleet.processes, {}, &process_row::url);
		std::ranges::sort(fleet.zones, {}, &zone_row::name);
		std::ranges::sort(fleet.upstreams, {}, &upstream_row::name);
		return fleet;
	}

	std::vector<std::string> daemon_urls(const runtime::parsed_command_line& line)
	{
		auto urls = line.values("daemon");
		for (auto& it : urls)
		{
			while (it.ends_with('/'))
			{
				it.pop_back();
			}
		}
		return urls;
	}

	QJsonObject to_json(const fleet_status& fleet)
	{
		QJsonArray processes;
		for (const auto& it : fleet.processes)
		{
			processes.append(QJsonObject{{"url", to_qstring(it.url)},
										 {"name", to_qstring(it.name)},
										 {"role", to_qstring(it.role)},
										 {"zone", to_qstring(it.zone)},
										 {"state", to_qstring(it.state)},
										 {"revision", static_cast<qint64>(it.revision)},
										 {"error", to_qstring(it.error)}});
		}
		QJsonArray zones;
		for (const auto& it : fleet.zones)
		{
			zones.append(QJsonObject{{"name", to_qstring(it.name)}, {"state", to_qstring(it.state)}});
		}
		QJsonArray upstreams;
		for (const auto& it : fleet.upstreams)
		{
			upstreams.append(QJsonObject{{"name", to_qstring(it.name)},
										 {"service", to_qstring(it.service)},
										 {"zone", to_qstring(it.zone)},
										 {"state", to_qstring(it.state)},
										 {"flows", to_json_value(it.flows)},
										 {"requests_in_progress", to_json_value(it.in_progress)},
										 {"admitted", to_json_value(it.admitted)},
										 {"refused", to_json_value(it.refused)}});
		}
		return {{"processes", processes}, {"zones", zones}, {"upstreams", upstreams}};
	}

	std::string format_count(const std::optional<std::int64_t>& count)
	{
		return count ? fmt::format("{}", *count) : "-";
	}
}
