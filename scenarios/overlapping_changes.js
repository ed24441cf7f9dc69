// Overlapping changes: an upstream drains and another joins while one balancer fails and another joins, before the
// earlier change is in force everywhere.
const flow_count = param("flows", 20000);

deploy("cz-stred");
resize("permit-desk", 30000);
balancers(4);
run(12);

flows("permit-desk", {count: flow_count, rate: flow_count / 10, interval_ms: 1000});
run(20);
for (const round of [1, 2, 3])
{
	const other = `upstream-permit-desk-${random_below(7) + 1}`;
	drain(other);
	kill("balancer-1");
	run(random() * 2);
	publish(`upstream-permit-desk-${7 + round}`, {schema: 2, kind: "upstream",
		name: `/cz-stred/stred-b/permit-desk/${7 + round}`, service: "/cz-stred/permit-desk", zone: "/cz-stred/stred-b",
		endpoint: `127.20.2.${30 + round}:5683`, agent: `127.20.2.${30 + round}:7300`, slots: 5, connections: 30000});
	balancers(1);
	run(random() * 4);
	undrain(other);
	restart("balancer-1");
	run(random() * 4);
}
run(20);
expect("flows", ">=", flow_count * 0.999);
