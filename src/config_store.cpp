#include "nutmegturn/config_store.hpp"

#include <queue>

#include <fmt/format.h>

#include <algorithm>
#include <compare>
#include <cstring>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace nutmegturn
{
	namespace
	{
		/// Owner of agent endpoints, which upstreams of all services may share. It cannot equal a service name, since
		/// those contain a slash.
		constexpr std::string_view agent_endpoint_owner = "agent";

		struct endpoint_hash
		{
			std::size_t operator()(const endpoint& ep) const noexcept
			{
				std::string_view bytes{reinterpret_cast<const char*>(ep.ip.bytes.data()), ep.ip.bytes.size()};
				return std::hash<std::string_view>{}(bytes) ^ (std::size_t{ep.port} * 0x9e3779b97f4a7c15U);
			}
		};

		/// Version of a key that conflict resolution currently considers.
		struct candidate
		{
			std::string_view key;
			stored_record* entry = nullptr;
			std::map<revision, stored_version>::const_reverse_iterator version;
			std::optional<record_refusal> refusal;

			[[nodiscard]] revision rev() const noexcept
			{
				return version->first;
			}

			[[nodiscard]] const record& rec() const noexcept
			{
				return *version->second.parsed;
			}
		};

		bool precedes(const candidate& a, const candidate& b) noexcept
		{
			return a.rev() != b.rev() ? a.rev() < b.rev() : a.key < b.key;
		}

		struct lower_precedence
		{
			bool operator()(const candidate* a, const candidate* b) const noexcept
			{
				return precedes(*b, *a);
			}
		};

		/// Visits the endpoints that a record claims, each with the name of the service that owns it.
		template <typename Visit>
		void for_each_endpoint(const record& rec, Visit visit)
		{
			if (const auto* service = std::get_if<service_config>(&rec.config))
			{
				for (const auto& ep : service->addresses)
				{
					visit(ep, std::string_view{rec.name});
				}
			}
			else if (const auto* upstream = std::get_if<upstream_config>(&rec.config))
			{
				visit(upstream->target, std::string_view{rec.service});
				visit(upstream->agent, agent_endpoint_owner);
			}
		}

		template <typename Visit>
		void for_each_name(const record& rec, Visit visit)
		{
			visit(std::string_view{rec.name});
			for (const auto& alias : rec.aliases)
			{
				visit(std::string_view{alias});
			}
		}

		/// Visits the hashes of the names and endpoints that a record claims.
		template <typename Visit>
		void for_each_claim(const record& rec, Visit visit)
		{
			for_each_name(rec, [&](std::string_view name) { visit(hash_name(name)); });
			for_each_endpoint(rec, [&](const endpoint& ep, std::string_view) { visit(hash_name(to_string(ep))); });
		}

		void add_claims(config_store& store, const std::string& key, const stored_version& version)
		{
			if (version.parsed)
			{
				const auto shared_key = std::make_shared<const std::string>(key);
				for_each_claim(*version.parsed,
							   [&](std::uint64_t claim) { store.claim_index.emplace(claim, shared_key); });
			}
		}

		void remove_claims(config_store& store, std::string_view key, const stored_version& version)
		{
			if (!version.parsed)
			{
				return;
			}
			for_each_claim(*version.parsed,
						   [&](std::uint64_t claim)
						   {
							   const auto [first, last] = store.claim_index.equal_range(claim);
							   const auto it = std::find_if(
								   first, last, [key](const auto& indexed) { return *indexed.second == key; });
							   if (it != last)
							   {
								   store.claim_index.erase(it);
							   }
						   });
		}

		/// Returns the given records and those that share a claim with them, directly or transitively, in any version.
		/// The result for all other records stays the same.
		std::set<std::string_view> connected_keys(const config_store& store, const std::set<std::string>& changed)
		{
			std::set<std::string_view> found{changed.begin(), changed.end()};
			std::vector<std::string_view> unvisited{found.begin(), found.end()};
			std::unordered_set<std::uint64_t> visited_claims;
			while (!unvisited.empty())
			{
				const auto& entry = store.records.find(unvisited.back())->second;
				unvisited.pop_back();
				for (const auto& [rev, version] : entry.versions)
				{
					if (!version.parsed)
					{
						continue;
					}
					for_each_claim(*version.parsed,
								   [&](std::uint64_t claim)
								   {
									   if (!visited_claims.insert(claim).second)
									   {
										   return;
									   }
									   const auto [first, last] = store.claim_index.equal_range(claim);
									   for (auto it = first; it != last; ++it)
									   {
										   // The view refers to the key in `records`, which outlives the entries of
										   // `claim_index`.
										   const std::string_view key = store.records.find(*it->second)->first;
										   if (found.insert(key).second)
										   {
											   unvisited.push_back(key);
										   }
									   }
								   });
				}
			}
			return found;
		}

		/// Names, ids and endpoints claimed by the candidates accepted so far. Processes know a service, upstream or
		/// zone by its id, a hash of its name, so that no two records in force may have the same one.
		class accepted_claims
		{
		public:
			/// An accepted candidate that conflicts with a record, and the name, id or endpoint that both claim.
			struct conflict
			{
				candidate* holder;
				std::string what;
			};

			[[nodiscard]] std::vector<conflict> conflicts_of(const record& rec) const
			{
				std::vector<conflict> found;
				for_each_name(rec,
							  [&](std::string_view name)
							  {
								  if (const auto it = names_.find(name); it != names_.end())
								  {
									  found.push_back({it->second, fmt::format("name {}", name)});
								  }
							  });
				if (const auto it = ids_.find(hash_name(rec.name));
					it != ids_.end() && it->second->rec().name != rec.name)
				{
					found.push_back({it->second, fmt::format("id {:016x}", it->first)});
				}
				for_each_endpoint(rec,
								  [&](const endpoint& ep, std::string_view owner)
								  {
									  const auto it = endpoints_.find(ep);
									  if (it == endpoints_.end() || it->second.owner == owner)
									  {
										  return;
									  }
									  for (auto* holder : it->second.holders)
									  {
										  found.push_back({holder, fmt::format("endpoint {}", to_string(ep))});
									  }
								  });
				return found;
			}

			void add(candidate& holder)
			{
				for_each_name(holder.rec(), [&](std::string_view name) { names_[name] = &holder; });
				ids_[hash_name(holder.rec().name)] = &holder;
				for_each_endpoint(holder.rec(),
								  [&](const endpoint& ep, std::string_view owner)
								  {
									  auto& claim = endpoints_[ep];
									  claim.owner = owner;
									  claim.holders.push_back(&holder);
								  });
			}

			void remove(const candidate& holder)
			{
				for_each_name(holder.rec(), [&](std::string_view name) { names_.erase(name); });
				ids_.erase(hash_name(holder.rec().name));
				for_each_endpoint(holder.rec(),
								  [&](const endpoint& ep, std::string_view)
								  {
									  auto it = endpoints_.find(ep);
									  std::erase(it->second.holders, &holder);
									  if (it->second.holders.empty())
									  {
										  endpoints_.erase(it);
									  }
								  });
			}

		private:
			struct endpoint_claim
			{
				std::string_view owner;
				std::vector<candidate*> holders;
			};

			std::unordered_map<std::string_view, candidate*> names_;
			std::unordered_map<std::uint64_t, candidate*> ids_;
			std::unordered_map<endpoint, endpoint_claim, endpoint_hash> endpoints_;
		};

		/// Moves a candidate to its newest valid version that is not newer than the present one.
		/// \returns	Whether there is such a version. A deletion ends the search.
		bool skip_invalid_versions(candidate& it)
		{
			while (it.version != it.entry->versions.rend() && it.version->second.value && !it.version->second.parsed)
			{
				++it.version;
			}
			return it.version != it.entry->versions.rend() && it.version->second.parsed != nullptr;
		}

		/// Selects the versions of connected records that are in force.
		std::vector<candidate> resolve_conflicts(config_store& store, const std::set<std::string_view>& keys)
		{
			std::vector<candidate> all;
			all.reserve(keys.size());
			for (const auto key : keys)
			{
				const auto it = store.records.find(key);
				all.push_back({it->first, &it->second, it->second.versions.crbegin(), {}});
			}
			std::priority_queue<candidate*, std::vector<candidate*>, lower_precedence> queue;
			for (auto& it : all)
			{
				if (const auto& newest = it.entry->versions.crbegin()->second; newest.error)
				{
					it.refusal = {it.rev(), reason::malformed, to_string(*newest.error)};
				}
				if (skip_invalid_versions(it))
				{
					queue.push(&it);
				}
			}

			const auto refuse = [&queue](candidate& loser, const candidate& winner, const std::string& what)
			{
				if (!loser.refusal)
				{
					loser.refusal = {loser.rev(), reason::conflict,
									 fmt::format("{} of {} (key {}, revision {}) is in use by {} (key {}, revision {})",
												 what, loser.rec().name, loser.key, to_string(loser.rev()),
												 winner.rec().name, winner.key, to_string(winner.rev()))};
				}
				++loser.version;
				if (skip_invalid_versions(loser))
				{
					queue.push(&loser);
				}
			};
			accepted_claims accepted;
			while (!queue.empty())
			{
				auto& it = *queue.top();
				queue.pop();
				const auto conflicts = accepted.conflicts_of(it.rec());
				const auto first =
					std::min_element(conflicts.begin(), conflicts.end(),
									 [](const auto& a, const auto& b) { return precedes(*a.holder, *b.holder); });
				if (first != conflicts.end() && precedes(*first->holder, it))
				{
					refuse(it, *first->holder, first->what);
					continue;
				}
				// After a refusal, an older version of a key can take precedence over candidates accepted earlier.
				for (const auto& [holder, what] : conflicts)
				{
					// A candidate may conflict in several names and endpoints, but is removed once.
					const auto is_same = [h = holder](const auto& other) { return other.holder == h; };
					const auto position = std::find_if(conflicts.begin(), conflicts.end(), is_same);
					if (&position->what == &what)
					{
						accepted.remove(*holder);
						refuse(*holder, it, what);
					}
				}
				accepted.add(it);
			}
			return all;
		}

		std::optional<zone_admin_state> zone_state(const record* rec)
		{
			const auto* zone = rec == nullptr ? nullptr : std::get_if<zone_config>(&rec->config);
			return zone == nullptr ? std::nullopt : std::optional{zone->state};
		}

		/// Appends audit events if the version in force of a record has changed.
		void append_events(std::vector<audit_event>& events, std::string_view key, const stored_record& entry,
						   std::optional<revision> before_rev, const record* before)
		{
			const auto* after = record_in_force(entry);
			const auto* named = after != nullptr ? after : before;
			if (entry.in_force != before_rev)
			{
				const auto describe = [](std::optional<revision> rev)
				{ return rev ? "revision " + to_string(*rev) : std::string{"none"}; };
				const auto newest = entry.versions.rbegin()->first;
				events.push_back({before_rev ? audit_kind::record_replaced : audit_kind::record_accepted, named->name,
								  fmt::format("key {}: {} -> {}", key, describe(before_rev), describe(entry.in_force)),
								  entry.in_force.value_or(newest), reason::none});
				const auto old_state = zone_state(before).value_or(zone_admin_state::in);
				const auto new_state = zone_state(after).value_or(zone_admin_state::in);
				if (old_state != new_state)
				{
					const bool is_out = new_state == zone_admin_state::out;
					events.push_back({is_out ? audit_kind::zone_taken_out : audit_kind::zone_returned, named->name,
									  fmt::format("{} -> {}", to_string(old_state), to_string(new_state)),
									  entry.in_force.value_or(newest), is_out ? reason::zone_out : reason::none});
				}
			}
		}

		/// Removes versions that can no longer come into force, and the oldest valid versions at or below `through`
		/// when there are more than `max_valid`. Newer ones stay: an older version of another key may still arrive and
		/// refuse any of them.
		void trim_versions(config_store& store, std::string_view key, stored_record& entry, std::size_t max_valid,
						   revision through)
		{
			std::size_t valid = 0;
			bool is_hidden = false;
			auto it = entry.versions.end();
			while (it != entry.versions.begin())
			{
				--it;
				const auto& version = it->second;
				const bool is_newest = std::next(it) == entry.versions.end();
				const bool is_kept = !is_hidden && (is_newest || !version.value || it->first == entry.in_force ||
													(version.parsed && (valid < max_valid || it->first > through)));
				valid += version.parsed ? 1 : 0;
				is_hidden = is_hidden || !version.value;
				if (!is_kept)
				{
					remove_claims(store, key, version);
					it = entry.versions.erase(it);
				}
			}
		}

		/// Returns the zone or service in force with this name or alias, or null.
		template <typename Config>
		const Config* find_in_force(const config_store& store, std::string_view name)
		{
			const auto [first, last] = store.claim_index.equal_range(hash_name(name));
			for (auto it = first; it != last; ++it)
			{
				const auto entry = store.records.find(*it->second);
				const auto* rec = entry == store.records.end() ? nullptr : record_in_force(entry->second);
				const auto* config = rec == nullptr ? nullptr : std::get_if<Config>(&rec->config);
				if (config != nullptr && (rec->name == name || std::find(rec->aliases.begin(), rec->aliases.end(),
																		 name) != rec->aliases.end()))
				{
					return config;
				}
			}
			return nullptr;
		}

		/// Returns an upstream with its references resolved, or nothing when its service or zone is not in force.
		std::optional<upstream_config> resolve(const config_store& store, const record& rec)
		{
			const auto* service = find_in_force<service_config>(store, rec.service);
			const auto* zone = find_in_force<zone_config>(store, rec.zone);
			if (service == nullptr || zone == nullptr)
			{
				return std::nullopt;
			}
			auto upstream = std::get<upstream_config>(rec.config);
			upstream.service = service->id;
			upstream.zone = zone->id;
			return upstream;
		}

		/// Change of the version in force of one record.
		struct record_change
		{
			std::shared_ptr<const record> before;
			const record* after = nullptr;
		};

		bool is_upstream(const record* rec)
		{
			return rec == nullptr || std::holds_alternative<upstream_config>(rec->config);
		}

		constexpr auto by_id = [](const auto& a, const auto& b) { return a.id < b.id; };

		/// Builds the deployment from the records in force.
		void build_deployment(config_store& store)
		{
			deployment built;
			store.unresolved.clear();
			for (const auto& [key, entry] : store.records)
			{
				const auto* rec = record_in_force(entry);
				if (rec == nullptr)
				{
					continue;
				}
				if (const auto* zone = std::get_if<zone_config>(&rec->config))
				{
					built.zones.push_back(*zone);
				}
				else if (const auto* service = std::get_if<service_config>(&rec->config))
				{
					built.services.push_back(*service);
				}
				else if (auto upstream = resolve(store, *rec))
				{
					built.upstreams.push_back(std::move(*upstream));
				}
				else
				{
					store.unresolved.push_back(rec->name);
				}
			}
			std::sort(built.zones.begin(), built.zones.end(), by_id);
			std::sort(built.services.begin(), built.services.end(), by_id);
			std::sort(built.upstreams.begin(), built.upstreams.end(), by_id);
			std::sort(store.unresolved.begin(), store.unresolved.end());
			store.current = std::move(built);
		}

		/// Updates the deployment. A small number of changed upstreams is replaced in place, since a rebuild copies
		/// all.
		void update_deployment(config_store& store, const std::vector<record_change>& changed)
		{
			constexpr std::size_t max_replaced = 64;
			if (changed.size() > max_replaced ||
				!std::all_of(changed.begin(), changed.end(),
							 [](const auto& it) { return is_upstream(it.before.get()) && is_upstream(it.after); }))
			{
				build_deployment(store);
				return;
			}
			auto& upstreams = store.current.upstreams;
			for (const auto& it : changed)
			{
				if (it.before)
				{
					const auto& old = std::get<upstream_config>(it.before->config);
					const auto position = std::lower_bound(upstreams.begin(), upstreams.end(), old, by_id);
					if (position != upstreams.end() && position->id == old.id)
					{
						upstreams.erase(position);
					}
					std::erase(store.unresolved, it.before->name);
				}
			}
			for (const auto& it : changed)
			{
				if (it.after == nullptr)
				{
					continue;
				}
				if (auto upstream = resolve(store, *it.after))
				{
					const auto position = std::lower_bound(upstreams.begin(), upstreams.end(), *upstream, by_id);
					upstreams.insert(position, std::move(*upstream));
				}
				else
				{
					const auto& name = it.after->name;
					store.unresolved.insert(std::lower_bound(store.unresolved.begin(), store.unresolved.end(), name),
											name);
				}
			}
		}

		/// Stores a version.
		/// \returns	Whether the set of versions changed.
		bool insert(config_store& store, const record_version& received, store_changes& changes)
		{
			const auto entry = store.records.find(received.key);
			const bool is_known = entry != store.records.end();
			const auto known =
				is_known ? entry->second.versions.find(received.rev) : std::map<revision, stored_version>::iterator{};
			const bool is_stored = is_known && known != entry->second.versions.end();
			const bool is_older = is_known && received.rev < entry->second.versions.rbegin()->first;
			if (!is_stored && !is_older && received.rev <= store.complete_through)
			{
				++changes.ignored;
				return false;
			}
			auto value = received.value;
			if (value && value->size() > max_record_size)
			{
				// Truncated to one byte above the limit: bounds the memory, and peers refuse the value as well.
				value->resize(max_record_size + 1);
			}
			// The service publishes one value per revision. If sources disagree, all processes choose the greater
			// value.
			if (is_stored && value <= known->second.value)
			{
				return false;
			}
			stored_version stored;
			if (value)
			{
				auto parsed = parse_record(received.key, *value);
				if (auto* rec = std::get_if<record>(&parsed))
				{
					stored.parsed = std::make_shared<const record>(std::move(*rec));
				}
				else
				{
					stored.error = std::get<parse_error>(std::move(parsed));
				}
			}
			stored.value = std::move(value);
			if (is_stored)
			{
				remove_claims(store, received.key, known->second);
			}
			add_claims(store, received.key, stored);
			store.records[received.key].versions.insert_or_assign(received.rev, std::move(stored));
			store.newest = std::max(store.newest, received.rev);
			return true;
		}
	}

	store_changes config_store_apply(config_store& store, std::span<const record_version> versions,
									 revision complete_through)
	{
		store_changes changes;
		std::set<std::string> changed_keys;
		// A version that replaces another one of the same revision destroys it, although it may be in force.
		std::map<std::string_view, std::shared_ptr<const record>> before;
		const auto in_force_record = [](const stored_record& entry)
		{ return entry.in_force ? entry.versions.at(*entry.in_force).parsed : nullptr; };
		for (const auto& version : versions)
		{
			const auto it = store.records.find(version.key);
			auto record_before = it == store.records.end() ? nullptr : in_force_record(it->second);
			if (insert(store, version, changes))
			{
				before.try_emplace(version.key, std::move(record_before));
				changed_keys.insert(version.key);
			}
		}
		store.ignored += changes.ignored;
		store.complete_through = std::max(store.complete_through, complete_through);
		store.newest = std::max(store.newest, complete_through);
		std::vector<record_change> changed;
		const auto connected = connected_keys(store, changed_keys);
		for (auto& it : resolve_conflicts(store, connected))
		{
			auto& entry = *it.entry;
			const auto before_rev = entry.in_force;
			const auto before_refusal = entry.refusal ? std::optional{entry.refusal->rev} : std::nullopt;
			const auto saved = before.find(it.key);
			const auto before_record = saved != before.end() ? saved->second : in_force_record(entry);
			const bool is_accepted = it.version != entry.versions.rend() && it.version->second.parsed;
			entry.in_force = is_accepted ? std::optional{it.rev()} : std::nullopt;
			entry.refusal = std::move(it.refusal);
			const auto* after = record_in_force(entry);
			if (after != before_record.get())
			{
				changed.push_back({before_record, after});
			}
			append_events(changes.events, it.key, entry, before_rev, before_record.get());
			if (entry.refusal && entry.refusal->rev != before_refusal)
			{
				const auto& newest = entry.versions.at(entry.refusal->rev);
				changes.events.push_back({audit_kind::record_refused,
										  newest.parsed ? newest.parsed->name : std::string{it.key},
										  entry.refusal->detail, entry.refusal->rev, entry.refusal->why});
			}
		}
		for (const auto key : connected)
		{
			trim_versions(store, key, store.records.find(key)->second, max_versions_per_key, store.complete_through);
		}
		changes.deployment_changed = !changed.empty();
		if (changes.deployment_changed)
		{
			update_deployment(store, changed);
		}
		store.current.rev = store.newest;
		return changes;
	}

	store_changes config_store_apply_full(config_store& store, std::span<const record_version> versions, revision rev)
	{
		if (rev < store.complete_through)
		{
			return config_store_apply(store, versions, rev);
		}
		std::set<std::string_view> answered;
		for (const auto& version : versions)
		{
			answered.insert(version.key);
		}
		std::vector<record_version> all{versions.begin(), versions.end()};
		// Missing keys are stored as deletions at the revision of the response, so that a stale peer cannot restore an
		// older version.
		store.complete_through = std::min(store.complete_through, revision{to_number(rev) - 1});
		for (const auto& [key, entry] : store.records)
		{
			const auto& [newest_rev, newest] = *entry.versions.rbegin();
			if (!answered.contains(key) && newest.value && newest_rev < rev)
			{
				all.push_back({key, rev, std::nullopt});
			}
		}
		return config_store_apply(store, all, rev);
	}

	void config_store_prune(config_store& store, revision through)
	{
		through = std::min(through, store.complete_through);
		for (auto it = store.records.begin(); it != store.records.end();)
		{
			auto& entry = it->second;
			const auto& [rev, newest] = *entry.versions.rbegin();
			if (rev <= through && !newest.value)
			{
				for (const auto& [old_rev, version] : entry.versions)
				{
					remove_claims(store, it->first, version);
				}
				it = store.records.erase(it);
				continue;
			}
			if (rev <= through && entry.in_force == rev)
			{
				trim_versions(store, it->first, entry, 2, through);
			}
			++it;
		}
	}

	const deployment& config_store_deployment(const config_store& store) noexcept
	{
		return store.current;
	}

	std::vector<record_version> config_store_changes_since(const config_store& store, revision after)
	{
		std::vector<record_version> versions;
		for (const auto& [key, entry] : store.records)
		{
			for (auto it = entry.versions.upper_bound(after); it != entry.versions.end(); ++it)
			{
				versions.push_back({key, it->first, it->second.value});
			}
		}
		std::stable_sort(versions.begin(), versions.end(), [](const auto& a, const auto& b) { return a.rev < b.rev; });
		return versions;
	}

	revision config_store_revision(const config_store& store) noexcept
	{
		return store.newest;
	}

	const record* record_in_force(const stored_record& entry) noexcept
	{
		const auto it = entry.in_force ? entry.versions.find(*entry.in_force) : entry.versions.end();
		return it == entry.versions.end() ? nullptr : it->second.parsed.get();
	}
}
