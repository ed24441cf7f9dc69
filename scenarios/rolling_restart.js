// Flows survive a rolling restart of all balancers while upstreams drain.
const flow_count = param("flows", 20000);

deploy("cz-stred");
resize("permit-desk", 30000);
balancers(4);
run(12);

flows("permit-desk", {count: flow_count, rate: flow_count / 10, interval_ms: 1000});
run(20);
for (const n of [1, 2, 3, 4])
{
	stop(`balancer-${n}`);
	drain(`upstream-permit-desk-${n}`);
	run(3);
	restart(`balancer-${n}`);
	run(3);
	undrain(`upstream-permit-desk-${n}`);
}
run(20);
expect("flows", ">=", flow_count * 0.999);
