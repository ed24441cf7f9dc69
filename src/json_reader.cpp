#include "nutmegturn/impl/json_reader.hpp"

#include <QJsonDocument>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace nutmegturn::impl
{
	namespace
	{
		constexpr std::size_t max_error_value_size = 200;

		QByteArray to_byte_array(std::string_view text)
		{
			return {text.data(), static_cast<qsizetype>(text.size())};
		}

		QString to_qstring(std::string_view key)
		{
			return QString::fromUtf8(key.data(), static_cast<qsizetype>(key.size()));
		}

		/// Returns the text of a quoted key. Escapes are decoded, so that `"a"` and `"\u0061"` are equal.
		std::string unescape(std::string_view quoted)
		{
			if (quoted.find('\\') == std::string_view::npos)
			{
				return std::string{quoted.substr(1, quoted.size() - 2)};
			}
			const auto array = QJsonDocument::fromJson('[' + to_byte_array(quoted) + ']').array();
			return array.at(0).toString().toStdString();
		}

		/// Returns the first key that occurs twice in one object. QJsonDocument keeps only the last occurrence, so the
		/// text is scanned. It must be valid JSON.
		std::optional<std::string> find_duplicate_key(std::string_view text)
		{
			struct level
			{
				bool is_object;
				std::set<std::string, std::less<>> keys;
			};
			std::vector<level> levels;
			bool expect_key = false;
			for (std::size_t i = 0; i < text.size(); ++i)
			{
				switch (text[i])
				{
					case '{':
					case '[':
						levels.push_back({text[i] == '{', {}});
						expect_key = text[i] == '{';
						break;
					case '}':
					case ']':
						levels.pop_back();
						expect_key = false;
						break;
					case ',':
						expect_key = !levels.empty() && levels.back().is_object;
						break;
					case '"':
					{
						const auto start = i++;
						while (i < text.size() && text[i] != '"')
						{
							i += text[i] == '\\' ? 2 : 1;
						}
						if (std::exchange(expect_key, false) && i < text.size())
						{
							auto key = unescape(text.substr(start, i - start + 1));
							if (!levels.back().keys.insert(key).second)
							{
								return key;
							}
						}
						break;
					}
					default:
						break;
				}
			}
			return std::nullopt;
		}
	}

	void json_context::set_error(std::string path, std::string value, std::string expected)
	{
		if (!error)
		{
			value.resize(std::min(value.size(), max_error_value_size));
			error = parse_error{source, std::move(path), std::move(value), std::move(expected)};
		}
	}

	std::string json_text(const QJsonValue& value)
	{
		// QJsonDocument serializes only arrays and objects, so the value is wrapped and the brackets are removed.
		auto text = QJsonDocument{QJsonArray{value}}.toJson(QJsonDocument::Compact).toStdString();
		text = text.substr(1, text.size() - 2);
		text.resize(std::min(text.size(), max_error_value_size));
		return text;
	}

	QJsonObject parse_json_object(json_context& context, std::string_view text, std::size_t max_size)
	{
		if (text.size() > max_size)
		{
			context.set_error({}, fmt::format("{} bytes", text.size()), fmt::format("at most {} bytes", max_size));
			return {};
		}
		QJsonParseError parsed;
		const auto document = QJsonDocument::fromJson(to_byte_array(text), &parsed);
		if (parsed.error != QJsonParseError::NoError)
		{
			const auto offset = std::min(static_cast<std::size_t>(std::max(parsed.offset, 0)), text.size());
			context.set_error(fmt::format("byte {}", offset), std::string{text.substr(offset, max_error_value_size)},
							  fmt::format("JSON ({})", parsed.errorString().toStdString()));
			return {};
		}
		if (!document.isObject())
		{
			context.set_error({}, std::string{text.substr(0, max_error_value_size)}, "JSON object");
			return {};
		}
		if (const auto key = find_duplicate_key(text))
		{
			context.set_error(*key, "a duplicate key", "unique keys");
			return {};
		}
		return document.object();
	}

	object_reader::object_reader(json_context& context, QJsonObject object, std::string path)
		: context_{&context}, object_{std::move(object)}, path_{std::move(path)}
	{
	}

	std::string object_reader::path_of(std::string_view key) const
	{
		return path_.empty() ? std::string{key} : fmt::format("{}.{}", path_, key);
	}

	bool object_reader::has(std::string_view key)
	{
		known_keys_.emplace_back(key);
		return object_.contains(to_qstring(key));
	}

	std::optional<QJsonValue> object_reader::find(std::string_view key, std::string_view expected)
	{
		if (has(key))
		{
			return object_.value(to_qstring(key));
		}
		if (!expected.empty())
		{
			context_->set_error(path_of(key), {}, std::string{expected});
		}
		return std::nullopt;
	}

	std::string object_reader::text(std::string_view key, const std::optional<std::string>& fallback)
	{
		const auto value = find(key, fallback ? "" : "text");
		if (value && !value->isString())
		{
			context_->set_error(path_of(key), json_text(*value), "text");
		}
		return value ? value->toString().toStdString() : fallback.value_or("");
	}

	std::uint32_t object_reader::number(std::string_view key, std::uint32_t least, std::uint32_t most,
										std::optional<std::uint32_t> fallback)
	{
		const auto expected = fmt::format("whole number from {} to {}", least, most);
		const auto value = find(key, fallback ? "" : expected);
		if (!value)
		{
			return fallback.value_or(least);
		}
		const double number = value->toDouble(-1);
		if (!value->isDouble() || number < least || number > most || std::trunc(number) != number)
		{
			context_->set_error(path_of(key), json_text(*value), expected);
			return least;
		}
		return static_cast<std::uint32_t>(number);
	}

	bool object_reader::boolean(std::string_view key, std::optional<bool> fallback)
	{
		const auto value = find(key, fallback ? "" : "true or false");
		if (value && !value->isBool())
		{
			context_->set_error(path_of(key), json_text(*value), "true or false");
		}
		return value ? value->toBool() : fallback.value_or(false);
	}

	std::size_t object_reader::choice(std::string_view key, std::span<const std::string_view> words,
									  std::optional<std::size_t> fallback)
	{
		const auto expected = fmt::format("one of {}", fmt::join(words, ", "));
		const auto value = find(key, fallback ? "" : expected);
		if (!value)
		{
			return fallback.value_or(0);
		}
		const auto it = std::find(words.begin(), words.end(), value->toString().toStdString());
		if (!value->isString() || it == words.end())
		{
			context_->set_error(path_of(key), json_text(*value), expected);
			return 0;
		}
		return static_cast<std::size_t>(it - words.begin());
	}

	endpoint object_reader::ip_port(std::string_view key)
	{
		const auto value = find(key, "IP:port");
		return value ? read_endpoint(*context_, *value, path_of(key)) : endpoint{};
	}

	void object_reader::for_each(std::string_view key, bool required,
								 const std::function<void(const QJsonValue&, const std::string&)>& visit)
	{
		const std::string_view expected = required ? "non-empty list" : "list";
		const auto value = find(key, required ? expected : "");
		if (!value)
		{
			return;
		}
		const auto array = value->toArray();
		if (!value->isArray() || (required && array.isEmpty()))
		{
			context_->set_error(path_of(key), json_text(*value), std::string{expected});
			return;
		}
		for (qsizetype i = 0; i < array.size() && !context_->error; ++i)
		{
			visit(array.at(i), fmt::format("{}[{}]", path_of(key), i));
		}
	}

	void object_reader::reject_unknown_fields()
	{
		for (auto it = object_.constBegin(); it != object_.constEnd(); ++it)
		{
			const auto key = it.key().toStdString();
			if (std::find(known_keys_.begin(), known_keys_.end(), key) == known_keys_.end())
			{
				context_->set_error(path_of(key), json_text(it.value()),
									fmt::format("only the keys {}", fmt::join(known_keys_, ", ")));
			}
		}
	}

	std::string canonical_name(json_context& context, const std::string& path, const std::string& text, name_kind kind)
	{
		auto name = parse_name(context.source, path, text, kind);
		if (const auto* error = std::get_if<parse_error>(&name))
		{
			context.set_error(error->path, error->value, error->expected);
			return {};
		}
		return std::get<std::string>(std::move(name));
	}

	endpoint read_endpoint(json_context& context, const QJsonValue& value, const std::string& path)
	{
		const auto ep = parse_endpoint(value.toString().toStdString());
		if (!ep)
		{
			context.set_error(path, json_text(value), "IP:port with a numeric IP address and a port from 1 to 65535");
		}
		return ep.value_or(endpoint{});
	}
}
