// An outage of the configuration service of one hour does not affect traffic, and processes that start during it get
// the configuration from other processes.
control_plane();
deploy("cz-stred");
balancers(4);
run(10);
const flow_count = param("flows", 3000);
flows("permit-desk", {count: flow_count, rate: 1000, interval_ms: 10000});
run(10);
service_down(true);
run(param("minutes", 60) * 30);
restart("balancer-2");
kill("balancer-3");
balancers(1);
run(param("minutes", 60) * 30);
flows("permit-desk", {count: 100, interval_ms: 1000});
run(10);
expect("flows", ">=", (flow_count + 100) * 0.999);
