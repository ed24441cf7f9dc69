// Flows that have two holders after a partition remain with the one that the caller used last, on the caller's side of
// the partition.
control_plane();
deploy("cz-stred");
balancers(4);
run(10);
flows("permit-desk", {count: 500, interval_ms: 200});
run(5);
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
