#include "../harness-3/deployment.hpp"

// A version of the configuration adds a service whose name has the same 32-bit key as that of another service.

namespace
{
	using namespace review;

	const endpoint old_route{198U << 24U | 18U << 16U | 1U, 443};
	const endpoint new_route{198U << 24U | 18U << 16U | 2U, 443};

	std::string route_of(const endpoint& route, const std::string& service)
	{
		return R"({"host":")" + ip_text(route.ip) + R"(","prefix":"/443/","service":")" + service +
			   R"(","type":"idempotent","timeout_ms":2000,"aim_ms":200,"priority":1})";
	}

	std::string configuration(int version, const std::string& old_service, const std::string& new_service)
	{
		const auto describe = [](const std::string& it)
		{ return R"({"name":")" + it + R"(","health_check_path":"/health","cold_start_s":2,"cold_per_s":0})"; };
		const bool both = !new_service.empty();
		return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route_of(old_route, old_service) +
			   (both ? "," + route_of(new_route, new_service) : "") + R"(],"services":[)" + describe(old_service) +
			   (both ? "," + describe(new_service) : "") + R"(],"limits":{"idle_timeout_ms":)" +
			   std::to_string(idle_timeout_ms) + "}}";
	}

	int run(const surroundings& around)
	{
		event_loop loop;
		recorder record{loop, around.record};
		const auto store_ip = around.address(9, 1);
		store metadata{loop, {store_ip, store_port}};
		platform machines{loop, record, around.node, around.folder, store_ip};

		// The lower halves of the names' hashes are equal: key_of_service() gives both services one key.
		const std::string old_service = "codo53b";
		const std::string new_service = around.trouble ? "date97a" : "date97b";
		machines.add("edge-a", "balancer", "stred-a", around.address(1, 1));
		machines.add("edge-b", "balancer", "stred-b", around.address(2, 1));
		std::list<target> targets;
		std::map<endpoint, std::string> allowed{{old_route, old_service}, {new_route, new_service}};
		std::map<std::string, long> openings;
		std::uint32_t number = 0;
		for (const auto& service : {old_service, new_service})
		{
			for (std::uint32_t zone = 1; zone <= 2; ++zone)
			{
				++number;
				const std::string letter = zone == 1 ? "a" : "b";
				auto& beside = machines.add("side-" + letter + "-" + std::to_string(number), "agent", "stred-" + letter,
											around.address(zone, 10 + number), service);
				targets.emplace_back(loop, metadata, record, "i-" + std::to_string(number), beside, 5);
				targets.back().on_opening = [&](const target& at, const flow_key& flow)
				{ ++openings[to_text(flow.route) + " opened at a target of " + at.service]; };
				targets.back().on_run = [&](const target& at, const flow_key& flow, const std::string& id)
				{
					if (allowed.at(flow.route) != at.service)
					{
						record.broken("ROUTE", "request " + id + " to " + to_text(flow.route) + " was run by target " +
												   at.id + " of " + at.service + "; every configuration sent it to " +
												   allowed.at(flow.route));
					}
				};
			}
		}
		metadata.put("op/config", configuration(3, old_service, {}));
		machines.start_all();
		if (!loop.run_until([&] { return machines.all_ready(); }, ms{15'000}))
		{
			record.cannot_run("not all processes became ready");
			return record.finish();
		}

		std::list<requester> requesters;
		requesters.emplace_back(loop, machines, record, "a", "stred-a", around.address(3, 1));
		requesters.emplace_back(loop, machines, record, "b", "stred-b", around.address(3, 2));
		const auto open_flows = [&](const endpoint& route)
		{
			for (int i = 0; i < 10; ++i)
			{
				for (auto& it : requesters)
				{
					it.open(route, ms{300}, false);
				}
				loop.run_for(ms{50});
			}
			loop.run_for(ms{1'000});
		};
		open_flows(old_route);
		record.write("configuration 7 adds a route to the service " + new_service);
		metadata.put("op/config", configuration(7, old_service, new_service));
		loop.run_for(ms{4'000});
		open_flows(old_route);
		open_flows(new_route);
		for (auto& it : requesters)
		{
			it.quiet = true;
		}
		loop.run_for(ms{2'000});
		for (const auto& [what, n] : openings)
		{
			record.write("flows to " + what + ": " + std::to_string(n));
		}
		return record.finish();
	}
}

int main(int argc, char** argv)
{
	try
	{
		return run(read_surroundings(argc, argv));
	}
	catch (const std::exception& error)
	{
		std::cerr << error.what() << '\n';
		return 2;
	}
}
