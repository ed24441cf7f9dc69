// Planned stops of balancers and agents, including concurrent ones, interrupt no request, and a stopping upstream
// receives no new flows after 3 s.
control_plane();
deploy("cz-stred");
balancers(4);
run(10);
flows("map-archive", {count: 50, interval_ms: 200, lifetime_s: 40});
requests("map-archive", {rate: 20, method: "MIX", callers: 24, duration_s: 60});
run(10);
for (const name of ["balancer-1", "balancer-2"])
	stop(name);
run(10);
stop("agent-map-archive-1");
run(5);
stop("balancer-3");
stop("agent-map-archive-3");
run(50);
expect("cut_requests", "==", 0);
expect("late", "==", 0);
expect("outcome_unknown", "==", 0);
expect("leaving_last_new_ms", "<=", 3000);
