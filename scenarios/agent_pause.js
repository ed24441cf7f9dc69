// Flows that moved to other agents while their agent was paused stay there when it resumes.
control_plane();
deploy("cz-stred");
balancers(4);
run(10);
flows("permit-desk", {count: 300, interval_ms: 200});
run(5);
pause("agent-permit-desk-5", 30);
run(60);
