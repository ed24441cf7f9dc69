#include "steering_world.hpp"

#include <gtest/gtest.h>
#include <xxhash.h>

#include <algorithm>
#include <array>

namespace nutmegturn::steering::testing
{
	namespace
	{
		class steering_identity : public ::testing::Test
		{
		protected:
			static constexpr ipv4 balancer{0x0a010901};
			/// Names with one 64-bit hash. They were searched for; 2^33 hashes take seconds.
			/// @{
			const std::string first = "okkaadmophokoklc";
			const std::string second = "jhmemcfiblbkjjhn";
			/// @}

			catalog known;
			monotonic_time now = start + 10s;

			void SetUp() override
			{
				ASSERT_NE(first, second);
				ASSERT_EQ(XXH3_64bits(first.data(), first.size()), XXH3_64bits(second.data(), second.size()));
			}

			/// Returns the agent of upstream 1, with a service by its settings.
			[[nodiscard]] agent_state agent_of(const std::string& service)
			{
				agent_state state;
				state.gate.instance = instance(1);
				state.gate.zone = "a";
				state.gate.service = service;
				state.watched_since = now;
				known.own_service = service;
				return state;
			}

			[[nodiscard]] agent_decision open(agent_state& state, std::string_view service)
			{
				auto msg = about_flow(message_kind::open);
				msg.service = service;
				return handle_balancer_packet(state, known, msg, opening(), balancer, now);
			}
		};

		// Guards against a balancer that places flows at another service whose name has the same hash, whichever of the
		// two is named first.
		TEST_F(steering_identity, balancer_places_flows_at_the_named_service_only)
		{
			for (const bool entries_first : {false, true})
			{
				known = {};
				balancer_state state;
				const auto put_entries = [&]
				{
					put(known, "u1", entry(1, first, "a"));
					put(known, "u2", entry(2, second, "a"));
				};
				if (entries_first)
				{
					put_entries();
				}
				put(known, "config", configured(3, {{.service = second, .weight = 1}}));
				if (!entries_first)
				{
					put_entries();
				}
				const auto decision = steer_packet(state, known, opening(), now, true);
				EXPECT_EQ(decision.agents, std::vector{instance(2)});
				EXPECT_EQ(decision.service, second);
				EXPECT_EQ(known.upstreams.at("u1").status, service_status::unknown);
				EXPECT_EQ(known.upstreams.at("u2").status, service_status::configured);
			}
		}

		// Guards against a removed service that counts as configured since another with the same hash is.
		TEST_F(steering_identity, removed_service_is_not_the_one_that_is_named)
		{
			put(known, "config", configured(3, {{.service = first, .weight = 1}}));
			put(known, "u1", entry(1, first, "a"));
			put(known, "config", configured(5, {{.service = second, .weight = 1}}));
			EXPECT_EQ(known.upstreams.at("u1").status, service_status::removed);
			EXPECT_FALSE(accepts_new_flows(known, known.upstreams.at("u1"), now));
			EXPECT_TRUE(known.routes.at(route_address).former_services.contains(first)) << "its flows are searched for";
		}

		// Guards against another writer's entry that replaces that of an upstream, since its service has the same hash.
		TEST_F(steering_identity, entry_of_another_service_does_not_follow_that_of_an_upstream)
		{
			put(known, "config", configured(3, {{.service = first, .weight = 1}}));
			put(known, "u1", entry(1, first, "a"));
			EXPECT_EQ(put(known, "u1", entry(1, second, "a")), record_effect::service_unknown);
			EXPECT_EQ(known.upstreams.at("u1").entry.service, first);
			EXPECT_FALSE(known.by_service.contains(second));
		}

		// Guards against an agent that takes flows of another service whose name has the hash of its own, also without
		// a configuration and after a probe of the flow.
		TEST_F(steering_identity, agent_declines_flows_of_another_service)
		{
			for (const bool configuration_known : {false, true})
			{
				known = {};
				auto state = agent_of(first);
				put(known, "u1", entry(1, first, "a"));
				if (configuration_known)
				{
					put(known, "config", configured(3, {{.service = first, .weight = 1}}));
				}
				EXPECT_EQ(open(state, second).replies.at(0).why, admission_status::other_service);
				static_cast<void>(
					handle_balancer_packet(state, known, about_flow(message_kind::probe), data(), balancer, now));
				ASSERT_TRUE(state.flows.contains(flow));
				const auto decision = open(state, second);
				EXPECT_FALSE(decision.to_upstream);
				EXPECT_EQ(decision.replies.at(0).why, admission_status::other_service);
				auto own = agent_of(first);
				EXPECT_TRUE(open(own, first).to_upstream);
			}
		}

