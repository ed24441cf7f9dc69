#include "scenario/fake_config_service.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace nutmegturn::scenario
{
	revision fake_config_service::publish(const std::string& key, std::optional<std::string> value, monotonic_time now)
	{
		newest_ = revision{to_number(newest_) + 1};
		history_.push_back({key, newest_, std::move(value)});
		accepted_.push_back(now);
		return newest_;
	}

	std::optional<config_answer> fake_config_service::read(revision after, monotonic_time now)
	{
		if (down_)
		{
			return std::nullopt;
		}
		const auto second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
		peak_reads_ = std::max(peak_reads_, ++reads_[second]);

		config_answer out{.rev = visible_revision(), .full = after == revision{}, .records = {}};
		std::map<std::string, const record_version*> latest;
		for (const auto& it : history_)
		{
			if (it.rev <= out.rev)
			{
				latest[it.key] = &it;
			}
		}
		for (const auto& [key, version] : latest)
		{
			if (version->rev > after && (!out.full || version->value))
			{
				out.records.push_back(*version);
			}
		}
		return out;
	}

	monotonic_time fake_config_service::accepted_at(revision rev) const
	{
		const auto n = to_number(rev);
		return n == 0 || n > accepted_.size() ? monotonic_time{} : accepted_[n - 1];
	}

	revision fake_config_service::newest_accepted_by(monotonic_time when) const
	{
		return revision{static_cast<std::uint64_t>(std::ranges::upper_bound(accepted_, when) - accepted_.begin())};
	}

	bool fake_config_service::has_newer(revision after) const noexcept
	{
		return visible_revision() > after;
	}

	revision fake_config_service::visible_revision() const noexcept
	{
		return stale_at_ ? std::min(*stale_at_, newest_) : newest_;
	}
}
