#pragma once

#include "nutmegturn/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegturn
{
	/// What a name identifies.
	enum class name_kind : std::uint8_t
	{
		zone_or_service, ///< A zone or a service: deployment and one part.
		upstream         ///< Deployment, zone, service and ordinal.
	};

	/// Maximum size of a name in bytes, in any scheme.
	inline constexpr std::size_t max_name_size = 255;

	/// Resolves a name to its canonical form, the lower-case path form.
	/// \param source	Document that contains the name, for error messages.
	/// \param path	Field that contains the name, for error messages.
	/// \param text	`/cz-stred/stred-a/permit-desk/1`, `1.permit-desk.stred-a.cz-stred` or
	///					`urn:nmt:cz-stred:stred-a:permit-desk:1`; zones and services have two parts instead of four.
	/// \param kind	Expected kind of the name.
	/// \returns	The canonical name. Parts consist of letters, digits and hyphens that are neither first nor last; an
	///				ordinal is a positive number without leading zeros.
	[[nodiscard]] result<std::string> parse_name(std::string_view source, std::string_view path, std::string_view text,
												 name_kind kind);

	/// Returns the deployment part of a canonical name.
	[[nodiscard]] std::string_view deployment_of(std::string_view canonical_name) noexcept;
}
