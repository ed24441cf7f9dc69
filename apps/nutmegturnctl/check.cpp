#include "command.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace nutmegturn::ctl
{
	using namespace nutmegturn::runtime;

	namespace
	{
		/// Names in settings that no record in force has, and upstreams that refer to records not in force.
		std::vector<std::string> find_unresolved(const record_files& files, const config_store& store)
		{
			std::vector<std::string> found;
			for (const auto& name : store.unresolved)
			{
				found.push_back(fmt::format("{}: its service or zone is not in force", name));
			}
			if (files.records.empty())
			{
				return found;
			}
			const auto& current = config_store_deployment(store);
			const auto has = [](const auto& list, const std::string& name)
			{ return std::any_of(list.begin(), list.end(), [&](const auto& it) { return it.name == name; }); };
			for (const auto& [file, settings_of_file] : files.settings_files)
			{
				if (!has(current.zones, settings_of_file.zone))
				{
					found.push_back(
						fmt::format("{}: zone: got {}, expected a zone in force", file, settings_of_file.zone));
				}
				for (const auto& name : settings_of_file.upstreams)
				{
					if (!has(current.upstreams, name))
					{
						found.push_back(
							fmt::format("{}: upstreams: got {}, expected an upstream in force", file, name));
					}
				}
			}
			return found;
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
			print_json({{"zones", static_cast<qint64>(current.zones.size())},
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
			fmt::print("{} zones, {} services, {} upstreams in force; {} settings files; {} refused, {} unresolved\n",
					   current.zones.size(), current.services.size(), current.upstreams.size(),
					   files.settings_files.size(), refusals.size(), unresolved.size());
		}
		return refusals.empty() && unresolved.empty() ? exit_ok : exit_refused;
	}
}
