#include "nutmegturn/routing_view.hpp"

#include "command.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <span>

namespace nutmegturn::ctl
{
	using namespace nutmegturn::runtime;

	namespace
	{
		constexpr std::array<std::string_view, 6> state_names{"eligible", "suspect", "draining",
															  "dead",     "out",     "zone out"};

		/// Returns `key KEY revision N` of the record in force that has this canonical name, or an empty text.
		std::string describe_record(const config_store& store, const std::string& name)
		{
			for (const auto& [key, entry] : store.records)
			{
				const auto* rec = record_in_force(entry);
				if (rec != nullptr && rec->name == name)
				{
					return fmt::format("key {} revision {}", key, to_string(*entry.in_force));
				}
			}
			return {};
		}
	}

	int run_explain(const std::string& records_path, const flow_key& key, bool is_json)
	{
		const auto files = read_record_files({records_path});
		config_store store;
		for (const auto& refusal : apply_record_files(files, store))
		{
			fmt::print(stderr, "refused: {}\n", refusal);
		}
		const auto& current = config_store_deployment(store);
		const auto view = build_routing_view(current, {}, nullptr);
		const auto* service = view.service_at(key.service);
		const auto hash = flow_hash(key);
		const auto* primary = service == nullptr ? nullptr : service->primary_of(hash);
		if (primary == nullptr)
		{
			const auto cause = service == nullptr ? reason::unknown_service : reason::no_upstream;
			is_json ? print_json({{"reason", to_qstring(to_string(cause))},
								  {"revision", static_cast<qint64>(number_of(current.rev))}})
					: fmt::print("no upstream: {}, at revision {}\n", to_string(cause), to_string(current.rev));
			return exit_no_upstream;
		}
		const auto upstream_name = [&](upstream_id id)
		{
			const auto it = std::find_if(current.upstreams.begin(), current.upstreams.end(),
										 [id](const auto& other) { return other.id == id; });
			return it == current.upstreams.end() ? std::string{} : it->name;
		};
		const auto config = std::find_if(current.services.begin(), current.services.end(),
										 [&](const auto& it) { return it.id == service->id; });
		const auto upstream = upstream_name(primary->id);
		std::array<candidate_index, search_length> chain{};
		const auto chain_length = service->chain_of(hash, chain);
		QJsonArray chain_json;
		std::string chain_text;
		for (const auto index : std::span{chain}.first(chain_length))
		{
			const auto& it = service->candidates[index];
			const auto state = state_names[static_cast<std::size_t>(it.state)];
			chain_json.append(
				QJsonObject{{"upstream", to_qstring(upstream_name(it.id))}, {"state", to_qstring(state)}});
			chain_text += fmt::format("  {} ({})\n", upstream_name(it.id), state);
		}
		const auto rule = primary->state == candidate_state::eligible
							  ? std::string{"first eligible upstream in the candidate chain"}
							  : fmt::format("no upstream is eligible; first {} one in the candidate chain",
											state_names[static_cast<std::size_t>(primary->state)]);
		if (is_json)
		{
			print_json({{"service", to_qstring(config->name)},
						{"upstream", to_qstring(upstream)},
						{"agent", to_qstring(to_string(primary->agent))},
						{"bucket", static_cast<qint64>(service->bucket_of(hash))},
						{"hash", to_qstring(fmt::format("{:016x}", hash))},
						{"rule", to_qstring(rule)},
						{"service_record", to_qstring(describe_record(store, config->name))},
						{"upstream_record", to_qstring(describe_record(store, upstream))},
						{"chain", chain_json},
						{"revision", static_cast<qint64>(number_of(current.rev))}});
			return exit_ok;
		}
		fmt::print("upstream {} (agent {}), revision {}\n", upstream, to_string(primary->agent),
				   to_string(current.rev));
		fmt::print("rule: {} of bucket {} (flow hash {:016x})\n", rule, service->bucket_of(hash), hash);
		fmt::print("service {}, {}\n", config->name, describe_record(store, config->name));
		fmt::print("upstream record: {}\n", describe_record(store, upstream));
		fmt::print("candidate chain, assuming that all agents are alive:\n{}", chain_text);
		return exit_ok;
	}
}
