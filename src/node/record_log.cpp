#include "node/record_log.hpp"

#include <fmt/format.h>

#include <utility>

namespace nutmegturn::node
{
	namespace
	{
		/// Returns whether a record names nothing to use.
		[[nodiscard]] bool is_odd(steering::record_effect effect) noexcept
		{
			return effect == steering::record_effect::unreadable || effect == steering::record_effect::service_unknown;
		}

		/// Returns the text of the log line on a record.
		[[nodiscard]] std::string describe(const steering::store_record& record, steering::record_effect effect)
		{
			if (const auto* problem = std::get_if<steering::unreadable_record>(&record.value))
			{
				return problem->problem;
			}
			return effect == steering::record_effect::service_unknown
					   ? "entry not used: the configuration does not name its service"
					   : "metadata store record applied";
		}
	}

	void record_log::log_effect(const steering::store_record& record, steering::record_effect effect)
	{
		if (effect == steering::record_effect::none)
		{
			log_ignored(record);
			return;
		}
		if (effect == steering::record_effect::configured)
		{
			log_service_limits();
			log_unknown_services();
			log_long_names();
			log_invalid_classes(std::get<steering::configuration>(record.value));
		}
		log_.write(is_odd(effect) ? log_level::warning : log_level::info, to_string(effect), describe(record, effect),
				   {{"key", record.key},
					{"era", std::to_string(record.revision.era)},
					{"revision", std::to_string(record.revision.number)},
					{"version", std::to_string(known_.version)}});
	}

	void record_log::log_missing(const std::string& key, steering::record_effect effect,
								 const steering::store_revision& listed)
	{
		log_.write(log_level::info, to_string(effect), "record missing in a listing of the metadata store",
				   {{"key", key},
					{"era", std::to_string(listed.era)},
					{"revision", std::to_string(listed.number)},
					{"version", std::to_string(known_.version)}});
	}

	void record_log::log_ignored(const steering::store_record& record) const
	{
		const auto& known = known_.revisions.at(record.key);
		const bool held = era_of(known_, group_).held.contains(record.key);
		if (held || record.revision < known)
		{
			log_.write(log_level::info, "record_ignored", "metadata store record older than the known one",
					   {{"key", record.key},
						{"era", std::to_string(record.revision.era)},
						{"revision", std::to_string(record.revision.number)},
						{"known_era", std::to_string(known.era)},
						{"known_revision", std::to_string(known.number)}});
		}
	}

	void record_log::log_service_limits()
	{
		for (const auto& [key, service] : known_.services)
		{
			log_.write(log_level::info, "service_configured", "service configured with limits for cold upstreams",
					   {{"service", service.name},
						{"cold_ms", std::to_string(service.cold_time.count())},
						{"cold_requests_per_s", fmt::format("{}", service.cold_requests_per_s)}});
		}
	}

	void record_log::log_unknown_services()
	{
		const auto n = count_upstreams_of_unknown_services(known_);
		if (std::exchange(unknown_services_logged_, n) != n && n > 0)
		{
			log_.write(log_level::warning, "services_unknown",
					   "entries not used: the configuration does not name their services",
					   {{"entries", std::to_string(n)}, {"version", std::to_string(known_.version)}});
		}
	}

	void record_log::log_long_names()
	{
		constexpr std::size_t shown_size = 60;
		const auto names = services_with_long_names(known_);
		if (!names.empty())
		{
			log_.write(log_level::warning, "service_names_too_long",
					   "flows of services whose names are too long for a message are rejected",
					   {{"services", std::to_string(names.size())},
						{"first", std::string{names.front().substr(0, shown_size)}},
						{"longest_allowed", std::to_string(steering::max_sent_name_size)},
						{"version", std::to_string(known_.version)}});
		}
	}

	void record_log::log_invalid_classes(const steering::configuration& config)
	{
		if (config.routes_with_default_class > 0)
		{
			log_.write(log_level::warning, "class_invalid",
					   "routes with an invalid class have the default class; the first one is named",
					   {{"version", std::to_string(config.version)},
						{"routes", std::to_string(config.routes_with_default_class)},
						{"first", config.first_invalid_class}});
		}
	}
}
