#pragma once

#include "nutmegturn/config_relay.hpp"
#include "nutmegturn/control_codec.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace nutmegturn
{
	namespace detail
	{
		/// \name Conversion to and from the signed numbers of control messages
		/// @{

		[[nodiscard]] inline std::int64_t to_wire(revision rev) noexcept
		{
			return static_cast<std::int64_t>(rev);
		}

		[[nodiscard]] inline std::int64_t to_wire(member_id id) noexcept
		{
			return static_cast<std::int64_t>(id);
		}

		[[nodiscard]] inline std::uint64_t to_unsigned(std::int64_t n) noexcept
		{
			return static_cast<std::uint64_t>(n);
		}
		/// @}

		/// Returns as many versions after a revision as fit in one message; `rev` is the revision through which they
		/// are complete. A version that is too large for one message is sent in parts, one for each pull.
		/// \param versions	Versions newer than `after`, ordered by revision.
		/// \param complete_through	Revision through which `versions` is complete.
		/// \param offset	Size of the parts of the first value that the receiver has, in bytes.
		[[nodiscard]] wire::config_push make_push_chunk(const std::vector<record_version>& versions, revision after,
														revision complete_through, std::size_t offset);

		/// Collects the parts of long values and returns the complete versions.
		[[nodiscard]] std::vector<record_version> reassemble_versions(relay_state& state,
																	  const wire::config_push& push);
	}
}
