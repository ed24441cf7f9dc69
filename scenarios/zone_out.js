// A zone taken out of rotation receives no packets from 3 s after the change is accepted, even if most processes cannot
// reach the configuration service and some are paused, and it receives flows again after its return.
control_plane();
deploy("cz-stred");
balancers(4);
run(10);
flows("permit-desk", {count: 700, rate: 350, interval_ms: 200});
run(10);
for (const zone of ["zone-stred-a", "zone-stred-c"])
{
	pause("balancer-2", 30);
	pause("agent-permit-desk-5", 20);
	run(1);
	cut_off_from_service(processes("").filter(name => random() < 0.7 && name != "balancer-1"));
	run(1);
	zone_out(zone);
	run(20);
	cut_off_from_service([]);
	run(20);
	expect("zone_out_last_packet_ms", "<=", 3000);
	zone_in(zone);
	run(15);
}
flows("permit-desk", {count: 700, rate: 100, interval_ms: 200});
run(20);
expect("zone_out_last_packet_ms", "<=", 3000);
