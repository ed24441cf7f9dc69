#include "nutmegturn/impl/config_push.hpp"

#include <algorithm>
#include <utility>

namespace nutmegturn
{
	namespace detail
	{
		namespace
		{
			constexpr std::size_t record_overhead_bytes = 32;

			[[nodiscard]] wire::record_version to_wire_record(const record_version& it)
			{
				wire::record_version out;
				out.key = it.key;
				out.rev = to_wire(it.rev);
				if (it.value)
				{
					out.__set_value(*it.value);
				}
				return out;
			}
		}

		wire::config_push make_push_chunk(const std::vector<record_version>& versions, revision after,
										  revision complete_through, std::size_t offset)
		{
			wire::config_push push;
			push.after = to_wire(after);
			push.rev = to_wire(after);
			push.chunks = 1;
			std::size_t bytes = 0;
			for (std::size_t i = 0; i < versions.size(); ++i)
			{
				const auto& it = versions[i];
				const auto size = record_overhead_bytes + it.key.size() + (it.value ? it.value->size() : 0);
				if (bytes + size > max_control_chunk_bytes)
				{
					if (i == 0 && it.value)
					{
						auto part = to_wire_record(it);
						const auto from = std::min(offset, it.value->size());
						part.__set_value(
							it.value->substr(from, max_control_chunk_bytes - record_overhead_bytes - it.key.size()));
						part.__set_offset(static_cast<std::int32_t>(from));
						part.__set_total(static_cast<std::int32_t>(it.value->size()));
						push.records.push_back(part);
					}
					return push;
				}
				bytes += size;
				push.records.push_back(to_wire_record(it));
				// Complete through a revision only when it includes all versions of that revision.
				if (i + 1 == versions.size() || versions[i + 1].rev != it.rev)
				{
					push.rev = to_wire(it.rev);
				}
				if (push.records.size() == max_control_elements)
				{
					return push;
				}
			}
			push.rev = to_wire(std::max(complete_through, after));
			return push;
		}

		std::vector<record_version> reassemble_versions(relay_state& state, const wire::config_push& push)
		{
			std::vector<record_version> versions;
			for (const auto& it : push.records)
			{
				const revision rev{to_unsigned(it.rev)};
				if (!it.__isset.total)
				{
					versions.push_back({it.key, rev, it.__isset.value ? std::optional{it.value} : std::nullopt});
					continue;
				}
				constexpr std::int32_t max_value_bytes = 1 << 20;
				if (rev != state.partial_value_revision)
				{
					state.partial_value.clear();
					state.partial_value_revision = rev;
				}
				if (it.total > max_value_bytes || it.offset != static_cast<std::int32_t>(state.partial_value.size()))
				{
					continue;
				}
				state.partial_value += it.value;
				if (state.partial_value.size() == static_cast<std::size_t>(it.total))
				{
					versions.push_back({it.key, rev, std::exchange(state.partial_value, {})});
				}
			}
			return versions;
		}
	}
}
