// Upstreams that start cold or become cold without notice are not overloaded. With --set bearable=N, at least 0.9 of N
// requests are answered, where N is the count answered with --set oracle=1: there, admission knows the capacity.
upstream_model({service_time_ms: 50, warm_up_ms: 60000, cold_share: 0.2});
oracle(param("oracle", 0) == 1);
deploy("cz-stred");
balancers(4);
const agents = processes("agent-map-archive");
// Exceeds the capacity of all upstreams when warm, which is 4 * 5 slots / 0.05 s.
requests("map-archive", {rate: 500, callers: 64});
for (const agent of agents)
	cold(agent);
const seconds = param("seconds", 120);
for (let s = 0; s < seconds; ++s)
{
	run(1);
	if (s == seconds / 2)
		cold(agents[0]);
	sample("capacity", capacity(agents[0]));
	sample("in progress", in_progress(agents[0]));
}
run(12);
expect("overloads", "==", 0);
const bearable = param("bearable", 0);
if (bearable > 0)
	check("answered", count("answered"), ">=", 0.9 * bearable);
