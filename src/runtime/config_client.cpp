#include "runtime/config_client.hpp"

#include "nutmegturn/endpoint.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

namespace nutmegturn::runtime
{
	namespace
	{
		/// Largest accepted response of the instance list.
		constexpr qint64 max_instance_list_bytes = 16LL << 20;

		[[nodiscard]] parse_error make_error(const std::string& source, std::string path, const QJsonValue& value,
											 std::string expected)
		{
			const auto text = QJsonDocument{QJsonArray{value}}.toJson(QJsonDocument::Compact).left(200);
			return {source, std::move(path), text.toStdString(), std::move(expected)};
		}
	}

	result<config_response> parse_config_response(const std::string& source, const QByteArray& body)
	{
		const auto document = QJsonDocument::fromJson(body);
		const auto object = document.object();
		if (!document.isObject() || !object["revision"].isDouble() || !object["records"].isArray())
		{
			return make_error(source, "", object, "an object with `revision` and `records`");
		}
		const auto era = object["era"].toInteger(object.contains("era") ? -1 : 0);
		if (era < 0 || era > static_cast<qint64>(max_revision_era))
		{
			return make_error(source, "era", object["era"], fmt::format("a number from 0 to {}", max_revision_era));
		}
		const auto read_revision = [era](const QJsonValue& number)
		{ return make_revision(static_cast<std::uint64_t>(era), static_cast<std::uint64_t>(number.toInteger())); };
		config_response response;
		response.rev = read_revision(object["revision"]);
		std::size_t index = 0;
		for (const auto& it : object["records"].toArray())
		{
			const auto entry = it.toObject();
			const auto value = entry["value"];
			if (!entry["key"].isString() || !entry["revision"].isDouble() || !(value.isObject() || value.isNull()))
			{
				return make_error(source, fmt::format("records[{}]", index), it,
								  "`key`, `revision`, and an object or null as `value`");
			}
			record_version version{entry["key"].toString().toStdString(), read_revision(entry["revision"]),
								   std::nullopt};
			if (value.isObject())
			{
				version.value = QJsonDocument{value.toObject()}.toJson(QJsonDocument::Compact).toStdString();
			}
			response.versions.push_back(std::move(version));
			++index;
		}
		return response;
	}

	result<std::vector<listed_instance>> parse_instance_list(const std::string& source, const QByteArray& body)
	{
		const auto document = QJsonDocument::fromJson(body);
		if (!document.isObject() || !document.object()["instances"].isArray())
		{
			return make_error(source, "", document.object(), "an object with `instances`");
		}
		std::vector<listed_instance> list;
		for (const auto& it : document.object()["instances"].toArray())
		{
			const auto entry = it.toObject();
			const auto control = parse_endpoint(entry["control"].toString().toStdString());
			if (!entry["name"].isString() || !control)
			{
				return make_error(source, fmt::format("instances[{}]", list.size()), it,
								  "`name`, and IP:port as `control`");
			}
			list.push_back({entry["name"].toString().toStdString(), *control, entry["state"].toString() == "leaving"});
		}
		return list;
	}

	config_client::config_client(std::vector<http_url> services, std::optional<http_url> list)
		: services_{std::move(services)}, instance_list_{std::move(list)}
	{
	}

	void config_client::read(revision after, std::chrono::milliseconds wait,
							 std::function<void(result<config_response, std::string>)> done)
	{
		if (reading_ || services_.empty())
		{
			return;
		}
		reading_ = true;
		const bool full = number_of(after) == 0;
		const auto base = to_string(services_[next_service_]);
		const auto url = full ? base + "/v1/records"
							  : fmt::format("{}/v1/watch?after={}&wait_ms={}", base, number_of(after), wait.count());
		client_.get(url, full ? timeout : wait + timeout, http_client::default_max_bytes,
					[this, url, full, done = std::move(done)](const http_response& response)
					{
						reading_ = false;
						if (!response.error.empty())
						{
							next_service_ = (next_service_ + 1) % services_.size();
							done(url + ": " + response.error);
							return;
						}
						auto parsed = parse_config_response(url, response.body);
						if (!has_value(parsed))
						{
							done(to_string(std::get<1>(parsed)));
							return;
						}
						std::get<0>(parsed).full = full;
						done(std::get<0>(std::move(parsed)));
					});
	}

	void config_client::read_instances(std::function<void(result<std::vector<listed_instance>, std::string>)> done)
	{
		if (reading_instances_ || !instance_list_)
		{
			return;
		}
		reading_instances_ = true;
		const auto url = to_string(*instance_list_);
		client_.get(url, timeout, max_instance_list_bytes,
					[this, url, done = std::move(done)](const http_response& response)
					{
						reading_instances_ = false;
						if (!response.error.empty())
						{
							done(url + ": " + response.error);
							return;
						}
						auto list = parse_instance_list(url, response.body);
						if (has_value(list))
						{
							done(std::get<0>(std::move(list)));
						}
						else
						{
							done(to_string(std::get<1>(list)));
						}
					});
	}
}
