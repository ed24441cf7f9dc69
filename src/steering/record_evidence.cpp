#include "nutmegturn/steering/record_evidence.hpp"

namespace nutmegturn::steering
{
	std::chrono::milliseconds draw_confirmation_age(const confirmation_ages& ages, std::uint64_t random) noexcept
	{
		const auto values = static_cast<std::uint64_t>(ages.spread.count()) + 1;
		return ages.shortest + std::chrono::milliseconds{static_cast<std::int64_t>(random % values)};
	}

	bool is_confirmed_by(const store_revision& known, const record_evidence& evidence) noexcept
	{
		return evidence.as_of != monotonic_time{} && evidence.newest.era == known.era && evidence.newest <= known;
	}

	bool is_within_records_age(monotonic_time known_as_of, monotonic_time now) noexcept
	{
		return known_as_of != monotonic_time{} && now - known_as_of <= max_records_age;
	}
}
