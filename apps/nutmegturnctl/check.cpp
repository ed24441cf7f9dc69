#include "command.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace nutmegturn::ctl
{
	using namespace nutmegturn::runtime;

	namespace
	{
		/// Returns a message for each upstream whose service or zone is not in force and, when there are records, for
		/// each zone and upstream in settings files that no record in force has.
		std::vector<std::string> find_unresolved(const record_files& files, const config_store& store)
		{
			std::vector<std::string> messages;
			for (const auto& name : store.unresolved)
			{
				messages.push_back(fmt::format("{}: its service or zone is not in force", name));
			}
			if (files.records.empty())
			{
				return messages;
			}
			const auto& current = config_store_deployment(store);
			const auto contains_name = [](const auto& list, const std::string& name)
			{ return std::any_of(list.begin(), list.end(), [&](const auto& it) { return it.name == name; }); };
			for (const auto& [file, file_settings] : files.settings_files)
			{
				if (!contains_name(current.zones, file_settings.zone))
				{
					messages.push_back(
						fmt::format("{}: zone: got {}, expected a zone in force", file, file_settings.zone));
				}
				for (const auto& name : file_settings.upstreams)
				{
					if (!contains_name(current.upstreams, name))
					{
						messages.push_back(
							fmt::format("{}: upstreams: got {}, expected an upstream in force", file, name));
					}
				}
			}
			return messages;
		}
	}

	int run_check(const std::vector<std::string>& paths, bool is_json)
	{
		const auto files = read_record_files(paths);
		config_store store;
		const auto refusals = apply_record_files(files, store);
		const auto unresolved = find_unresolved(files, store);
		const auto& current = config_store_deployment(store);
		if (is_json)
		{
			QJsonObject classes;
			for (const auto& it : current.services)
			{
				classes.insert(to_qstring(it.name), to_json(it.traffic));
			}
			print_json({{"classes", classes},
						{"zones", static_cast<qint64>(current.zones.size())},
						{"services", static_cast<qint64>(current.services.size())},
						{"upstreams", static_cast<qint64>(current.upstreams.size())},
						{"settings", static_cast<qint64>(files.settings_files.size())},
						{"refused", to_json(refusals)},
						{"unresolved", to_json(unresolved)}});
		}
		else
		{
			for (const auto& it : refusals)
			{
				fmt::print("refused: {}\n", it);
			}
			for (const auto& it : unresolved)
			{
				fmt::print("unresolved: {}\n", it);
			}
			for (const auto& it : current.services)
			{
				fmt::print("{}: class {}\n", it.name, describe(it.traffic));
			}
			fmt::print("{} zones, {} services, {} upstreams in force; {} settings files; {} refused, {} unresolved\n",
					   current.zones.size(), current.services.size(), current.upstreams.size(),
					   files.settings_files.size(), refusals.size(), unresolved.size());
		}
		return refusals.empty() && unresolved.empty() ? exit_ok : exit_refused;
	}
}
