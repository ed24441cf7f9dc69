#pragma once

#include "nutmegturn/deployment.hpp"
#include "nutmegturn/error.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace nutmegturn
{
	/// Maximum size of the value of a record in bytes; the configuration service transfers no larger ones.
	inline constexpr std::size_t max_record_size = 1'000'000;

	/// Parsed record. Names are canonical. The service and the zone of an upstream are stored as names, because they
	/// may be aliases, which are resolved only against the records in force; the ids in `config` are set at that time.
	struct record
	{
		std::uint32_t schema = 0;
		std::string name;
		std::vector<std::string> aliases;
		std::string service; ///< Service of an upstream; empty for other kinds.
		std::string zone;    ///< Zone of an upstream; empty for other kinds.
		std::variant<zone_config, service_config, upstream_config> config;
	};

	/// Parses the value of a record of any kind and schema version. Unknown or duplicate keys, wrong types, and invalid
	/// names or addresses are rejected.
	/// \param source	Record key or file name, for error messages.
	/// \param text	UTF-8 JSON.
	/// \returns	The record, or the error for which it was rejected.
	[[nodiscard]] result<record> parse_record(std::string_view source, std::string_view text);

	/// Returns the name used in records for an upstream's state.
	[[nodiscard]] std::string_view to_string(upstream_admin_state state) noexcept;

	/// Returns the name used in records for a zone's state.
	[[nodiscard]] std::string_view to_string(zone_admin_state state) noexcept;

	/// Returns the name used in records for a protocol.
	[[nodiscard]] std::string_view to_string(service_protocol protocol) noexcept;
}
