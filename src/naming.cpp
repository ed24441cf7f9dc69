#include "nutmegturn/naming.hpp"

#include <algorithm>
#include <vector>

namespace nutmegturn
{
	namespace
	{
		constexpr std::string_view urn_prefix = "urn:nmt:";
		constexpr std::size_t max_part_size = 63;
		constexpr std::size_t max_ordinal_digits = 9;
		constexpr std::size_t max_error_value_size = 200;

		bool is_digit(char c) noexcept
		{
			return c >= '0' && c <= '9';
		}

		bool is_part(std::string_view part) noexcept
		{
			return !part.empty() && part.size() <= max_part_size && part.front() != '-' && part.back() != '-' &&
				   std::all_of(part.begin(), part.end(),
							   [](char c) { return (c >= 'a' && c <= 'z') || is_digit(c) || c == '-'; });
		}

		bool is_ordinal(std::string_view part) noexcept
		{
			return !part.empty() && part.size() <= max_ordinal_digits && part.front() != '0' &&
				   std::all_of(part.begin(), part.end(), is_digit);
		}

		std::vector<std::string_view> split(std::string_view text, char separator)
		{
			std::vector<std::string_view> parts;
			while (true)
			{
				const auto end = text.find(separator);
				parts.push_back(text.substr(0, end));
				if (end == std::string_view::npos)
				{
					return parts;
				}
				text.remove_prefix(end + 1);
			}
		}

		/// Returns the parts of a name in any scheme, from the deployment to the most specific part.
		/// \param lower	Name in lower case.
		std::vector<std::string_view> parts_of(std::string_view lower)
		{
			if (lower.starts_with('/'))
			{
				return split(lower.substr(1), '/');
			}
			if (lower.starts_with(urn_prefix))
			{
				return split(lower.substr(urn_prefix.size()), ':');
			}
			auto parts = split(lower, '.');
			std::reverse(parts.begin(), parts.end());
			return parts;
		}
	}

	result<std::string> parse_name(std::string_view source, std::string_view path, std::string_view text,
								   name_kind kind)
	{
		const auto invalid_name = [&]
		{
			return parse_error{std::string{source}, std::string{path},
							   std::string{text.substr(0, max_error_value_size)},
							   kind == name_kind::upstream
								   ? "upstream name such as /deployment/zone/service/1, 1.service.zone.deployment or "
									 "urn:nmt:deployment:zone:service:1"
								   : "zone or service name such as /deployment/part, part.deployment or "
									 "urn:nmt:deployment:part"};
		};
		if (text.size() > max_name_size)
		{
			return invalid_name();
		}
		std::string lower{text};
		std::transform(lower.begin(), lower.end(), lower.begin(),
					   [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
		const auto parts = parts_of(lower);
		const std::size_t expected_parts = kind == name_kind::upstream ? 4 : 2;
		if (parts.size() != expected_parts || !std::all_of(parts.begin(), parts.end(), is_part) ||
			(kind == name_kind::upstream && !is_ordinal(parts.back())))
		{
			return invalid_name();
		}
		std::string canonical;
		for (const auto part : parts)
		{
			canonical += '/';
			canonical += part;
		}
		return canonical;
	}

	std::string_view deployment_of(std::string_view canonical_name) noexcept
	{
		const auto name = canonical_name.substr(std::min<std::size_t>(1, canonical_name.size()));
		return name.substr(0, name.find('/'));
	}
}
