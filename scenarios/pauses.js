// A process that resumes after a pause of 30 s forwards nothing with its outdated view, and flows are not moved.
control_plane();
deploy("cz-stred");
balancers(4);
run(10);
flows("permit-desk", {count: 500, interval_ms: 200});
run(5);
for (const name of ["balancer-1", "agent-map-archive-2", "balancer-3"])
{
	pause(name, 30);
	run(5);
	drain("upstream-permit-desk-4");
	run(15);
	undrain("upstream-permit-desk-4");
	run(30);
}
expect("config_age_max_ms", "<=", 8000);
