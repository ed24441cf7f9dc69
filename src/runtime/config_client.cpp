#include "runtime/config_client.hpp"

#include "nutmegturn/endpoint.hpp"
#include "nutmegturn/impl/json_slices.hpp"

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

		/// Returns the value of a JSON text of any type; undefined if it cannot be parsed.
		[[nodiscard]] QJsonValue parse_value(std::string_view text)
		{
			const QByteArray wrapped = '[' + QByteArray{text.data(), static_cast<qsizetype>(text.size())} + ']';
			const auto values = QJsonDocument::fromJson(wrapped).array();
			return values.isEmpty() ? QJsonValue{QJsonValue::Undefined} : values.first();
		}

		[[nodiscard]] std::string_view view(const QByteArray& text) noexcept
		{
			return {text.data(), static_cast<std::size_t>(text.size())};
		}

		/// Returns a whole number above 0, or nothing.
		[[nodiscard]] std::optional<std::uint64_t> positive_number(const QJsonValue& value)
		{
			const auto number = value.toInteger(0);
			return number > 0 ? std::optional{static_cast<std::uint64_t>(number)} : std::nullopt;
		}

		/// Parses one record of a response. Its value is kept as it was sent, also where it is no JSON object: the
		/// store of records refuses it with a reason.
		/// \returns	The record, or nothing if its key or revision cannot be read or it has no value.
		[[nodiscard]] std::optional<record_version> parse_record_version(std::string_view text, std::uint64_t era)
		{
			const auto members = impl::split_json_object(text);
			if (!members)
			{
				return std::nullopt;
			}
			const auto key = parse_value(impl::find_json_slice(*members, "key"));
			const auto number = positive_number(parse_value(impl::find_json_slice(*members, "revision")));
			const auto value = impl::find_json_slice(*members, "value");
			if (!key.isString() || !number || value.empty())
			{
				return std::nullopt;
			}
			record_version version{key.toString().toStdString(), make_revision(era, *number), std::nullopt};
			if (value != "null")
			{
				version.value = std::string{value};
			}
			return version;
		}
	}

	result<config_response> parse_config_response(const std::string& source, const QByteArray& body)
	{
		const auto members = impl::split_json_object(view(body)).value_or(std::vector<impl::json_slice>{});
		const auto records = impl::split_json_array(impl::find_json_slice(members, "records"));
		const auto number = parse_value(impl::find_json_slice(members, "revision"));
		if (!records || !number.isDouble())
		{
			return make_error(source, "", number, "an object with `revision` and `records`");
		}
		const auto era_text = impl::find_json_slice(members, "era");
		const auto era_value = parse_value(era_text);
		const auto era = era_value.toInteger(era_text.empty() ? 0 : -1);
		if (era < 0 || era > static_cast<qint64>(max_revision_era))
		{
			return make_error(source, "era", era_value, fmt::format("a number from 0 to {}", max_revision_era));
		}
		config_response response;
		response.rev = make_revision(static_cast<std::uint64_t>(era), static_cast<std::uint64_t>(number.toInteger()));
		for (const auto text : *records)
		{
			if (auto version = parse_record_version(text, static_cast<std::uint64_t>(era)))
			{
				response.versions.push_back(*std::move(version));
			}
			else
			{
				++response.unreadable;
			}
		}
		return response;
	}

	result<std::vector<listed_instance>> parse_instance_list(const std::string& source, const QByteArray& body)
	{
		const auto members = impl::split_json_object(view(body)).value_or(std::vector<impl::json_slice>{});
		const auto instances = impl::split_json_array(impl::find_json_slice(members, "instances"));
		if (!instances)
		{
			return make_error(source, "", QJsonValue{}, "an object with `instances`");
		}
		std::vector<listed_instance> list;
		for (const auto text : *instances)
		{
			const auto entry = parse_value(text).toObject();
			const auto control = parse_endpoint(entry["control"].toString().toStdString());
			if (entry["name"].isString() && control)
			{
				list.push_back(
					{entry["name"].toString().toStdString(), *control, entry["state"].toString() == "leaving"});
			}
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