		// Guards against an opening packet that passes the check since no service is named.
		TEST_F(steering_identity, agent_takes_no_opening_packet_without_a_service)
		{
			auto state = agent_of(first);
			put(known, "u1", entry(1, first, "a"));
			EXPECT_FALSE(open(state, "").to_upstream);
			for (const auto kind : {message_kind::flow_packet, message_kind::probe})
			{
				EXPECT_FALSE(
					handle_balancer_packet(state, known, about_flow(kind), opening(), balancer, now).to_upstream);
			}
			EXPECT_TRUE(state.flows.empty());
			auto nameless = agent_of("");
			EXPECT_FALSE(open(nameless, "").to_upstream);
		}

		// Guards against a copy of an opening packet that is lost since a configuration moved its route meanwhile, and
		// against a later flow of the same port that reaches the former service.
		TEST_F(steering_identity, agent_takes_copies_for_another_service_until_the_flow_is_open)
		{
			auto state = agent_of(first);
			put(known, "u1", entry(1, first, "a"));
			put(known, "config", configured(3, {{.service = first, .weight = 1}}));
			EXPECT_TRUE(open(state, first).to_upstream);
			EXPECT_TRUE(open(state, second).to_upstream) << "a copy";
			static_cast<void>(handle_upstream_packet(state, reply(0, true), now));
			EXPECT_TRUE(open(state, second).to_upstream) << "a copy, since the answer was lost";
			static_cast<void>(handle_upstream_packet(state, reply(50), now));
			EXPECT_FALSE(open(state, second).to_upstream) << "a later flow";
		}

		// Guards against zones with one hash that share the load reports, the fair share and the flows of one.
		TEST_F(steering_identity, agent_tells_zones_apart)
		{
			auto state = agent_of("desk");
			state.gate.zone = first;
			message subscription;
			subscription.just_started = true;
			subscription.zone = first;
			static_cast<void>(handle_subscription(state, subscription, balancer, now));
			subscription.zone = second;
			static_cast<void>(handle_subscription(state, subscription, ipv4{0x0a020901}, now));
			EXPECT_NE(state.balancers.at(balancer).zone, state.balancers.at(ipv4{0x0a020901}).zone);
			load_report report;
			EXPECT_EQ(load_report_recipients(state, report, 2, now).size(), 2U) << "the first report";
			now += 100ms;
			report.requests_in_progress = 2;
			EXPECT_EQ(load_report_recipients(state, report, 2, now), std::vector{balancer}) << "of the own zone";
		}

		// Guards against a table that grows with the names that balancers send.
		TEST_F(steering_identity, numbers_a_bounded_number_of_zones)
		{
			zone_numbers zones;
			EXPECT_EQ(number_of_zone(zones, ""), 0U);
			for (std::size_t i = 1; i <= max_numbered_zones; ++i)
			{
				EXPECT_EQ(number_of_zone(zones, std::to_string(i)), i);
			}
			EXPECT_EQ(number_of_zone(zones, "one more"), 0U);
			EXPECT_EQ(number_of_zone(zones, "7"), 7U);
			EXPECT_EQ(zones.numbers.size(), max_numbered_zones);
		}

		// Guards against names that end or change on their way, in any byte and at the largest size.
		TEST_F(steering_identity, names_arrive_in_full)
		{
			const std::string longest(max_sent_name_size, 'n');
			const std::array<std::string, 6> names{first, second, "", std::string{"a\0b", 3}, longest, longest + "n"};
			for (const auto& name : names)
			{
				auto msg = about_flow(message_kind::open);
				msg.service = name;
				std::vector<std::byte> buf(encoded_size_bound(msg));
				buf.resize(encode_message(msg, buf));
				const auto got = decode_message(buf);
				ASSERT_TRUE(got);
				EXPECT_EQ(got->service, name.size() > max_sent_name_size ? "" : name) << "one that is too long is none";
				EXPECT_LE(encoded_size_bound(msg), max_message_header_size + max_sent_name_size);
			}
		}

		// Guards against flows that reach another service since no message can name their own, and against harm to
		// others that share the route.
		TEST_F(steering_identity, balancer_rejects_flows_of_a_service_with_too_long_a_name)
		{
			const std::string longest(max_sent_name_size, 'n');
			put(known, "u1", entry(1, longest + "1", "a"));
			put(known, "u2", entry(2, longest, "a"));
			put(known, "config",
				configured(3, {{.service = longest, .weight = 1}, {.service = longest + "1", .weight = 1}}));
			const auto too_long = longest + "1";
			ASSERT_EQ(services_with_long_names(known), std::vector<std::string_view>{too_long});
			balancer_state state;
			int rejected = 0;
			int placed = 0;
			for (std::uint16_t port = 1; port <= 100; ++port)
			{
				auto packet = opening();
				packet.source.port = port;
				const auto decision = steer_packet(state, known, packet, now, true);
				const bool is_rejection = decision.what == steering_decision::action::reset;
				EXPECT_EQ(decision.why, is_rejection ? reason::name_too_long : reason::none);
				EXPECT_EQ(decision.agents, is_rejection ? std::vector<ipv4>{} : std::vector{instance(2)});
				++(is_rejection ? rejected : placed);
			}
			EXPECT_GT(rejected, 0);
			EXPECT_GT(placed, 0);
		}
	}
}
