// Random fault sequences for flows and configuration changes: balancers and agents restart, balancers and upstreams
// join, upstreams drain, zones are taken out of rotation and return, balancers pause, and the network loses, duplicates
// and reorders datagrams, in any order and concurrently.
const histories = param("histories", 1);
deploy("cz-stred");
balancers(4);
const upstreams = processes("agent-permit-desk").map(name => name.replace("agent", "upstream"));
const zones = ["a", "b", "c", "d"].map(it => `zone-stred-${it}`);
let joined = 7;
flows("permit-desk", {count: 60, rate: 30, interval_ms: 400});
flows("map-archive", {count: 20, rate: 30, interval_ms: 400});
run(5);

const changes = [
	() => drain(pick(upstreams)),
	() => undrain(pick(upstreams)),
	() => restart(pick(processes("balancer"))),
	() => { if (processes("balancer").length < 7) balancers(1); },
	() => restart(pick(processes("agent-permit-desk"))),
	() => { const zone = pick(zones); zone_out(zone); run(12 + random() * 4); zone_in(zone); run(12); },
	() => pause(pick(processes("balancer")), random() * 5),
	() => network({loss: random() * 0.05, duplicate: random() * 0.1, reorder: random() * 0.3}),
	() => {
		if (++joined < 11)
			publish(`upstream-permit-desk-${joined}`, {schema: 2, kind: "upstream",
				name: `/cz-stred/stred-b/permit-desk/${joined}`, service: "/cz-stred/permit-desk",
				zone: "/cz-stred/stred-b", endpoint: `127.20.2.${30 + joined}:5683`,
				agent: `127.20.2.${30 + joined}:7300`, slots: 5});
	},
];
for (let i = 0; i < 6; ++i)
{
	pick(changes)();
	run(random() * 5);
}
network({});
run(12);
