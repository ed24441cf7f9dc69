#pragma once

#include <cstdint>
#include <string>
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

	/// Configuration revision; increases with every accepted publication. 0 means that no configuration is known. A
	/// service that is restored from an older copy starts another era and gives out revision numbers again; the era is
	/// in the upper bits, so that later eras compare as greater.
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

	/// Bits of a revision that hold its number; the era takes the others.
	inline constexpr unsigned revision_number_bits = 48;

	/// Largest era and number of a revision.
	/// @{
	inline constexpr std::uint64_t max_revision_era = 0x7fff;
	inline constexpr std::uint64_t max_revision_number = (std::uint64_t{1} << revision_number_bits) - 1;
	/// @}

	/// Returns the revision with a number in an era. Services without eras use era 0.
	[[nodiscard]] constexpr revision make_revision(std::uint64_t era, std::uint64_t number) noexcept
	{
		return revision{(era << revision_number_bits) | (number & max_revision_number)};
	}

	/// Returns the era of a revision.
	[[nodiscard]] constexpr std::uint64_t era_of(revision rev) noexcept
	{
		return to_number(rev) >> revision_number_bits;
	}

	/// Returns the number of a revision, after its era and a dot unless that is 0.
	[[nodiscard]] std::string to_string(revision rev);

	/// Returns the number of a revision in its era.
	[[nodiscard]] constexpr std::uint64_t number_of(revision rev) noexcept
	{
		return to_number(rev) & max_revision_number;
	}
}
