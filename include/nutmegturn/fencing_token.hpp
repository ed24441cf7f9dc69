#pragma once

#include "nutmegturn/ids.hpp"
#include "nutmegturn/reason.hpp"
#include "nutmegturn/time.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <span>

namespace nutmegturn
{
	/// Encoded fencing token: member id (8), incarnation (8), issue time in ns (8), MAC (16). This is the largest Echo
	/// option that RFC 9175 allows.
	using fencing_token = std::array<std::byte, 40>;

	/// Time during which a token may start requests. It is shorter than the retention of request outcomes, so that an
	/// entry stays in the table for as long as its token could start the request again.
	inline constexpr std::chrono::seconds fencing_token_validity{120};

	/// Identity and key with which an agent issues and checks tokens for one upstream.
	struct fencing_issuer
	{
		member_id agent{};
		incarnation process_incarnation{};
		/// Covered by the MAC but not part of the token. Two upstreams of an agent have separate outcome tables, so a
		/// token for one must not start a request at the other.
		upstream_id upstream{};
		std::array<std::byte, 32> key{}; ///< MAC key, random for each incarnation.
	};

	/// Result of checking a token.
	struct fencing_check
	{
		reason why = reason::token_missing; ///< `none` when the token may start a request.
		monotonic_time issued{};            ///< Valid for `none` and `token_expired`.
	};

	/// Issues a token.
	[[nodiscard]] fencing_token issue_fencing_token(const fencing_issuer& issuer, monotonic_time now) noexcept;

	/// Checks the value of an Echo option.
	/// \returns	`none`, `token_missing` (empty), `token_foreign` (another agent, incarnation or upstream, or a wrong
	///				MAC) or `token_expired`.
	[[nodiscard]] fencing_check check_fencing_token(const fencing_issuer& issuer, std::span<const std::byte> echo,
													monotonic_time now) noexcept;
}
