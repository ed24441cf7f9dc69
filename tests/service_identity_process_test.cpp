#include "nutmegturn/steering/catalog.hpp"

#include "process_deployment.hpp"

namespace nutmegturn::node::testing
{
	namespace
	{
		using namespace std::chrono_literals;

		/// Two services and their routes. The 64-bit XXH3 hashes of the names are equal.
		const std::string first_service = "okkaadmophokoklc";
		const std::string second_service = "jhmemcfiblbkjjhn";
		const std::string first_route = "198.18.0.1";
		const std::string second_route = "198.18.0.2";

		/// Two zones, each with a balancer and an upstream of each service.
		class service_identity : public process_deployment
		{
		protected:
			void start_deployment(const std::map<std::string, std::string>& routes)
			{
				configure(3, routes);
				for (const std::string zone : {"a", "b"})
				{
					add_instance("edge-" + zone, "balancer", zone);
					add_instance("first-" + zone, "agent", zone, first_service);
					add_instance("second-" + zone, "agent", zone, second_service);
				}
				start_all(routes.begin()->first);
			}

			/// Opens flows to a route for a while and expects that upstreams of one service get all of them.
			void expect_served_by(const std::string& service, const std::string& route, std::string_view when)
			{
				const auto since = runtime::read_clock();
				keep_opening({route}, 2s);
				run_for(500ms);
				const auto opened = flows_after(route, since);
				EXPECT_FALSE(opened.empty()) << when;
				EXPECT_EQ(std::ranges::count_if(opened, [&](const auto& it) { return it.run_by != service; }), 0)
					<< "of " << opened.size() << " flows to " << route << ' ' << when;
			}
		};

		// Guards against flows at another service whose name has the same hash (rule ROUTE): while both have a route,
		// and after one has lost it, got it back, or taken over that of the other.
		TEST_F(service_identity, keeps_flows_apart_whose_services_have_names_with_one_hash)
		{
			described_services = {first_service, second_service};
			start_deployment({{first_route, first_service}});
			configure(5, {{first_route, first_service}, {second_route, second_service}});
			run_for(config_bound);
			expect_served_by(first_service, first_route, "with both routes");
			expect_served_by(second_service, second_route, "with both routes");
			configure(7, {{second_route, second_service}});
			run_for(config_bound);
			expect_served_by(second_service, second_route, "after the other service was removed");
			configure(9, {{first_route, second_service}, {second_route, first_service}});
			run_for(config_bound);
			expect_served_by(second_service, first_route, "after the routes were exchanged");
			expect_served_by(first_service, second_route, "after the routes were exchanged");
		}

		// Guards against flows at the upstreams of a service that no configuration names, whose name has the hash of
		// one that is named.
		TEST_F(service_identity, opens_no_flow_at_an_unnamed_service_with_the_hash_of_a_named_one)
		{
			described_services = {second_service};
			start_deployment({{second_route, second_service}});
			expect_served_by(second_service, second_route, "with one route");
		}

		// Guards against a process that takes part of a long name for the whole, and against a service with a name that
		// no message holds which harms others.
		TEST_F(service_identity, rejects_flows_of_a_service_whose_name_is_too_long_and_serves_the_others)
		{
			const std::string common(steering::max_sent_name_size, 'n');
			described_services = {first_service, common + "1"};
			configure(3, {{first_route, first_service}, {second_route, common + "1"}});
			add_instance("edge", "balancer", "a");
			add_instance("first", "agent", "a", first_service);
			add_instance("long-1", "agent", "a", common + "1");
			add_instance("long-2", "agent", "a", common + "2");
			start_all(first_route);
			expect_served_by(first_service, first_route, "beside the long names");
			const auto since = runtime::read_clock();
			keep_opening({second_route}, 1s);
			run_for(500ms);
			const auto opened = flows_after(second_route, since);
			EXPECT_FALSE(opened.empty());
			EXPECT_TRUE(std::ranges::all_of(opened, [](const auto& it) { return it.reset && it.run_by.empty(); }));
		}
	}
}
