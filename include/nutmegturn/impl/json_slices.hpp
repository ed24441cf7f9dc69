#pragma once

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace nutmegturn::impl
{
	/// Member of a JSON object: its key without quotes and with escapes as written, and the text of its value.
	struct json_slice
	{
		std::string_view key;
		std::string_view value;
	};

	namespace detail
	{
		[[nodiscard]] constexpr bool is_json_space(char c) noexcept
		{
			return c == ' ' || c == '\t' || c == '\n' || c == '\r';
		}

		constexpr void skip_json_space(std::string_view& text) noexcept
		{
			while (!text.empty() && is_json_space(text.front()))
			{
				text.remove_prefix(1);
			}
		}

		/// Removes `c` and the white space around it from the front.
		/// \returns	Whether it was there.
		constexpr bool skip_json_token(std::string_view& text, char c) noexcept
		{
			skip_json_space(text);
			if (text.empty() || text.front() != c)
			{
				return false;
			}
			text.remove_prefix(1);
			skip_json_space(text);
			return true;
		}

		/// Returns the size of the string at the front, with its quotes, or 0 if it has no end.
		[[nodiscard]] constexpr std::size_t json_string_size(std::string_view text) noexcept
		{
			for (std::size_t i = 1; i < text.size(); ++i)
			{
				if (text[i] == '\\')
				{
					++i;
				}
				else if (text[i] == '"')
				{
					return i + 1;
				}
			}
			return 0;
		}

		/// Returns the size of the value at the front, or 0 if it has no end. Counts brackets instead of descending, so
		/// that no depth of nesting exhausts the stack.
		[[nodiscard]] constexpr std::size_t json_value_size(std::string_view text) noexcept
		{
			std::size_t depth = 0;
			std::size_t i = 0;
			while (i < text.size())
			{
				const char c = text[i];
				const bool closes = c == '}' || c == ']';
				if (depth == 0 && (closes || c == ',' || is_json_space(c)))
				{
					return i;
				}
				const auto size = c == '"' ? json_string_size(text.substr(i)) : 1;
				if (size == 0)
				{
					return 0;
				}
				i += size;
				depth += c == '{' || c == '[' ? 1 : 0;
				depth -= closes ? 1 : 0;
				if (depth == 0 && (closes || c == '"'))
				{
					return i;
				}
			}
			return depth == 0 ? i : 0;
		}

		/// Removes the value at the front.
		/// \returns	Its text; empty if there is none.
		[[nodiscard]] constexpr std::string_view take_json_value(std::string_view& text) noexcept
		{
			const auto value = text.substr(0, json_value_size(text));
			text.remove_prefix(value.size());
			return value;
		}
	}

	/// Splits a JSON array into the texts of its elements. These are not checked, so that one element that a JSON
	/// library refuses, for its nesting or a number, does not hide the others.
	/// \returns	The elements, or nothing if the text is not an array.
	[[nodiscard]] inline std::optional<std::vector<std::string_view>> split_json_array(std::string_view text)
	{
		std::vector<std::string_view> elements;
		if (!detail::skip_json_token(text, '['))
		{
			return std::nullopt;
		}
		if (detail::skip_json_token(text, ']'))
		{
			return text.empty() ? std::optional{std::move(elements)} : std::nullopt;
		}
		do
		{
			elements.push_back(detail::take_json_value(text));
			if (elements.back().empty())
			{
				return std::nullopt;
			}
		} while (detail::skip_json_token(text, ','));
		return detail::skip_json_token(text, ']') && text.empty() ? std::optional{std::move(elements)} : std::nullopt;
	}

	/// Splits a JSON object into its members. The values are not checked.
	/// \returns	The members, or nothing if the text is not an object.
	[[nodiscard]] inline std::optional<std::vector<json_slice>> split_json_object(std::string_view text)
	{
		std::vector<json_slice> members;
		if (!detail::skip_json_token(text, '{'))
		{
			return std::nullopt;
		}
		if (detail::skip_json_token(text, '}'))
		{
			return text.empty() ? std::optional{std::move(members)} : std::nullopt;
		}
		do
		{
			const auto key_size = text.starts_with('"') ? detail::json_string_size(text) : 0;
			const auto key = text.substr(0, key_size);
			text.remove_prefix(key_size);
			if (key.empty() || !detail::skip_json_token(text, ':'))
			{
				return std::nullopt;
			}
			members.push_back({.key = key.substr(1, key.size() - 2), .value = detail::take_json_value(text)});
			if (members.back().value.empty())
			{
				return std::nullopt;
			}
		} while (detail::skip_json_token(text, ','));
		return detail::skip_json_token(text, '}') && text.empty() ? std::optional{std::move(members)} : std::nullopt;
	}

	/// Returns the text of the first member with this key; empty if there is none.
	[[nodiscard]] inline std::string_view find_json_slice(const std::vector<json_slice>& members,
														  std::string_view key) noexcept
	{
		for (const auto& it : members)
		{
			if (it.key == key)
			{
				return it.value;
			}
		}
		return {};
	}
}
