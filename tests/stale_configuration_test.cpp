#include "nutmegturn/steering/record_evidence.hpp"

#include "process_deployment.hpp"

namespace nutmegturn::node::testing
{
	namespace
	{
		using namespace std::chrono_literals;

		/// Longer than a process waits between two watches.
		constexpr auto watch_gap = 1'300ms;

		/// Time of opening flows after a change: past all bounds, with some margin.
		constexpr auto observed_time = 8'000ms;

		const std::string kept = "198.18.0.1";
		const std::string dropped = "198.18.0.2";
		const std::string moved = "198.18.0.3";
		const std::string added = "198.18.0.4";

		/// Two zones with a balancer each, and two services with an upstream in each zone.
		class stale_configuration : public process_deployment
		{
		protected:
			void SetUp() override
			{
				process_deployment::SetUp();
				configure(3, {{kept, "desk"}, {dropped, "desk"}, {moved, "desk"}});
				add_instance("edge-a", "balancer", "a");
				add_instance("edge-b", "balancer", "b");
				add_instance("desk-a", "agent", "a", "desk");
				add_instance("desk-b", "agent", "b", "desk");
				add_instance("archive-a", "agent", "a", "archive");
				add_instance("archive-b", "agent", "b", "archive");
				start_all(kept);
				// Every process starts its watches again.
				configure(5, {{kept, "desk"}, {dropped, "desk"}, {moved, "desk"}});
				for (auto& it : instances)
				{
					if (it.role == "agent")
					{
						publish(it);
					}
				}
				run_for(watch_gap);
			}

			void change_routes()
			{
				configure(9, {{kept, "desk"}, {moved, "archive"}, {added, "desk"}});
				changed = runtime::read_clock();
			}

			/// Expects what the changed configuration allows of all flows that were opened after the bound.
			void expect_changed_routes()
			{
				const auto since = changed + config_bound;
				EXPECT_TRUE(
					std::ranges::all_of(flows_after(kept, since), [](auto& it) { return it.run_by == "desk"; }));
				const auto count = [this, since](const std::string& route, auto&& is_wrong)
				{ return std::ranges::count_if(flows_after(route, since), is_wrong); };
				EXPECT_EQ(count(dropped, [](auto& it) { return !it.run_by.empty(); }), 0) << "run by a dropped route";
				EXPECT_EQ(count(moved, [](auto& it) { return it.run_by == "desk"; }), 0) << "run by the former service";
				EXPECT_EQ(count(added, [](auto& it) { return it.reset; }), 0) << "refused at an added route";
				EXPECT_EQ(count(added, [](auto& it) { return it.run_by.empty(); }), 0)
					<< "not served at an added route";
			}

			/// Expects that no balancer goes by the former configuration after it has gone by the changed one.
			void expect_no_step_back()
			{
				std::map<std::string, monotonic_time> effective;
				for (const auto& [port, it] : flows)
				{
					const bool newer = it.run_by == "archive" || (it.route == added && !it.run_by.empty());
					if (newer && !effective.contains(it.balancer))
					{
						effective[it.balancer] = it.run_time;
					}
				}
				for (const auto& [port, it] : flows)
				{
					const auto found = effective.find(it.balancer);
					const bool former = (it.route == moved && it.run_by == "desk") || (it.route == added && it.reset) ||
										(it.route == dropped && !it.run_by.empty());
					EXPECT_FALSE(former && found != effective.end() && it.sent > found->second + downgrade_slack)
						<< it.balancer << " goes back to an older version at route " << it.route;
				}
			}

			monotonic_time changed;
		};

		// Guards against processes that all go by an older configuration for up to 11 s: the connections of their
		// watches went silent, and a pending watch was taken for "no change".
		TEST_F(stale_configuration, ends_in_time_when_all_connections_have_gone_silent)
		{
			store.silence_open_connections();
			run_for(stability_window);
			change_routes();
			keep_opening({kept, dropped, moved, added}, observed_time);
			expect_changed_routes();
			expect_no_step_back();
		}

