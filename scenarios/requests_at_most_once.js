// Non-idempotent requests are executed at most once, requests answered with "not run" are never executed, and each
// caller gets its own complete response, while datagrams are duplicated, lost, delayed and reordered and agents pause,
// restart and are partitioned.
control_plane();
deploy("cz-stred");
balancers(4);
run(10);
requests("map-archive", {rate: 40, method: "MIX", callers: 24});
run(5);
network({loss: 0.05, duplicate: 0.1, reorder: 0.2});
const agents = processes("agent-map-archive");
for (let round = 0; round < param("rounds", 6); ++round)
{
	pause(pick(agents), 1 + random() * 30);
	run(random() * 10);
	restart(pick(agents));
	run(random() * 10);
	const side = agents.filter(name => random() < 0.5);
	partition(side, agents.filter(name => !side.includes(name)));
	run(random() * 15);
	heal();
	run(random() * 10);
}
network({});
run(40);
check("answered", count("answered"), ">=", count("requests") / 4);
