// A restarted process never reverts to an older configuration, even if the configuration service returns old records.
control_plane();
deploy("cz-stred");
balancers(4);
run(10);
flows("permit-desk", {count: 500, interval_ms: 500});
run(5);
const before = newest_revision();
zone_out("zone-stred-b");
run(10);
service_stale_at(before); // the service returns records from before the zone was taken out
run(2);
for (const name of ["balancer-1", "agent-permit-desk-1", "balancer-4", "agent-map-archive-2"])
{
	restart(name);
	run(5);
}
run(20);
expect("config_reversions", "==", 0);
expect("zone_out_last_packet_ms", "<=", 3000);
