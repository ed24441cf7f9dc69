#include "nutmegturn/error.hpp"

#include <fmt/format.h>

namespace nutmegturn
{
	std::string to_string(const parse_error& error)
	{
		return fmt::format("{}: {}: got {}, expected {}", error.source, error.path.empty() ? "document" : error.path,
						   error.value.empty() ? "nothing" : error.value, error.expected);
	}
}
