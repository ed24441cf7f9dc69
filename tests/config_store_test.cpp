#include "nutmegturn/config_store.hpp"

#include "rapidcheck_seeded.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace nutmegturn
{
	namespace
	{
		std::string zone(const std::string& state = "in")
		{
			return fmt::format(R"({{"schema":2,"kind":"availability_zone","name":"/d/z","state":"{}"}})", state);
		}

		std::string service(const std::string& name, int port, const std::string& aliases = {})
		{
			return fmt::format(
				R"({{"schema":2,"kind":"service","name":"/d/{}","addresses":["127.0.0.1:{}"],"aliases":[{}]}})", name,
				port, aliases);
		}

		std::string upstream(int ordinal, const std::string& in, int port)
		{
			return fmt::format(
				R"({{"schema":2,"kind":"upstream","name":"/d/z/{0}/{1}","service":"/d/{0}","zone":"/d/z",)"
				R"("endpoint":"127.0.0.1:{2}","agent":"127.0.0.1:9","slots":5}})",
				in, ordinal, port);
		}

		record_version version(const std::string& key, std::uint64_t rev, std::optional<std::string> value)
		{
			return {key, revision{rev}, std::move(value)};
		}

		/// Returns the revision in force of each key.
		std::map<std::string, std::uint64_t> in_force(const config_store& store)
		{
			std::map<std::string, std::uint64_t> all;
			for (const auto& [key, entry] : store.records)
			{
				if (entry.in_force)
				{
					all[key] = to_number(*entry.in_force);
				}
			}
			return all;
		}

		using in_force_map = std::map<std::string, std::uint64_t>;

		/// Generates versions with frequent conflicts over names, aliases and endpoints, parse errors and deletions.
		std::vector<record_version> generate_versions()
		{
			std::vector<record_version> versions{version("z", 100, zone())};
			const auto n = *rc::gen::inRange(1, 25);
			std::map<std::string, std::size_t> per_key;
			for (int rev = 1; rev <= n; ++rev)
			{
				const auto key = fmt::format("k{}", *rc::gen::inRange(0, 5));
				if (++per_key[key] > max_versions_per_key)
				{
					continue;
				}
				const auto name = fmt::format("s{}", *rc::gen::inRange(0, 4));
				const auto port = *rc::gen::inRange(1, 5);
				std::optional<std::string> value;
				switch (*rc::gen::inRange(0, 8))
				{
					case 0:
						break;
					case 1:
						value = "{}";
						break;
					case 2:
					case 3:
						value = upstream(*rc::gen::inRange(1, 3), name, port);
						break;
					case 4:
						value = service(name, port, fmt::format("\"/d/t{}\"", *rc::gen::inRange(0, 3)));
						break;
					default:
						value = service(name, port);
						break;
				}
				versions.push_back(version(key, static_cast<std::uint64_t>(rev), value));
			}
			return versions;
		}

		/// Applies versions in random order and in batches of random size.
		void apply_shuffled(config_store& store, std::vector<record_version> versions)
		{
			for (std::size_t i = versions.size(); i > 1; --i)
			{
				std::swap(versions[i - 1], versions[*rc::gen::inRange<std::size_t>(0, i)]);
			}
			for (std::size_t i = 0; i < versions.size();)
			{
				const auto n = std::min(*rc::gen::inRange<std::size_t>(1, 6), versions.size() - i);
				config_store_apply(store, std::span{versions}.subspan(i, n), revision{});
				i += n;
			}
		}

		bool is_equal_state(const config_store& a, const config_store& b)
		{
			const auto is_equal = [](const upstream_config& x, const upstream_config& y)
			{ return x.id == y.id && x.service == y.service && x.zone == y.zone && x.target == y.target; };
			const auto& left = a.current.upstreams;
			const auto& right = b.current.upstreams;
			return in_force(a) == in_force(b) && a.unresolved == b.unresolved && a.current.rev == b.current.rev &&
				   std::equal(left.begin(), left.end(), right.begin(), right.end(), is_equal);
		}
	}

	// Guards against processes that disagree because versions arrived in different orders, or through peers that had
	// only some of them.
	TEST(config_store, reaches_one_deployment_in_any_order_and_through_peers)
	{
		expect_property(0x5eed, 2'000,
						[]
						{
							const auto versions = generate_versions();
							config_store direct;
							config_store_apply(direct, versions, revision{});
							config_store other;
							apply_shuffled(other, versions);
							RC_ASSERT(is_equal_state(direct, other));

							config_store through_peer;
							apply_shuffled(through_peer, config_store_changes_since(other, revision{}));
							RC_ASSERT(is_equal_state(direct, through_peer));

							const auto cut =
								static_cast<std::ptrdiff_t>(*rc::gen::inRange<std::size_t>(0, versions.size() + 1));
							config_store first;
							config_store second;
							apply_shuffled(first, {versions.begin(), versions.begin() + cut});
							apply_shuffled(second, {versions.begin() + cut, versions.end()});
							config_store merged;
							apply_shuffled(merged, config_store_changes_since(second, revision{}));
							apply_shuffled(merged, config_store_changes_since(first, revision{}));
							RC_ASSERT(is_equal_state(direct, merged));
						});
	}

	// Guards against two records in force that claim the same address or name, against a version in force that is older
	// than a deletion of its key, and against the loss of a record that has no conflict.
	TEST(config_store, never_has_a_conflict_in_force)
	{
		expect_property(0xc0ffee, 1'000,
						[]
						{
							const auto versions = generate_versions();
							config_store store;
							apply_shuffled(store, versions);
							std::map<std::string, std::string> owners;
							std::set<std::string> names;
							for (const auto& [key, entry] : store.records)
							{
								const auto* rec = record_in_force(entry);
								if (rec == nullptr)
								{
									continue;
								}
								RC_ASSERT(names.insert(rec->name).second);
								for (const auto& alias : rec->aliases)
								{
									RC_ASSERT(names.insert(alias).second);
								}
								if (std::holds_alternative<zone_config>(rec->config))
								{
									continue;
								}
								const auto* s = std::get_if<service_config>(&rec->config);
								const auto& ep =
									s ? s->addresses.front() : std::get<upstream_config>(rec->config).target;
								const auto& owner = s ? rec->name : rec->service;
								RC_ASSERT(owners.try_emplace(to_string(ep), owner).first->second == owner);
								const auto deletion =
									std::find_if(versions.rbegin(), versions.rend(),
												 [k = key](const auto& it) { return it.key == k && !it.value; });
								const bool is_above = deletion == versions.rend() || deletion->rev < *entry.in_force;
								RC_ASSERT(is_above);
							}
						});
	}

	// Guards against an invalid publication that takes its record out of force, and against a refusal that does not
	// name both conflicting records.
	TEST(config_store, keeps_the_predecessor_of_a_refused_record)
	{
		config_store store;
		const std::vector versions{version("a", 1, service("a", 1)), version("b", 2, service("b", 2)),
								   version("b", 3, service("b", 1)), version("a", 4, "{")};
		const auto changes = config_store_apply(store, versions, revision{4});
		EXPECT_EQ(in_force(store), (in_force_map{{"a", 1}, {"b", 2}}));
		EXPECT_EQ(to_number(config_store_deployment(store).rev), 4U);
		ASSERT_EQ(changes.events.size(), 4U);
		EXPECT_EQ(changes.events[1].why, reason::malformed);
		EXPECT_EQ(changes.events[3].kind, audit_kind::record_refused);
		EXPECT_EQ(changes.events[3].detail, "endpoint 127.0.0.1:1 of /d/b (key b, revision 3) is in use by /d/a "
											"(key a, revision 1)");
		// The address is released, so the refused version comes into force.
		config_store_apply(store, std::vector{version("a", 5, service("a", 7))}, revision{5});
		EXPECT_EQ(in_force(store), (in_force_map{{"a", 5}, {"b", 3}}));
	}

	// Guards against a deadlock of two services that swap addresses.
	TEST(config_store, swaps_addresses_once_both_records_are_published)
	{
		config_store store;
		config_store_apply(store, std::vector{version("a", 1, service("a", 1)), version("b", 2, service("b", 2))},
						   revision{2});
		config_store_apply(store, std::vector{version("a", 3, service("a", 2))}, revision{3});
		EXPECT_EQ(in_force(store), (in_force_map{{"a", 1}, {"b", 2}}));
		config_store_apply(store, std::vector{version("b", 4, service("b", 1))}, revision{4});
		EXPECT_EQ(in_force(store), (in_force_map{{"a", 3}, {"b", 4}}));
	}

	// Guards against two services, upstreams or zones with one id, of which each process would know one or the other
	// by it, in any order of arrival.
	TEST(config_store, refuses_a_record_whose_name_has_the_hash_of_another_one)
	{
		const auto service_of = [](const std::string& name, int port) {
			return fmt::format(R"({{"schema":2,"kind":"service","name":"{}","addresses":["127.0.0.1:{}"]}})", name,
							   port);
		};
		const std::string first = "/cz/npagconkpdflaknj";
		const std::string second = "/cz/dnpabmgmnnnhaaci";
		ASSERT_EQ(hash_name(first), hash_name(second));
		std::vector<record_version> versions{version("a", 1, service_of(first, 1)),
											 version("b", 2, service_of(second, 2)),
											 version("c", 3, service_of("/cz/other", 3))};
		do
		{
			config_store store;
			for (const auto& it : versions)
			{
				config_store_apply(store, std::span{&it, 1}, revision{});
			}
			EXPECT_EQ(in_force(store), (in_force_map{{"a", 1}, {"c", 3}}));
			const auto freed = version("a", 4, std::nullopt);
			config_store_apply(store, std::span{&freed, 1}, revision{});
			EXPECT_EQ(in_force(store), (in_force_map{{"b", 2}, {"c", 3}})) << "the id is free again";
		} while (std::ranges::next_permutation(versions, {}, &record_version::rev).found);
	}

	// Guards against the loss of the accepted version after many refused publications.
	TEST(config_store, keeps_the_accepted_version_behind_any_number_of_refused_ones)
	{
		config_store store;
		std::vector versions{version("a", 1, service("a", 1)), version("b", 2, service("b", 2))};
		for (std::uint64_t rev = 3; rev < 40; ++rev)
		{
			versions.push_back(version("b", rev, service("b", 1)));
		}
		std::reverse(versions.begin(), versions.end());
		for (const auto& it : versions)
		{
			config_store_apply(store, std::span{&it, 1}, it.rev == revision{1} ? revision{39} : revision{});
		}
		EXPECT_EQ(in_force(store), (in_force_map{{"a", 1}, {"b", 2}}));
		EXPECT_EQ(store.records.at("b").versions.size(), max_versions_per_key + 1);
	}

	// Guards against a stale source that restores a deleted record, and against an older version of a present record
	// being ignored as superseded.
	TEST(config_store, ignores_superseded_versions)
	{
		config_store store;
		config_store_apply(store, std::vector{version("a", 2, service("a", 1)), version("a", 3, std::nullopt)},
						   revision{5});
		config_store_prune(store, revision{5});
		EXPECT_TRUE(store.records.empty());
		EXPECT_EQ(config_store_apply(store, std::vector{version("a", 2, service("a", 1))}, revision{4}).ignored, 1U);
		EXPECT_TRUE(in_force(store).empty());

		// A full response of the service lacks the predecessor of a refused version; a peer supplies it later.
		config_store_apply(store, std::vector{version("b", 8, "{}")}, revision{9});
		config_store_apply(store, std::vector{version("b", 6, service("b", 2))}, revision{});
		EXPECT_EQ(in_force(store), (in_force_map{{"b", 6}}));

		// A stale peer supplied a record that the service has deleted and no longer lists.
		config_store_apply(store, std::vector{version("c", 10, service("c", 3))}, revision{});
		config_store_apply_full(store, std::vector{version("b", 8, "{}")}, revision{12});
		EXPECT_EQ(in_force(store), (in_force_map{{"b", 6}}));
		config_store_apply_full(store, {}, revision{11});
		EXPECT_EQ(in_force(store), (in_force_map{{"b", 6}}));
	}

	// Guards against records of the lost history that stay in force when a restored service has given out their
	// revisions again.
	TEST(config_store, takes_the_full_response_of_a_later_era)
	{
		config_store store;
		const std::vector former{version("a", 2, service("a", 1)), version("b", 5, service("b", 2)),
								 version("c", 6, service("c", 3))};
		config_store_apply_full(store, former, revision{6});
		const auto at = [](std::uint64_t number) { return to_number(make_revision(1, number)); };
		const std::vector restored{version("a", at(2), service("a", 1)), version("b", at(4), service("b", 7))};
		config_store_apply_full(store, restored, make_revision(1, 5));
		EXPECT_EQ(in_force(store), (in_force_map{{"a", at(2)}, {"b", at(4)}}));
		EXPECT_EQ(store.complete_through, make_revision(1, 5));
	}

	// Guards against zone changes without an audit entry, and unresolved upstreams that are omitted without a report.
	TEST(config_store, reports_zones_and_unresolved_upstreams)
	{
		config_store store;
		config_store_apply(store, std::vector{version("u", 1, upstream(1, "s", 5)), version("z", 2, zone())},
						   revision{2});
		EXPECT_EQ(store.unresolved, std::vector<std::string>{"/d/z/s/1"});
		config_store_apply(store, std::vector{version("s", 3, service("t", 4, "\"/d/s\""))}, revision{3});
		ASSERT_EQ(config_store_deployment(store).upstreams.size(), 1U);
		EXPECT_EQ(config_store_deployment(store).upstreams[0].service, make_id<service_id>("/d/t"));
		const auto out = config_store_apply(store, std::vector{version("z", 4, zone("out"))}, revision{4});
		ASSERT_EQ(out.events.size(), 2U);
		EXPECT_EQ(out.events[1].kind, audit_kind::zone_taken_out);
		EXPECT_EQ(config_store_deployment(store).zones[0].state, zone_admin_state::out);
	}
}
