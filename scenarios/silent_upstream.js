// An upstream receives requests and sends no responses. Callers get a response to each request within the deadline, and
// no non-idempotent request is executed twice.
deploy("cz-stred");
balancers(4);
requests("map-archive", {rate: 40, method: "MIX", callers: 24, duration_s: 60});
run(10);
silence("agent-map-archive-2", true);
run(20);
silence("agent-map-archive-2", false);
run(50);
expect("late", "==", 0);
