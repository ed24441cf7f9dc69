#include "nutmegturn/deployment_plan.hpp"
#include "nutmegturn/random.hpp"

#include "command.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>

namespace nutmegturn::ctl
{
	using namespace nutmegturn::runtime;

	namespace
	{
		constexpr std::uint64_t sample_seed = 1;

		/// Returns the record versions to publish so that a store holds the planned records.
		/// \param is_partial	Keep records that the planned files do not contain instead of removing them.
		std::vector<record_version> versions_to_publish(const config_store& store, const record_files& files,
														bool is_partial)
		{
			const revision next{to_number(config_store_revision(store)) + 1};
			std::vector<record_version> versions;
			for (const auto& it : files.records)
			{
				const auto entry = store.records.find(it.key);
				if (entry == store.records.end() || entry->second.versions.rbegin()->second.value != it.value)
				{
					versions.push_back({it.key, next, it.value});
				}
			}
			for (const auto& [key, entry] : store.records)
			{
				if (!is_partial && std::none_of(files.records.begin(), files.records.end(),
												[k = key](const auto& it) { return it.key == k; }))
				{
					versions.push_back({key, next, std::nullopt});
				}
			}
			return versions;
		}

		void print_plan(const deployment_plan& plan, const std::vector<std::string>& refusals)
		{
			for (const auto& it : refusals)
			{
				fmt::print("refused: {}\n", it);
			}
			for (const auto& it : plan.changes)
			{
				fmt::print("{}{}{}: {} -> {}\n", it.subject, it.field.empty() ? "" : " ", it.field,
						   it.before.empty() ? "none" : it.before, it.after.empty() ? "none" : it.after);
			}
			for (const auto& it : plan.shares)
			{
				fmt::print("{} share of new flows: {:.4f} -> {:.4f}\n", it.upstream, it.before, it.after);
			}
			for (const auto& it : plan.flows)
			{
				fmt::print(
					"{} of {} sampled flows: {} keep their primary, {} get another primary, {} lose the record of "
					"their primary, {} end\n",
					it.service, it.sampled, it.kept, it.moved, it.removed, it.given_up);
			}
			if (plan.changes.empty())
			{
				fmt::print("no change\n");
			}
		}

		void print_plan_json(const deployment_plan& plan, const std::vector<std::string>& refusals)
		{
			QJsonArray changes;
			for (const auto& it : plan.changes)
			{
				changes.append(QJsonObject{{"subject", to_qstring(it.subject)},
										   {"field", to_qstring(it.field)},
										   {"before", to_qstring(it.before)},
										   {"after", to_qstring(it.after)}});
			}
			QJsonArray shares;
			for (const auto& it : plan.shares)
			{
				shares.append(
					QJsonObject{{"upstream", to_qstring(it.upstream)}, {"before", it.before}, {"after", it.after}});
			}
			QJsonArray flows;
			for (const auto& it : plan.flows)
			{
				flows.append(QJsonObject{{"service", to_qstring(it.service)},
										 {"sampled", static_cast<qint64>(it.sampled)},
										 {"kept", static_cast<qint64>(it.kept)},
										 {"moved", static_cast<qint64>(it.moved)},
										 {"removed", static_cast<qint64>(it.removed)},
										 {"given_up", static_cast<qint64>(it.given_up)}});
			}
			print_json({{"refused", to_json(refusals)}, {"changes", changes}, {"shares", shares}, {"flows", flows}});
		}
	}

	int run_plan(const std::string& current_path, const std::string& planned_path, bool is_partial,
				 std::uint32_t samples, bool is_json)
	{
		const auto current_files = read_record_files({current_path});
		const auto planned_files = read_record_files({planned_path});
		config_store store;
		auto refusals = apply_record_files(current_files, store);
		const auto before = config_store_deployment(store);
		for (const auto& error : planned_files.errors)
		{
			refusals.push_back(to_string(error));
		}
		for (const auto& event :
			 config_store_apply(store, versions_to_publish(store, planned_files, is_partial), revision{}).events)
		{
			if (event.kind == audit_kind::record_refused)
			{
				refusals.push_back(event.detail);
			}
		}
		random_source random{sample_seed};
		const auto plan = plan_deployment(before, config_store_deployment(store), samples, random);
		is_json ? print_plan_json(plan, refusals) : print_plan(plan, refusals);
		if (!refusals.empty())
		{
			return exit_refused;
		}
		const bool ends_flows =
			std::any_of(plan.flows.begin(), plan.flows.end(), [](const auto& it) { return it.given_up > 0; });
		return ends_flows ? exit_ends_flows : exit_ok;
	}
}
