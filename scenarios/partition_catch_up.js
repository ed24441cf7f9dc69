// The side of a partition that cannot reach the configuration service is up to date within 8 s after the partition
// ends.
control_plane();
deploy("cz-stred");
balancers(4);
run(10);
const cut = ["balancer-1", "agent-permit-desk-2", "agent-permit-desk-6", "agent-map-archive-2"];
const rest = processes("").filter(name => !cut.includes(name));
partition(cut, rest);
cut_off_from_service(cut);
run(30);
drain("upstream-permit-desk-4");
run(30);
heal();
cut_off_from_service([]);
run(20);
undrain("upstream-permit-desk-4");
run(10);
expect("config_age_max_ms", "<=", 8000);
