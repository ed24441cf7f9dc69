#include "command.hpp"

#include <QJsonDocument>

#include <fmt/format.h>

namespace nutmegturn::ctl
{
	using namespace nutmegturn::runtime;

	QString to_qstring(std::string_view text)
	{
		return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
	}

	void print_json(const QJsonObject& object)
	{
		fmt::print("{}", QJsonDocument{object}.toJson(QJsonDocument::Indented).toStdString());
	}

	QJsonObject to_json(const steering::traffic_class& traffic)
	{
		return {{"priority", traffic.priority},
				{"kind", to_qstring(to_string(traffic.kind))},
				{"latency_target_ms", static_cast<qint64>(traffic.latency_target.count())},
				{"timeout_ms", static_cast<qint64>(traffic.timeout.count())}};
	}

	std::string describe(const steering::traffic_class& traffic)
	{
		auto text = to_string(traffic);
		for (const auto& [name, time] :
			 {std::pair{"latency target", traffic.latency_target}, std::pair{"timeout", traffic.timeout}})
		{
			text += time.count() > 0 ? fmt::format(", {} {} ms", name, time.count()) : std::string{};
		}
		return text;
	}

	std::vector<std::string> apply_record_files(const record_files& files, config_store& store)
	{
		std::vector<std::string> refusals;
		for (const auto& error : files.errors)
		{
			refusals.push_back(to_string(error));
		}
		config_store_apply(store, files.records, files.rev);
		for (const auto& [key, entry] : store.records)
		{
			if (entry.refusal)
			{
				refusals.push_back(entry.refusal->detail);
			}
		}
		return refusals;
	}

	QJsonArray to_json(const std::vector<std::string>& texts)
	{
		QJsonArray array;
		for (const auto& it : texts)
		{
			array.append(to_qstring(it));
		}
		return array;
	}
}
