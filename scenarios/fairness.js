// Four caller groups with unequal demand that together exceeds the capacity have equal rejection ratios and response
// times.
upstream_model({service_time_ms: 50, cold_share: 1});
deploy("cz-stred");
balancers(4);
requests("map-archive", {rate: 900, callers: 64, groups: [3, 4, 5, 6], duration_s: 60});
run(72);
check("Jain's index of rejections", fairness("rejections"), ">=", 0.99);
check("Jain's index of waiting", fairness("waiting"), ">=", 0.99);