		// Guards against a balancer and the agents of its zone that learn too late from others what their own watches
		// did not tell them.
		TEST_F(stale_configuration, ends_in_time_when_the_connections_of_one_zone_have_gone_silent)
		{
			for (const auto* name : {"edge-a", "desk-a", "archive-a"})
			{
				store.silence_open_connections(name);
			}
			run_for(stability_window);
			change_routes();
			keep_opening({kept, dropped, moved, added}, observed_time);
			expect_changed_routes();
			expect_no_step_back();
		}

		// Guards against one balancer that is behind alone and resets flows at added routes.
		TEST_F(stale_configuration, ends_in_time_when_the_connections_of_one_process_have_gone_silent)
		{
			store.silence_open_connections("edge-a");
			run_for(stability_window);
			change_routes();
			keep_opening({kept, dropped, moved, added}, observed_time);
			expect_changed_routes();
			expect_no_step_back();
		}

		// Guards against a check that finds faults where nothing was disrupted.
		TEST_F(stale_configuration, ends_in_time_when_nothing_was_disrupted)
		{
			run_for(stability_window);
			change_routes();
			keep_opening({kept, dropped, moved, added}, observed_time);
			expect_changed_routes();
			expect_no_step_back();
		}

		// Guards against flows to an evacuated zone for up to 11 s after all connections went silent.
		TEST_F(stale_configuration, delays_no_evacuation_when_all_connections_have_gone_silent)
		{
			store.silence_open_connections();
			run_for(stability_window);
			store.put("op/evacuate/a", "{}");
			const auto acknowledged = runtime::read_clock();
			keep_opening({kept}, observed_time);
			EXPECT_EQ(std::ranges::count_if(
						  flows, [&](auto& it)
						  { return it.second.run_in == "a" && it.second.run_time > acknowledged + evacuation_bound; }),
					  0);
		}

		// Guards against flows to a draining upstream for up to 31 s after all connections went silent: neither the
		// balancers nor its agent learned of the change.
		TEST_F(stale_configuration, delays_no_draining_when_all_connections_have_gone_silent)
		{
			store.silence_open_connections();
			run_for(stability_window);
			auto& draining = *std::ranges::find(instances, "desk-a", &instance::name);
			draining.entry_state = "draining";
			publish(draining);
			const auto acknowledged = runtime::read_clock();
			keep_opening({kept}, observed_time);
			EXPECT_EQ(std::ranges::count_if(
						  flows, [&](auto& it)
						  { return it.second.run_at == "desk-a" && it.second.run_time > acknowledged + drain_bound; }),
					  0);
		}

		/// Deployments of several sizes in calm times.
		class store_calls_in_calm_times : public process_deployment, public ::testing::WithParamInterface<int>
		{
		};

		// Guards against calls to the store that grow with the number of processes: they tell each other what the store
		// confirmed.
		TEST_P(store_calls_in_calm_times, do_not_grow_with_the_number_of_processes)
		{
			configure(3, {{kept, "desk"}});
			for (int i = 0; i < GetParam(); ++i)
			{
				add_instance(fmt::format("edge-{}", i), "balancer", "a");
				add_instance(fmt::format("desk-{}", i), "agent", "a", "desk");
			}
			start_all(kept);
			run_for(5s);
			store.calls = 0;
			store.confirmations = 0;
			store.bytes = 0;
			run_for(10s);
			fmt::print("{} processes, 10 s: {} calls, {} of them confirmations, {} bytes of answers\n", 2 * GetParam(),
					   store.calls, store.confirmations, store.bytes);
			constexpr auto groups = 2;
			const auto by_one_process = groups * (10s / steering::balancer_confirmation_ages.shortest);
			EXPECT_LE(store.confirmations, 2 * by_one_process);
		}

		INSTANTIATE_TEST_SUITE_P(of_balancers_and_agents, store_calls_in_calm_times, ::testing::Values(2, 6, 12));
	}
}
