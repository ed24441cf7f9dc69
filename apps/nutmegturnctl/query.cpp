#include "command.hpp"
#include "runtime/http.hpp"

#include <QCoreApplication>
#include <QJsonDocument>

#include <fmt/format.h>

#include <cstdio>

namespace nutmegturn::ctl
{
	using namespace nutmegturn::runtime;

	namespace
	{
		/// Formats an object as one line of `key=value` pairs.
		std::string format_line(const QJsonObject& object)
		{
			std::string line;
			for (auto it = object.begin(); it != object.end(); ++it)
			{
				const auto value =
					it.value().isString()
						? it.value().toString().toStdString()
						: QJsonDocument{QJsonArray{it.value()}}.toJson(QJsonDocument::Compact).toStdString();
				line += fmt::format("{}{}={}", line.empty() ? "" : " ", it.key().toStdString(),
									it.value().isString() ? value : value.substr(1, value.size() - 2));
			}
			return line;
		}

		void print_response(const QJsonDocument& document)
		{
			const auto print_list = [](const QJsonArray& list)
			{
				for (const auto& it : list)
				{
					fmt::print("{}\n", format_line(it.isObject() ? it.toObject() : QJsonObject{{"value", it}}));
				}
			};
			print_list(document.array());
			const auto top = document.object();
			for (auto it = top.begin(); it != top.end(); ++it)
			{
				if (it.value().isArray())
				{
					fmt::print("{}:\n", it.key().toStdString());
					print_list(it.value().toArray());
				}
				else
				{
					fmt::print("{}\n", format_line({{it.key(), it.value()}}));
				}
			}
		}
	}

	int run_query(const std::string& command, const endpoint& daemon, bool is_json)
	{
		http_client reader;
		int status = exit_ok;
		const auto url = fmt::format("http://{}/{}", to_string(daemon), command);
		reader.get(url, http_timeout, max_response_bytes,
				   [&](const http_response& response)
				   {
					   QCoreApplication::quit();
					   QJsonParseError error;
					   const auto document = QJsonDocument::fromJson(response.body, &error);
					   if (!response.error.empty() || error.error != QJsonParseError::NoError)
					   {
						   fmt::print(stderr, "{}: {}\n", url,
									  response.error.empty() ? error.errorString().toStdString() : response.error);
						   status = exit_no_answer;
						   return;
					   }
					   if (is_json)
					   {
						   fmt::print("{}", document.toJson(QJsonDocument::Indented).toStdString());
						   return;
					   }
					   print_response(document);
				   });
		QCoreApplication::exec();
		return status;
	}
}
