#include "nutmegturn/balancer.hpp"
#include "nutmegturn/impl/fixed_log2.hpp"
#include "nutmegturn/random.hpp"
#include "nutmegturn/routing_view.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <string_view>
#include <vector>

namespace nutmegturn
{
	namespace
	{
		std::vector<candidate> make_candidates(std::size_t n)
		{
			std::vector<candidate> list;
			for (std::size_t i = 0; i < n; ++i)
			{
				list.push_back(make_candidate(upstream_id{i * 17 + 1}, {}, {}, candidate_state::eligible,
											  static_cast<std::uint32_t>(1000 + 500 * (i % 3))));
			}
			return list;
		}

		struct a_view : testing::Test
		{
			deployment records;
			member_view members;

			a_view()
			{
				records.rev = revision{1};
				records.zones.resize(2);
				records.zones[0].id = zone_id{1};
				records.zones[1].id = zone_id{2};
				add_service(1, "192.0.2.1:80");
				for (std::uint16_t i = 0; i < 4; ++i)
				{
					add_upstream(i + 1U, 1, 1U + i / 2U);
					auto& it = members.members.emplace_back();
					it.id = member_id{i + 1U};
					it.role = member_role::agent;
					it.data = records.upstreams.back().agent;
				}
			}

			void add_service(std::uint64_t id, std::string_view address)
			{
				auto& it = records.services.emplace_back();
				it.id = service_id{id};
				it.addresses = {*parse_endpoint(address)};
			}

			void add_upstream(std::uint64_t id, std::uint64_t service, std::uint64_t zone)
			{
				auto& it = records.upstreams.emplace_back();
				it.id = upstream_id{id};
				it.service = service_id{service};
				it.zone = zone_id{zone};
				it.agent = {*parse_address("127.0.0.1"), static_cast<std::uint16_t>(900 + id)};
			}

			std::map<std::uint64_t, std::size_t> buckets_by_primary()
			{
				const auto view = build_routing_view(records, members, nullptr);
				std::map<std::uint64_t, std::size_t> counts;
				for (std::uint64_t hash = 0; hash < view.services[0]->primaries.size(); ++hash)
				{
					const auto* primary = view.services[0]->primary_of(hash);
					++counts[primary == nullptr ? 0 : to_number(primary->id)];
				}
				return counts;
			}
		};
	}

