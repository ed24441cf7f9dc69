// An accepted configuration is in force in every process within 8 s: if all processes can read the configuration
// service, if only one can, with packet loss, and after an outage of the service. Control traffic stays bounded.
control_plane();
deploy("cz-stred");
balancers(4);
run(10);
measure_control();
flows("permit-desk", {count: 200, interval_ms: 500});
run(30);
expect("control_bytes_per_s_per_balancer", "<=", 4096);

drain("upstream-permit-desk-1");
run(12);
const all = processes("");
cut_off_from_service(all.filter(name => name != "agent-permit-desk-3"));
run(5);
undrain("upstream-permit-desk-1");
run(12);
network({loss: 0.1, duplicate: 0.05, reorder: 0.2});
drain("upstream-permit-desk-2");
run(12);
network({});
cut_off_from_service([]);
service_down(true);
run(param("outage_s", 120));
service_down(false);
undrain("upstream-permit-desk-2");
run(12);
expect("config_age_max_ms", "<=", 8000);
expect("config_reads_per_s", "<=", 60);
expect("control_bytes_per_s_per_balancer", "<=", 4096);
