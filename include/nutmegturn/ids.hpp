#pragma once

#include <cstdint>
#include <string_view>

namespace nutmegturn
{
	/// \name Strong identifiers
	/// Hashes of canonical names, identical in every process.
	/// @{

	/// Identifier of a service: hash of its canonical name.
	enum class service_id : std::uint64_t
	{
	};

	/// Identifier of an upstream: hash of its canonical name.
	enum class upstream_id : std::uint64_t
	{
	};

	/// Identifier of an availability zone: hash of its canonical name.
	enum class zone_id : std::uint64_t
	{
	};

	/// Identifier of a process (balancer or agent): hash of the name in its settings. It stays the same across
	/// restarts.
	enum class member_id : std::uint64_t
	{
	};
	/// @}

	/// Random number chosen at each start of a process; distinguishes successive runs of one member.
	enum class incarnation : std::uint64_t
	{
	};

	/// Configuration revision; increases with every accepted publication. 0 means that no configuration is known.
	enum class revision : std::uint64_t
	{
	};

	/// Returns the 64-bit XXH3 hash that ids consist of.
	/// \param text	Canonical name.
	[[nodiscard]] std::uint64_t hash_name(std::string_view text) noexcept;

	/// Returns the id of type `Id` of a canonical name.
	template <typename Id>
	[[nodiscard]] Id make_id(std::string_view canonical_name) noexcept
	{
		return Id{hash_name(canonical_name)};
	}

	/// Returns the numeric value of an id.
	template <typename Id>
	[[nodiscard]] constexpr std::uint64_t to_number(Id id) noexcept
	{
		return static_cast<std::uint64_t>(id);
	}
}
