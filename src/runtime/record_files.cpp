#include "runtime/record_files.hpp"

#include "nutmegturn/impl/json_reader.hpp"

#include <QJsonDocument>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace nutmegturn::runtime
{
	namespace
	{
		namespace fs = std::filesystem;

		constexpr std::size_t max_file_size = 256U << 20U;

		void read_config_response(const std::string& source, const std::string& text, record_files& out)
		{
			impl::json_context context{source, {}};
			impl::object_reader in{context, impl::parse_json_object(context, text, max_file_size)};
			constexpr std::uint32_t max_number = 0xffff'ffff;
			out.rev = std::max(out.rev, revision{in.number("revision", 1, max_number)});
			in.for_each("records", false,
						[&](const QJsonValue& value, const std::string& path)
						{
							impl::object_reader item{context, value.toObject(), path};
							record_version version;
							version.key = item.text("key");
							version.rev = revision{item.number("revision", 1, max_number)};
							const auto content = item.find("value", "object or null");
							if (content && content->isObject())
							{
								version.value =
									QJsonDocument{content->toObject()}.toJson(QJsonDocument::Compact).toStdString();
							}
							else if (content && !content->isNull())
							{
								context.set_error(item.path_of("value"), impl::json_text(*content), "object or null");
							}
							item.reject_unknown_fields();
							out.records.push_back(std::move(version));
						});
			in.reject_unknown_fields();
			if (context.error)
			{
				out.errors.push_back(*context.error);
			}
		}

		void read_file(const fs::path& path, record_files& out)
		{
			std::ostringstream buf;
			std::ifstream file{path, std::ios::binary};
			buf << file.rdbuf();
			if (!file)
			{
				out.errors.push_back({path.string(), {}, {}, "a file that can be read and is not empty"});
				return;
			}
			const auto text = buf.str();
			const auto top = QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
			if (top.contains(QStringLiteral("role")))
			{
				auto parsed = parse_settings(path.string(), text);
				if (auto* error = std::get_if<parse_error>(&parsed))
				{
					out.errors.push_back(std::move(*error));
				}
				else
				{
					out.settings_files.emplace_back(path.string(), std::get<settings>(std::move(parsed)));
				}
			}
			else if (top.contains(QStringLiteral("records")))
			{
				read_config_response(path.string(), text, out);
			}
			else
			{
				const auto key = path.stem().string();
				if (std::any_of(out.records.begin(), out.records.end(), [&](const auto& it) { return it.key == key; }))
				{
					out.errors.push_back({path.string(), {}, key, "a file name that no other record has"});
					return;
				}
				out.records.push_back({key, revision{1}, text});
			}
		}
	}

	record_files read_record_files(const std::vector<std::string>& paths)
	{
		record_files out;
		for (const auto& path : paths)
		{
			std::error_code ec;
			if (!fs::is_directory(path, ec))
			{
				read_file(path, out);
				continue;
			}
			std::vector<fs::path> files;
			for (auto it = fs::recursive_directory_iterator{path, ec}; !ec && it != fs::recursive_directory_iterator{};
				 it.increment(ec))
			{
				if (it->is_regular_file(ec) && it->path().extension() == ".json")
				{
					files.push_back(it->path());
				}
			}
			if (ec)
			{
				out.errors.push_back({path, {}, ec.message(), "a folder that can be read"});
			}
			std::sort(files.begin(), files.end());
			for (const auto& file : files)
			{
				read_file(file, out);
			}
		}
		return out;
	}
}
