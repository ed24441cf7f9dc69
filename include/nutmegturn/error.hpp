#pragma once

#include <string>
#include <variant>

namespace nutmegturn
{
	/// Reason why a document is rejected.
	struct parse_error
	{
		std::string source;   ///< File name, record key or URL.
		std::string path;     ///< Field, such as `upstreams[0].slots`.
		std::string value;    ///< Invalid value as text, truncated to 200 bytes.
		std::string expected; ///< Description of valid values.
	};

	/// Returns `SOURCE: PATH: got VALUE, expected EXPECTED`.
	[[nodiscard]] std::string to_string(const parse_error& error);

	/// A value, or the error that prevented it.
	template <typename T, typename E = parse_error>
	using result = std::variant<T, E>;

	/// Returns whether the result holds a value.
	template <typename T, typename E>
	[[nodiscard]] constexpr bool has_value(const std::variant<T, E>& outcome) noexcept
	{
		return outcome.index() == 0;
	}
}
