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
