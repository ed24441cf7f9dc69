// Flows survive balancers that fail, join and restart without state while the balancers use different revisions.
const flow_count = param("flows", 100000);

deploy("cz-stred");
resize("permit-desk", 20000);
balancers(4);
run(12);

flows("permit-desk", {count: flow_count, rate: flow_count / 20, interval_ms: 5000});
run(30);
drain("upstream-permit-desk-3"); // processes apply this at different times, up to 8 s apart
run(1);
kill("balancer-1");
run(2);
balancers(1);
run(2);
restart("balancer-2");
run(20);
undrain("upstream-permit-desk-3");
restart("balancer-1");
run(30);
expect("flows", ">=", flow_count * 0.999);
