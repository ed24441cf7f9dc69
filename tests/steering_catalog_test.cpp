#include "nutmegturn/steering/store_follower.hpp"

#include "steering_world.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace nutmegturn::steering::testing
{
	namespace
	{
		class steering_catalog : public ::testing::Test
		{
		protected:
			catalog known = small_catalog();

			[[nodiscard]] bool accepts(const std::string& key, monotonic_time now = start) const
			{
				return accepts_new_flows(known, known.upstreams.at(key), now);
			}
		};

		// Guards against a configuration that reverts to an older version.
		TEST_F(steering_catalog, ignores_older_configuration)
		{
			EXPECT_EQ(put(known, "config", configured(2, {{.service = "archive", .weight = 1}})), record_effect::none);
			EXPECT_EQ(known.version, 3U);
			EXPECT_EQ(known.routes.at(route_address).services.at(0).service, "desk");
		}

		// Guards against a class that is lost between the record and the decisions, against priorities of a service
		// that no route leads to, and against those of an earlier configuration.
		TEST_F(steering_catalog, knows_the_classes_of_routes_and_the_priorities_of_services)
		{
			const auto route = [](std::uint16_t port, const char* service, std::uint8_t priority)
			{
				return route_record{.address = {.ip = route_address.ip, .port = port},
									.services = {{.service = service, .weight = 1}, {.service = "idle", .weight = 0}},
									.traffic = {.kind = request_kind::download, .priority = priority}};
			};
			const std::string desk = "desk";
			const std::string archive = "archive";
			EXPECT_FALSE(has_priorities(known, desk));
			EXPECT_EQ(most_urgent_priority(known, desk), lowest_priority);
			configuration config;
			config.version = 4;
			config.routes = {route(1, "desk", 5), route(2, "desk", 2), route(3, "desk", 9), route(4, "archive", 7),
							 route(5, "archive", 7)};
			put(known, "config", config);
			EXPECT_EQ(traffic_class_of(known, {.ip = route_address.ip, .port = 2}),
					  (traffic_class{.kind = request_kind::download, .priority = 2}));
			EXPECT_EQ(traffic_class_of(known, {.ip = route_address.ip, .port = 99}), traffic_class{});
			EXPECT_TRUE(has_priorities(known, desk));
			EXPECT_EQ(most_urgent_priority(known, desk), 2);
			EXPECT_FALSE(has_priorities(known, archive));
			EXPECT_EQ(most_urgent_priority(known, archive), 7);
			EXPECT_FALSE(has_priorities(known, "idle"));
			EXPECT_EQ(most_urgent_priority(known, "idle"), lowest_priority);

			config.version = 5;
			config.routes = {route(1, "desk", 5), route(2, "archive", 2), route(3, "desk", 5)};
			put(known, "config", config);
			EXPECT_TRUE(has_priorities(known, desk)) << "flows of the route that left remain";
			EXPECT_TRUE(has_priorities(known, archive) == false && most_urgent_priority(known, archive) == 2);
			expire_former(known, start + former_upstream_retention + 1s);
			EXPECT_FALSE(has_priorities(known, desk));
			EXPECT_EQ(most_urgent_priority(known, desk), 5);
		}

		// Guards against a relayed record or a repeated watch that restores an older state.
		TEST_F(steering_catalog, ignores_records_not_newer_than_known_revision)
		{
			const store_record old{.key = "u1",
								   .revision = {.era = 0, .number = 5},
								   .created = {},
								   .value = entry(1, "desk", "a"),
								   .encoded = {}};
			const store_record gone{.key = "u1",
									.revision = {.era = 0, .number = 6},
									.created = {},
									.value = removed_record{},
									.encoded = {}};
			apply_record(known, record_group::upstreams, old, start);
			apply_record(known, record_group::upstreams, gone, start);
			EXPECT_EQ(apply_record(known, record_group::upstreams, old, start), record_effect::none);
			EXPECT_FALSE(known.upstreams.at("u1").listed);
		}

		// Guards against using an entry that another writer corrupted.
		TEST_F(steering_catalog, rejects_new_flows_for_unreadable_entry)
		{
			EXPECT_EQ(put(known, "u1", unreadable_record{.problem = "test"}), record_effect::unreadable);
			EXPECT_FALSE(accepts("u1"));
			EXPECT_TRUE(accepts("u2"));
		}

		// Guards against losing all upstreams when their entries expire while the store is unreachable. A pending watch
		// does not detect the outage, so every removed entry gets the grace period.
		TEST_F(steering_catalog, keeps_expired_entry_for_grace_period_of_two_seconds)
		{
			put(known, "u1", removed_record{}, start);
			EXPECT_TRUE(accepts("u1", start + 1'900ms));
			EXPECT_FALSE(accepts("u1", start + 2'100ms));
			put(known, "u1", entry(1, "desk", "a"), start + 3s);
			EXPECT_TRUE(accepts("u1", start + 3s));
		}

		// Guards against new flows at an upstream that was stopped as planned.
		TEST_F(steering_catalog, grants_no_grace_period_to_draining_upstream)
		{
			auto leaving = entry(1, "desk", "a");
			leaving.readiness = upstream_readiness::draining;
			put(known, "u1", leaving);
			put(known, "u1", removed_record{});
			EXPECT_FALSE(accepts("u1"));
		}

		class steering_catalog_restart : public steering_catalog
		{
		protected:
			/// Registers an upstream at the address of `u1` under another key.
			void register_again(const std::string& key, std::uint64_t created, upstream_entry made,
								monotonic_time now = start)
			{
				const store_record record{.key = key,
										  .revision = {.era = 0, .number = created},
										  .created = {.era = 0, .number = created},
										  .value = std::move(made),
										  .encoded = {}};
				apply_record(known, record_group::upstreams, record, now);
			}
		};

		// Guards against requests at a draining upstream that restarted shortly before: its former entry, still listed
		// as ready, hid that the new one was draining.
		TEST_F(steering_catalog_restart, places_no_flows_by_entry_of_former_run)
		{
			auto leaving = entry(1, "desk", "a");
			leaving.readiness = upstream_readiness::draining;
			register_again("u9", 50, leaving);
			EXPECT_FALSE(accepts("u1"));
			EXPECT_FALSE(accepts("u9"));
			put(known, "u1", removed_record{});
			EXPECT_FALSE(accepts("u1")) << "the former entry has no grace period";
		}

		// Guards against an upstream that stays out of use because another one had its address for a while.
		TEST_F(steering_catalog_restart, follows_upstreams_that_change_their_address)
		{
			register_again("u9", 50, entry(1, "desk", "a"));
			ASSERT_FALSE(accepts("u1"));
			put(known, "u9", entry(9, "archive", "a"));
			EXPECT_TRUE(accepts("u1"));
			EXPECT_EQ(known.by_service.at("archive").size(), 2U);
			EXPECT_EQ(known.by_service.at("desk").size(), 3U);
		}

		// Guards against an upstream that gets no flows because its clock was set back before its restart.
		TEST_F(steering_catalog_restart, prefers_later_registration_to_later_start_time)
		{
			auto former = entry(1, "desk", "a");
			former.started_at_ms = 9'000;
			register_again("u8", 50, former);
			auto present = entry(1, "desk", "a");
			present.started_at_ms = 8'000;
			register_again("u7", 51, present);
			EXPECT_TRUE(accepts("u7"));
			EXPECT_FALSE(accepts("u8"));
		}

		/// Another writer's entry at the address of `u1`, with a service that no configuration names (at first).
		class steering_catalog_unnamed_service : public steering_catalog_restart
		{
		protected:
			/// Applies a configuration that names `desk`, `archive`, and the given services besides.
			void configure(std::uint64_t version, const std::vector<std::string>& services)
			{
				auto config = configured(version, {{.service = "desk", .weight = 1}});
				for (const auto& name : services)
				{
					config.services.push_back({.name = name, .cold_time = 2s, .cold_requests_per_s = 0.0});
				}
				put(known, "config", config);
			}
		};

		// Guards against a service whose upstreams are all taken out of use by entries that name no upstream, also
		// after these were removed.
		TEST_F(steering_catalog_unnamed_service, leaves_the_upstream_at_its_address_in_use)
		{
			register_again("u9", 50, entry(1, "old-desk", "a"));
			EXPECT_TRUE(accepts("u1"));
			EXPECT_FALSE(accepts("u9"));
			put(known, "u9", entry(1, "older-desk", "a"));
			EXPECT_TRUE(accepts("u1")) << "written again";
			put(known, "u9", removed_record{});
			EXPECT_TRUE(accepts("u1")) << "removed";
			finish_listing(known, record_group::upstreams, {"u1", "u2", "u3", "u4"}, {}, start);
			EXPECT_TRUE(accepts("u1"));
		}

		// Guards against flows of the former service at an address that was given to another one (rule ROUTE), while
		// the configuration that names the new service is read after the upstream's entry.
		TEST_F(steering_catalog_unnamed_service, supersedes_once_a_configuration_names_it)
		{
			register_again("u9", 50, entry(1, "parcel", "a"));
			ASSERT_TRUE(accepts("u1"));
			configure(4, {"parcel"});
			EXPECT_FALSE(accepts("u1"));
			EXPECT_TRUE(accepts("u9"));
		}

		// Guards against a result that depends on whether the entry or the configuration is read first.
		TEST_F(steering_catalog_unnamed_service, supersedes_if_the_configuration_came_first)
		{
			configure(4, {"parcel"});
			register_again("u9", 50, entry(1, "parcel", "a"));
			EXPECT_FALSE(accepts("u1"));
			EXPECT_TRUE(accepts("u9"));
			put(known, "u9", removed_record{}, start);
			EXPECT_FALSE(accepts("u1", start + 3s)) << "the former upstream has ended, although the new one left too";
		}

		// Guards against a service that is configured only as the target of a route, which its upstreams would lose.
		TEST_F(steering_catalog_unnamed_service, is_named_by_a_route_without_a_description)
		{
			register_again("u9", 50, entry(1, "parcel", "a"));
			put(known, "config", configured(4, {{.service = "desk", .weight = 1}, {.service = "parcel", .weight = 0}}));
			EXPECT_TRUE(accepts("u9"));
			EXPECT_FALSE(accepts("u1"));
		}

		// Guards against an entry of a removed service that keeps an upstream out of use.
		TEST_F(steering_catalog_unnamed_service, supersedes_no_longer_once_its_service_is_removed)
		{
			configure(4, {"parcel"});
			register_again("u9", 50, entry(1, "parcel", "a"));
			ASSERT_FALSE(accepts("u1"));
			configure(5, {});
			EXPECT_TRUE(accepts("u1"));
			EXPECT_FALSE(accepts("u9"));
			configure(6, {"parcel"});
			EXPECT_FALSE(accepts("u1"));
		}

		// Guards against an upstream whose entry another writer overwrote: its next own entry has a lower sequence
		// number, and its flows are searched for by its service.
		TEST_F(steering_catalog_unnamed_service, changes_nothing_of_the_upstream_whose_key_it_has)
		{
			auto own = entry(1, "desk", "a");
			own.started_at_ms = 5'000;
			own.sequence = 4;
			put(known, "u1", own);
			auto odd = own;
			odd.service = "old-desk";
			odd.sequence = 900;
			EXPECT_EQ(put(known, "u1", odd), record_effect::service_unknown);
			EXPECT_FALSE(accepts("u1"));
			EXPECT_EQ(known.by_service.at("desk").size(), 3U) << "still searched for flows";
			own.sequence = 5;
			put(known, "u1", own);
			EXPECT_TRUE(accepts("u1"));
		}

		// Guards against new flows at a draining upstream whose service the configuration removes and names again: its
		// entry has changed in between.
		TEST_F(steering_catalog_unnamed_service, follows_the_entries_of_a_removed_service)
		{
			configure(4, {"parcel"});
			put(known, "u9", entry(9, "parcel", "a"));
			configure(5, {});
			auto leaving = entry(9, "parcel", "a");
			leaving.readiness = upstream_readiness::draining;
			leaving.started_at_ms = 7'000;
			put(known, "u9", leaving);
			EXPECT_TRUE(known.upstreams.at("u9").listed);
			EXPECT_EQ(known.upstreams.at("u9").status, service_status::removed);
			configure(6, {"parcel"});
			EXPECT_FALSE(accepts("u9"));
			leaving.readiness = upstream_readiness::ready;
			leaving.started_at_ms = 8'000;
			put(known, "u9", leaving);
			EXPECT_TRUE(accepts("u9"));
		}

		// Guards against an upstream that starts under a former ID for a service that is named later, and stays unused.
		TEST_F(steering_catalog_unnamed_service, is_used_under_a_former_key_once_a_configuration_names_it)
		{
			put(known, "u1", entry(9, "parcel", "b"));
			ASSERT_FALSE(accepts("u1"));
			configure(4, {"parcel"});
			EXPECT_TRUE(accepts("u1"));
			EXPECT_EQ(known.upstreams.at("u1").entry.address.ip, instance(9));
			EXPECT_EQ(known.by_service.at("desk").size(), 2U);
		}

		// Guards against an upstream that is put into use by a withheld entry that is no longer in the store.
		TEST_F(steering_catalog_unnamed_service, is_forgotten_with_its_entry)
		{
			const std::vector<std::function<void()>> removals{
				[this] { put(known, "u1", removed_record{}); },
				[this] { put(known, "u1", unreadable_record{.problem = "test"}); },
				[this] {
					finish_listing(known, record_group::upstreams, {"u2", "u3", "u4"}, {}, start);
				}};
			for (const auto& remove : removals)
			{
				known = small_catalog();
				put(known, "u1", entry(9, "parcel", "b"));
				ASSERT_EQ(count_upstreams_of_unknown_services(known), 1U);
				remove();
				EXPECT_EQ(count_upstreams_of_unknown_services(known), 0U);
				configure(4, {"parcel"});
				EXPECT_FALSE(accepts("u1"));
			}
		}

		// Guards against an agent that declines all flows of its upstream because of an entry that it cannot judge
		// before it has read a configuration, and against one that loses its own entry then.
		TEST_F(steering_catalog_unnamed_service, is_judged_by_the_settings_of_an_agent_before_a_configuration_is_known)
		{
			known = {};
			known.own_service = "desk";
			put(known, "u1", entry(1, "desk", "a"));
			register_again("u9", 50, entry(1, "old-desk", "a"));
			EXPECT_TRUE(accepts("u1"));
			put(known, "config", configured(4, {{.service = "desk", .weight = 1}}));
			EXPECT_TRUE(accepts("u1"));
			auto leaving = entry(1, "desk", "a");
			leaving.readiness = upstream_readiness::draining;
			register_again("u8", 60, leaving);
			EXPECT_FALSE(accepts("u1")) << "a later run of its own service";
		}

		// Guards against new flows at a draining upstream by the entry of its former run, while its agent has read no
		// configuration, or one that does not name the upstream's service.
		TEST_F(steering_catalog_unnamed_service, is_none_at_the_agent_of_that_service)
		{
			known = {};
			known.own_service = "desk";
			put(known, "u1", entry(1, "desk", "a"));
			auto present = entry(1, "desk", "a");
			present.readiness = upstream_readiness::draining;
			register_again("u8", 60, present);
			EXPECT_FALSE(accepts("u1")) << "no configuration yet";
			auto config = configured(4, {{.service = "archive", .weight = 1}});
			config.services.erase(config.services.begin());
			put(known, "config", config);
			EXPECT_FALSE(accepts("u1")) << "not named";
			present.readiness = upstream_readiness::ready;
			put(known, "u8", present);
			EXPECT_TRUE(accepts("u8"));
		}

		// Guards against a catalog that depends on the order in which the two groups are first read.
		TEST_F(steering_catalog_unnamed_service, has_the_same_effect_before_and_after_the_first_configuration)
		{
			catalog later;
			for (auto* it : {&known, &later})
			{
				*it = {};
				if (it == &known)
				{
					put(*it, "config", configured(3, {{.service = "desk", .weight = 1}}));
				}
				put(*it, "u1", entry(1, "desk", "a"));
				put(*it, "u9", entry(1, "old-desk", "a"));
				put(*it, "u2", entry(2, "old-desk", "a"));
				put(*it, "u8", entry(2, "desk", "a"));
			}
			put(later, "config", configured(3, {{.service = "desk", .weight = 1}}));
			for (const auto* key : {"u1", "u9", "u2", "u8"})
			{
				EXPECT_EQ(accepts_new_flows(known, known.upstreams.at(key), start),
						  accepts_new_flows(later, later.upstreams.at(key), start))
					<< key;
				EXPECT_EQ(known.upstreams.at(key).status, later.upstreams.at(key).status) << key;
			}
			EXPECT_TRUE(accepts("u1"));
			EXPECT_TRUE(accepts("u8"));
		}

		// Guards against packets that a probe relay loses, since another writer invented its address.
		TEST_F(steering_catalog_unnamed_service, is_no_instance_of_a_zone)
		{
			put(known, "u9", entry(9, "old-desk", "a"));
			EXPECT_EQ(instances_in_zone(known, "a").size(), 3U);
			configure(4, {"old-desk"});
			EXPECT_EQ(instances_in_zone(known, "a").size(), 4U);
		}

		// Guards against searches that miss the holder, as an upstream without an entry still has its flows.
		TEST_F(steering_catalog, keeps_upstream_without_entry_as_possible_holder_for_flow_lifetime)
		{
			put(known, "u1", removed_record{}, start);
			expire_former(known, start + 59s);
			EXPECT_TRUE(known.upstreams.contains("u1"));
			expire_former(known, start + 61s);
			EXPECT_FALSE(known.upstreams.contains("u1"));
			EXPECT_EQ(known.by_service.at("desk").size(), 2U);
		}

		// Guards against keeping upstreams and evacuations that are missing in a full listing.
		TEST_F(steering_catalog, removes_records_missing_in_complete_listing)
		{
			put(known, "out/a", zone_evacuation{.zone = "a"});
			finish_listing(known, record_group::upstreams, {"u2", "u3", "u4"}, {}, start);
			EXPECT_FALSE(known.upstreams.at("u1").listed);
			EXPECT_TRUE(known.evacuations.contains("a"));
			finish_listing(known, record_group::operator_orders, {"config"}, {}, start);
			EXPECT_FALSE(known.evacuations.contains("a"));
		}

		// Guards against retransmissions of one opening packet that go to different services.
		TEST_F(steering_catalog, splits_flows_by_weight_deterministically)
		{
			put(known, "config",
				configured(4, {{.service = "desk", .weight = 9}, {.service = "archive", .weight = 1}}));
			const auto& route = known.routes.at(route_address);
			int archive = 0;
			for (std::uint64_t hash = 0; hash < 10'000; ++hash)
			{
				EXPECT_EQ(choose_service(route, hash), choose_service(route, hash));
				archive += choose_service(route, hash) == "archive" ? 1 : 0;
			}
			EXPECT_NEAR(archive, 1'000, 120);
		}

		/// Catalog of era 1 whose store is restored from an older copy, which starts era 2.
		class steering_catalog_restore : public steering_catalog
		{
		protected:
			monotonic_time now = start;

			record_effect put_at(const std::string& key, store_revision revision, record_value value)
			{
				const auto group = key.starts_with('u') ? record_group::upstreams : record_group::operator_orders;
				const store_record record{
					.key = key, .revision = revision, .created = {}, .value = std::move(value), .encoded = {}};
				return apply_record(known, group, record, now);
			}

			[[nodiscard]] static upstream_entry made(upstream_readiness readiness, std::uint64_t sequence)
			{
				auto it = entry(1, "desk", "a");
				it.readiness = readiness;
				it.sequence = sequence;
				it.started_at_ms = 5'000;
				return it;
			}

			[[nodiscard]] static configuration version(std::uint64_t number)
			{
				return configured(number, {{.service = "desk", .weight = 1}});
			}
		};

		// Guards against a configuration that never comes into force because the lost history had its revision.
		TEST_F(steering_catalog_restore, applies_configuration_at_revision_given_out_again)
		{
			put_at("config", {.era = 1, .number = 16}, version(9));
			EXPECT_EQ(put_at("config", {.era = 2, .number = 16}, version(11)), record_effect::configured);
			EXPECT_EQ(known.version, 11U);
			EXPECT_EQ(known.orders_revision, (store_revision{.era = 2, .number = 16}));
		}

		// Guards against a configuration that reverts with the store, also where another process relays it.
		TEST_F(steering_catalog_restore, keeps_configuration_with_highest_version)
		{
			put_at("config", {.era = 1, .number = 16}, version(9));
			EXPECT_EQ(put_at("config", {.era = 2, .number = 14}, version(6)), record_effect::none);
			EXPECT_EQ(known.version, 9U);
			EXPECT_EQ(put_at("config", {.era = 1, .number = 18}, version(10)), record_effect::configured);
			EXPECT_EQ(known.version, 10U);
		}

		// Guards against new flows at a draining upstream whose entry the restored store lists as ready.
		TEST_F(steering_catalog_restore, keeps_upstream_draining_that_the_copy_lists_as_ready)
		{
			put_at("u1", {.era = 1, .number = 20}, made(upstream_readiness::draining, 10));
			EXPECT_EQ(put_at("u1", {.era = 2, .number = 12}, made(upstream_readiness::ready, 4)), record_effect::none);
			EXPECT_FALSE(accepts("u1", now));
			now += restore_settling_time;
			put_at("u1", {.era = 2, .number = 12}, made(upstream_readiness::ready, 4));
			EXPECT_FALSE(accepts("u1", now)) << "a run that drains does not become ready again";
			EXPECT_EQ(put_at("u1", {.era = 2, .number = 19}, made(upstream_readiness::draining, 11)),
					  record_effect::upstream_changed);
		}

		// Guards against new flows at a draining upstream whose earlier entry reached the store late.
		TEST_F(steering_catalog_restore, ignores_entry_with_lower_sequence_number_of_the_same_run)
		{
			put_at("u1", {.era = 1, .number = 20}, made(upstream_readiness::draining, 10));
			EXPECT_EQ(put_at("u1", {.era = 1, .number = 21}, made(upstream_readiness::ready, 9)), record_effect::none);
			EXPECT_FALSE(accepts("u1", now));
			auto next_run = made(upstream_readiness::ready, 1);
			next_run.started_at_ms = 6'000;
			EXPECT_EQ(put_at("u1", {.era = 1, .number = 22}, next_run), record_effect::upstream_changed);
			EXPECT_TRUE(accepts("u1", now)) << "a later run counts anew";
		}

		// Guards against an upstream that has left and is used again, and against one that lives and is never used.
		TEST_F(steering_catalog_restore, holds_back_entry_of_upstream_that_left)
		{
			put_at("u1", {.era = 1, .number = 20}, made(upstream_readiness::ready, 4));
			put_at("u1", {.era = 1, .number = 21}, removed_record{});
			now += 5s;
			EXPECT_EQ(put_at("u1", {.era = 2, .number = 12}, made(upstream_readiness::ready, 4)), record_effect::none);
			EXPECT_FALSE(known.upstreams.at("u1").listed);
			EXPECT_TRUE(era_of(known, record_group::upstreams).held.contains("u1"));
			now += restore_settling_time;
			put_at("u1", {.era = 2, .number = 12}, made(upstream_readiness::ready, 4));
			EXPECT_TRUE(accepts("u1", now)) << "the store still lists it";
		}

		// Guards against an upstream without new flows that registered after the copy was made and writes again.
		TEST_F(steering_catalog_restore, applies_entry_that_is_written_again)
		{
			put_at("u1", {.era = 1, .number = 20}, made(upstream_readiness::ready, 4));
			finish_listing(known, record_group::upstreams, {"u2", "u3", "u4"}, {.era = 2, .number = 15}, now);
			EXPECT_EQ(put_at("u1", {.era = 2, .number = 16}, made(upstream_readiness::ready, 4)),
					  record_effect::upstream_changed);
			EXPECT_TRUE(known.upstreams.at("u1").listed);
		}

		// Guards against flows in an evacuated zone whose evacuation the restored store lacks.
		TEST_F(steering_catalog_restore, keeps_evacuation_until_it_can_be_written_again)
		{
			put_at("out/a", {.era = 1, .number = 20}, zone_evacuation{.zone = "a"});
			const std::set<std::string> listed{"config"};
			finish_listing(known, record_group::operator_orders, listed, {.era = 2, .number = 15}, now);
			EXPECT_TRUE(known.evacuations.contains("a"));
			now += restore_settling_time;
			finish_listing(known, record_group::operator_orders, listed, {.era = 2, .number = 18}, now);
			EXPECT_FALSE(known.evacuations.contains("a")) << "the operator has not published it again";
		}

		// Guards against a zone that is evacuated again by a record of the copy.
		TEST_F(steering_catalog_restore, holds_back_evacuation_that_has_ended)
		{
			put_at("out/a", {.era = 1, .number = 20}, zone_evacuation{.zone = "a"});
			put_at("out/a", {.era = 1, .number = 25}, removed_record{});
			EXPECT_EQ(put_at("out/a", {.era = 2, .number = 20}, zone_evacuation{.zone = "a"}), record_effect::none);
			EXPECT_FALSE(known.evacuations.contains("a"));
			EXPECT_EQ(put_at("out/a", {.era = 2, .number = 24}, zone_evacuation{.zone = "a"}),
					  record_effect::zone_evacuated)
				<< "another revision is another evacuation";
		}

		// Guards against flows at a draining upstream that restarted shortly before the store was restored: the copy
		// has only the entry of its former run, and gives it a later revision.
		TEST_F(steering_catalog_restore, keeps_order_of_registrations)
		{
			const auto put_created =
				[this](const std::string& key, store_revision revision, store_revision created, upstream_entry value)
			{
				apply_record(known, record_group::upstreams,
							 {.key = key, .revision = revision, .created = created, .value = value, .encoded = {}},
							 now);
			};
			auto present = made(upstream_readiness::draining, 2);
			present.started_at_ms = 9'000;
			put_created("u8", {.era = 1, .number = 12}, {.era = 1, .number = 12}, made(upstream_readiness::ready, 1));
			put_created("u9", {.era = 1, .number = 61}, {.era = 1, .number = 60}, present);
			ASSERT_FALSE(accepts("u8", now));
			put_created("u8", {.era = 2, .number = 12}, {.era = 2, .number = 12}, made(upstream_readiness::ready, 1));
			EXPECT_FALSE(accepts("u8", now));
			put_created("u9", {.era = 2, .number = 17}, {.era = 2, .number = 17}, present);
			EXPECT_FALSE(accepts("u8", now));
		}

		// Guards against an entry that another writer corrupted before the copy was made.
		TEST_F(steering_catalog_restore, holds_back_unreadable_entry)
		{
			put_at("u1", {.era = 1, .number = 20}, made(upstream_readiness::ready, 4));
			EXPECT_EQ(put_at("u1", {.era = 2, .number = 12}, unreadable_record{.problem = "test"}),
					  record_effect::none);
			EXPECT_TRUE(accepts("u1", now));
			EXPECT_EQ(put_at("u1", {.era = 2, .number = 17}, removed_record{}), record_effect::upstream_removed)
				<< "a removal is never older than the copy";
		}

		class steering_store_follower : public ::testing::Test
		{
		protected:
			store_follower it;
			static constexpr watch_changes one_change{.changed = 1, .known = 1};
		};

		// Guards against changes that are lost between the pages of a listing.
		TEST_F(steering_store_follower, watches_from_revision_of_first_page)
		{
			EXPECT_FALSE(record_listing_page(it, {.era = 0, .number = 10}, "k5", true, start));
			EXPECT_TRUE(record_listing_page(it, {.era = 0, .number = 14}, "k9", false, start));
			EXPECT_EQ(it.next, store_follower::step::watch);
			EXPECT_EQ(it.revision.number, 10U);
		}

		// Guards against missed changes after the store dropped the history.
		TEST_F(steering_store_follower, lists_again_when_history_is_gone)
		{
			record_listing_page(it, {.era = 0, .number = 10}, "", false, start);
			restart_listing(it, start);
			EXPECT_EQ(it.next, store_follower::step::list);
		}

		// Guards against a configuration that others know only of the lost history: each call was dropped after 1.2 s,
		// so that new configurations were read late.
		TEST_F(steering_store_follower, is_not_overdue_by_revision_of_former_era)
		{
			record_listing_page(it, {.era = 2, .number = 15}, "", false, start);
			EXPECT_FALSE(is_answer_overdue(it, {.era = 1, .number = 16}, start));
			EXPECT_FALSE(is_answer_overdue(it, {.era = 1, .number = 16}, start + 2 * call_timeout));
			EXPECT_FALSE(is_answer_overdue(it, {.era = 3, .number = 1}, start));
			EXPECT_TRUE(is_answer_overdue(it, {.era = 3, .number = 1}, start + 2 * call_timeout));
		}

		// Guards against flooding a store that is down with calls.
		TEST_F(steering_store_follower, backs_off_after_each_failure_up_to_about_a_second)
		{
			record_failure(it, 0, start);
			EXPECT_EQ(it.next_call_at, start + 200ms);
			for (int i = 0; i < 10; ++i)
			{
				record_failure(it, 99, start);
			}
			EXPECT_EQ(it.next_call_at, start + 1'099ms);
		}

		// Guards against a fleet whose balancers all call the store twice a second, since among hundreds of upstreams
		// one changes at any moment.
		TEST_F(steering_store_follower, watches_less_often_while_minor_changes_follow)
		{
			it.coalescing_delay = balancer_coalescing_delay;
			it.minor_change_delay = balancer_minor_change_delay;
			constexpr watch_changes minor{.changed = 8, .known = 136};
			constexpr watch_changes major{.changed = 9, .known = 136};
			record_listing_page(it, {.era = 0, .number = 10}, "", false, start);
			record_watch_answer(it, {.era = 0, .number = 18}, minor, start);
			EXPECT_EQ(it.next_call_at, start + balancer_coalescing_delay) << "the first of a burst";
			record_watch_answer(it, {.era = 0, .number = 26}, minor, start + 1s);
			EXPECT_EQ(it.next_call_at, start + 1s + balancer_minor_change_delay);
			record_watch_answer(it, {.era = 0, .number = 35}, major, start + 3s);
			EXPECT_EQ(it.next_call_at, start + 3s + balancer_coalescing_delay);
			record_watch_answer(it, {.era = 0, .number = 35}, {.changed = 0, .known = 136}, start + 4s);
			EXPECT_EQ(it.next_call_at, start + 4s) << "no change";
			record_watch_answer(it, {.era = 0, .number = 36}, minor, start + 4s + watch_wait);
			EXPECT_EQ(it.next_call_at, start + 4s + watch_wait + balancer_coalescing_delay) << "after a pause";
		}

		// Guards against placing flows by old entries at a small site, where each change concerns much of the load.
		TEST_F(steering_store_follower, watches_soon_after_each_change_of_few_upstreams)
		{
			it.coalescing_delay = balancer_coalescing_delay;
			it.minor_change_delay = balancer_minor_change_delay;
			record_listing_page(it, {.era = 0, .number = 10}, "", false, start);
			for (int i = 0; i < 4; ++i)
			{
				const auto now = start + i * balancer_coalescing_delay;
				record_watch_answer(it, {.era = 0, .number = 11}, {.changed = 1, .known = 11}, now);
				EXPECT_EQ(it.next_call_at, now + balancer_coalescing_delay);
			}
		}

		// Guards against a configuration that comes into force half a minute late at a process whose watch the store
		// dropped without an answer, while it answers others.
		TEST_F(steering_store_follower, gives_up_call_when_others_know_newer_revision)
		{
			record_listing_page(it, {.era = 0, .number = 10}, "", false, start);
			auto now = start + 5s;
			EXPECT_FALSE(is_answer_overdue(it, {.era = 0, .number = 10}, now));
			EXPECT_FALSE(is_answer_overdue(it, {.era = 0, .number = 12}, now)) << "the answer may be on its way";
			EXPECT_FALSE(is_answer_overdue(it, {.era = 0, .number = 12}, now + call_timeout));
			EXPECT_TRUE(is_answer_overdue(it, {.era = 0, .number = 12}, now + call_timeout + 1ms));
			record_watch_answer(it, {.era = 0, .number = 12}, one_change, now + 2s);
			EXPECT_FALSE(is_answer_overdue(it, {.era = 0, .number = 13}, now + 2s))
				<< "the time of the former revision is over";
		}

		// Guards against repeated calls while a process pauses between its calls, or cannot reach the store anyway.
		TEST_F(steering_store_follower, gives_up_no_call_in_pause_or_outage)
		{
			it.coalescing_delay = 1s;
			record_listing_page(it, {.era = 0, .number = 10}, "", false, start);
			record_watch_answer(it, {.era = 0, .number = 11}, one_change, start);
			EXPECT_FALSE(is_answer_overdue(it, {.era = 0, .number = 12}, start));
			EXPECT_FALSE(is_answer_overdue(it, {.era = 0, .number = 12}, start + call_timeout + 1ms))
				<< "the next call began after a second";
			record_failure(it, 0, start + 2s);
			EXPECT_FALSE(is_answer_overdue(it, {.era = 0, .number = 12}, start + 10s));
		}

		// Guards against a process that places flows by an old configuration because it started when the restored store
		// did not have the newest one again.
		TEST_F(steering_store_follower, lacks_configuration_that_others_have_known_for_longer_than_a_call)
		{
			newer_version newer;
			EXPECT_FALSE(is_version_overdue(newer, 6, 9, start));
			EXPECT_FALSE(is_version_overdue(newer, 6, 6, start + call_timeout));
			EXPECT_TRUE(is_version_overdue(newer, 6, 9, start + call_timeout + 1ms));
			EXPECT_FALSE(is_version_overdue(newer, 7, 9, start + 2 * call_timeout)) << "the store delivers versions";
			EXPECT_FALSE(is_version_overdue(newer, 0, 9, start + 9s)) << "the first listing is on its way";
		}

		// Guards against relying on the store's contents while expired entries are still being renewed.
		TEST_F(steering_store_follower, is_settling_until_entries_had_time_to_return)
		{
			record_listing_page(it, {.era = 0, .number = 10}, "", false, start);
			EXPECT_FALSE(is_settling(it, start));
			record_failure(it, 0, start);
			EXPECT_TRUE(is_settling(it, start));
			EXPECT_FALSE(is_current(it, start, start));
			record_watch_answer(it, {.era = 0, .number = 11}, one_change, start + 5s);
			EXPECT_TRUE(is_settling(it, start + 7s));
			EXPECT_FALSE(is_settling(it, start + 8s));
			EXPECT_TRUE(is_current(it, start + 8s, start + 8s));
		}
	}
}
