// Open flows stay balanced over upstreams without moving established flows: the imbalance is at most 1.05 in steady
// state and at most 1.10 from 60 s after an upstream returns.
deploy("cz-stred");
view_delays({records_ms: 500, deaths_ms: 3000}); // the skew with the control plane is lower
balancers(4);
change("service-permit-desk", {idle_timeout_s: 20});
run(5);
flows("permit-desk", {count: 60000, rate: 200, interval_ms: 2000, lifetime_s: 20});
run(60);
for (let s = 0; s < 60; ++s)
{
	run(1);
	sample("steady", imbalance("permit-desk"));
}
expect("imbalance_flows", "<=", 1.05);
kill("agent-permit-desk-2");
run(30);
restart("agent-permit-desk-2");
run(60);
for (let s = 0; s < 30; ++s)
{
	run(1);
	sample("after return", imbalance("permit-desk"));
}
expect("imbalance_flows", "<=", 1.10);
