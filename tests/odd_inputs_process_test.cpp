#include "process_deployment.hpp"

namespace nutmegturn::node::testing
{
	namespace
	{
		using namespace std::chrono_literals;

		const std::string route = "198.18.0.1";

		/// Time from the start of all processes until they serve.
		constexpr auto start_time = 4'000ms;

		/// Two zones with a balancer each, and three upstreams of one service.
		class odd_inputs : public process_deployment
		{
		protected:
			void start_deployment()
			{
				configure(3, {{route, "desk"}});
				add_instance("edge-a", "balancer", "a");
				add_instance("edge-b", "balancer", "b");
				add_instance("desk-a1", "agent", "a", "desk");
				add_instance("desk-a2", "agent", "a", "desk");
				add_instance("desk-b", "agent", "b", "desk");
				start_all(route);
			}

			/// Writes an entry of a service beside that of each upstream, with the same address and a later start.
			void write_entries_beside(const std::string& service)
			{
				for (const auto& it : instances)
				{
					if (it.role == "agent")
					{
						store.put("servers/other-" + it.name, entry_of(it, service, 2));
					}
				}
			}

			void remove_entries_beside()
			{
				for (const auto& it : instances)
				{
					store.remove("servers/other-" + it.name);
				}
			}

			/// Opens flows for a while and expects that an upstream gets each of them.
			void expect_all_served(std::string_view when)
			{
				const auto since = runtime::read_clock();
				keep_opening({route}, 2s);
				run_for(500ms);
				const auto opened = flows_after(route, since);
				EXPECT_FALSE(opened.empty()) << when;
				EXPECT_EQ(std::ranges::count_if(opened, [](auto& it) { return it.run_by != "desk"; }), 0)
					<< "of " << opened.size() << " flows, " << when;
			}

			/// Opens flows for a while and returns how many reach an upstream later than the bound of a change.
			[[nodiscard]] std::ptrdiff_t count_run_after_bound()
			{
				const auto since = runtime::read_clock() + config_bound;
				keep_opening({route}, config_bound + 1s);
				run_for(500ms);
				return std::ranges::count_if(flows_after(route, since), [](auto& it) { return !it.run_by.empty(); });
			}
		};

		// Guards against a whole service that is reset because another writer left an entry with an unknown service
		// beside that of each upstream: while they are there, after a restart of all processes, and after their
		// removal.
		TEST_F(odd_inputs, serve_beside_entries_of_unknown_service)
		{
			start_deployment();
			write_entries_beside("old-desk");
			run_for(config_bound);
			expect_all_served("beside the odd entries");
			for (auto& it : instances)
			{
				restart(it);
			}
			run_for(start_time);
			expect_all_served("after the restart");
			remove_entries_beside();
			run_for(config_bound);
			expect_all_served("after the removal");
		}

		// Guards against flows to addresses that were given to another service (rule ROUTE), also if a configuration
		// names that service only later.
		TEST_F(odd_inputs, open_no_flow_at_addresses_of_a_service_named_later)
		{
			start_deployment();
			write_entries_beside("parcel");
			run_for(config_bound);
			expect_all_served("while no configuration names the service");
			configure(5, {{route, "desk"}, {"198.18.0.2", "parcel"}});
			EXPECT_EQ(count_run_after_bound(), 0);
			configure(7, {{route, "desk"}});
			run_for(config_bound);
			expect_all_served("after the configuration removed the service");
		}

		// Guards against the same if the configuration names the service first.
		TEST_F(odd_inputs, open_no_flow_at_addresses_of_a_service_named_before)
		{
			start_deployment();
			write_entries_beside("archive");
			EXPECT_EQ(count_run_after_bound(), 0);
			remove_entries_beside();
			EXPECT_EQ(count_run_after_bound(), 0) << "the former upstreams have ended";
		}

		// Guards against processes that end at each start while keys that the platform does not explain are empty, and
		// against an evacuation that processes without a zone of their own miss.
		TEST_F(odd_inputs, start_and_evacuate_with_empty_settings)
		{
			unexplained_keys_empty = true;
			start_deployment();
			expect_all_served("with empty settings");
			store.put("op/evacuate/a", "{}");
			const auto since = runtime::read_clock() + evacuation_bound;
			keep_opening({route}, evacuation_bound + 1s);
			run_for(500ms);
			const auto opened = flows_after(route, since);
			EXPECT_FALSE(opened.empty());
			EXPECT_EQ(std::ranges::count_if(opened, [](auto& it) { return it.run_in != "b"; }), 0);
			store.remove("op/evacuate/a");
			run_for(evacuation_bound);
			expect_all_served("after the evacuation");
		}
	}
}
