// Flows survive the addition, the drain, and the removal after a drain of upstreams.
const flow_count = param("flows", 100000);

deploy("cz-stred");
resize("permit-desk", 30000);
balancers(4);
run(12);

flows("permit-desk", {count: flow_count, rate: flow_count / 20, interval_ms: 5000});
run(30);
publish("upstream-permit-desk-8", {schema: 3, kind: "upstream", name: "/cz-stred/stred-a/permit-desk/8",
	service: "/cz-stred/permit-desk", zone: "/cz-stred/stred-a", endpoint: "127.20.1.18:5683",
	agent: "127.20.1.18:7300", slots: 5, connections: 30000});
run(20);
drain("upstream-permit-desk-1");
run(20);
drain("upstream-permit-desk-2");
undrain("upstream-permit-desk-1");
run(20);
remove("upstream-permit-desk-2"); // its agent keeps its flows and remains reachable through redirects
run(30);
expect("flows", ">=", flow_count * 0.999);