	// Guards against a logarithm that skews the shares of upstreams or differs between processes.
	TEST(a_fixed_point_logarithm, agrees_with_the_real_one)
	{
		random_source random{1};
		for (int i = 0; i < 100'000; ++i)
		{
			const auto bits = random() >> random.below(60);
			const auto expected = 64 - std::log2(static_cast<long double>(bits | 1U));
			const auto got = static_cast<long double>(detail::negative_log2(bits | 1U)) / 0x1p32L;
			ASSERT_NEAR(static_cast<double>(got), static_cast<double>(expected), 3e-7) << bits;
		}
	}

	// Guards against shares of buckets that ignore the weight.
	TEST(primaries, are_shared_out_by_weight)
	{
		const auto list = make_candidates(3);
		std::vector<double> share(3);
		for (const auto i : build_primaries(list, 65'536))
		{
			share[i] += 1.0 / 65'536;
		}
		EXPECT_NEAR(share[0], 1000.0 / 4500, 0.01);
		EXPECT_NEAR(share[1], 1500.0 / 4500, 0.01);
		EXPECT_NEAR(share[2], 2000.0 / 4500, 0.01);
	}

	// Guards against an incremental update that differs from a full build, which would give processes with different
	// histories different tables.
	TEST(primaries, are_the_same_after_any_history_of_updates)
	{
		for (std::uint64_t seed = 0; seed < 200; ++seed)
		{
			random_source random{seed};
			auto list = make_candidates(1 + random.below(14));
			auto table = build_primaries(list, 1024);
			for (int step = 0; step < 8; ++step)
			{
				auto next = list;
				const auto i = random.below(next.size());
				switch (random.below(4))
				{
					case 0:
						next[i].state = static_cast<candidate_state>(random.below(6));
						break;
					case 1:
						next[i] = make_candidate(next[i].id, {}, {}, next[i].state,
												 static_cast<std::uint32_t>(500 + random.below(2000)));
						break;
					case 2:
						next.erase(next.begin() + static_cast<std::ptrdiff_t>(i));
						break;
					default:
						next.insert(next.begin() + static_cast<std::ptrdiff_t>(i),
									make_candidate(upstream_id{to_number(next[i].id) - 1 - random.below(8)}, {}, {},
												   candidate_state::eligible, 1500));
				}
				std::ranges::sort(next, {}, &candidate::id);
				next.erase(
					std::unique(next.begin(), next.end(), [](const auto& a, const auto& b) { return a.id == b.id; }),
					next.end());
				if (next.empty())
				{
					break;
				}
				table = update_primaries(next, list, table);
				ASSERT_EQ(table, build_primaries(next, 1024)) << "seed " << seed << " step " << step;
				list = next;
			}
		}
	}

	// Guards against joins and departures that move buckets between upstreams that did not change.
	TEST(primaries, move_only_to_or_from_the_upstream_that_changed)
	{
		const auto with = make_candidates(7);
		const std::vector<candidate> without(with.begin(), with.end() - 1);
		const auto before = build_primaries(without, 1024);
		const auto after = build_primaries(with, 1024);
		for (std::size_t bucket = 0; bucket < 1024; ++bucket)
		{
			if (after[bucket] != before[bucket])
			{
				EXPECT_EQ(after[bucket], 6);
				std::array<candidate_index, search_length> chain{};
				EXPECT_EQ(candidate_chain(with, bucket, chain), 7U);
				EXPECT_EQ(chain[1], before[bucket]) << "the earlier primary is next in the chain";
			}
		}
	}

	// Guards against new flows at upstreams that are out, draining, leaving, suspect or dead while others serve.
	TEST_F(a_view, gives_buckets_only_to_eligible_upstreams)
	{
		EXPECT_EQ(buckets_by_primary().size(), 4U);
		members.members[0].liveness = member_liveness::suspect;
		members.members[1].upstreams = {{upstream_id{2}, upstream_run_state::draining}};
		records.upstreams[2].state = upstream_admin_state::draining;
		EXPECT_EQ(buckets_by_primary(), (std::map<std::uint64_t, std::size_t>{{4, 1024}}));
		records.upstreams[3].state = upstream_admin_state::out;
		EXPECT_EQ(buckets_by_primary(), (std::map<std::uint64_t, std::size_t>{{1, 1024}})) << "suspect before draining";
		records.zones[0].state = zone_admin_state::out;
		EXPECT_EQ(buckets_by_primary(), (std::map<std::uint64_t, std::size_t>{{3, 1024}}))
			<< "draining as a last resort";
		records.zones[1].state = zone_admin_state::out;
		EXPECT_EQ(buckets_by_primary(), (std::map<std::uint64_t, std::size_t>{{0, 1024}}));
	}

	// Guards against a partitioned process that sees all agents as dead and drops all packets.
	TEST_F(a_view, keeps_routing_when_every_agent_seems_dead)
	{
		for (auto& it : members.members)
		{
			it.liveness = member_liveness::dead;
		}
		EXPECT_EQ(buckets_by_primary().size(), 4U);
		records.zones[0].state = zone_admin_state::out;
		EXPECT_EQ(buckets_by_primary().size(), 2U) << "a zone that is out stays out";
	}

	// Guards against rebuilding services that did not change, and against routes to another service's address.
	TEST_F(a_view, shares_unchanged_services_and_routes_by_address)
	{
		add_service(2, "192.0.2.2:80");
		const auto first = build_routing_view(records, members, nullptr);
		add_upstream(9, 2, 1);
		const auto second = build_routing_view(records, members, &first);
		EXPECT_EQ(first.services[0], second.services[0]);
		EXPECT_NE(first.services[1], second.services[1]);

		const flow_key key{*parse_endpoint("198.51.100.1:1000"), *parse_endpoint("192.0.2.2:80")};
		EXPECT_EQ(std::get<reason>(route_packet(first, key)), reason::no_upstream);
		EXPECT_EQ(std::get<route>(route_packet(second, key)).upstream, upstream_id{9});
		const flow_key stranger{key.client, *parse_endpoint("192.0.2.3:80")};
		EXPECT_EQ(std::get<reason>(route_packet(second, stranger)), reason::unknown_service);

		// More keys than one group holds, so that outcomes swapped within or between groups are detected.
		std::vector<flow_key> keys;
		for (std::uint16_t port = 1; port <= 40; ++port)
		{
			keys.push_back({{key.client.ip, port}, port % 3 == 0 ? stranger.service : key.service});
		}
		std::vector<route_outcome> outcomes(keys.size(), reason::none);
		route_packets(second, keys, outcomes);
		for (std::size_t i = 0; i < keys.size(); ++i)
		{
			EXPECT_EQ(outcomes[i], route_packet(second, keys[i])) << i;
		}
	}
}
