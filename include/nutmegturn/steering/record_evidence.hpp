#pragma once

#include "nutmegturn/steering/store_revision.hpp"
#include "nutmegturn/time.hpp"

#include <chrono>
#include <cstdint>

namespace nutmegturn::steering
{
	/// What a process can tell others about a group of records: as of a time, no change of the group has a higher
	/// revision. A process that knows all changes up to that revision missed none as of that time.
	struct record_evidence
	{
		store_revision newest;
		monotonic_time as_of{}; ///< Zero: nothing can be told.
	};

	/// Longest time as of which records may have been confirmed last and still count as current. Shorter than the
	/// shortest time within which a change must take effect.
	inline constexpr std::chrono::milliseconds max_records_age{2'800};

	/// Age of its records at which a process asks the store whether it missed a change.
	///
	/// A pending watch tells nothing: its answer may have been lost, or its connection may have gone silent. Processes
	/// tell each other what the store confirmed, so that few of them ask. The ages are drawn at random, so that one
	/// asks first and the others hear of it in time.
	struct confirmation_ages
	{
		std::chrono::milliseconds shortest{0};
		std::chrono::milliseconds spread{0};
	};

	/// Balancers ask first, since each reaches all agents.
	inline constexpr confirmation_ages balancer_confirmation_ages{.shortest = std::chrono::milliseconds{1'700},
																  .spread = std::chrono::milliseconds{500}};

	/// Agents, which are many, ask when no balancer has told them.
	inline constexpr confirmation_ages agent_confirmation_ages{.shortest = std::chrono::milliseconds{2'300},
															   .spread = std::chrono::milliseconds{200}};

	/// Draws an age at which to ask the store.
	/// \param random	Random value.
	[[nodiscard]] std::chrono::milliseconds draw_confirmation_age(const confirmation_ages& ages,
																  std::uint64_t random) noexcept;

	/// Returns whether evidence shows that a process missed no change.
	/// \param known	The process knows all changes of the group up to this revision.
	[[nodiscard]] bool is_confirmed_by(const store_revision& known, const record_evidence& evidence) noexcept;

	/// Returns whether records count as current.
	/// \param known_as_of	Every change that the store had then is known; zero if the records were never read.
	[[nodiscard]] bool is_within_records_age(monotonic_time known_as_of, monotonic_time now) noexcept;
}
