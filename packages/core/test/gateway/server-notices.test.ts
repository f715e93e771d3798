import test from 'ava';
import fc from 'fast-check';
import {
	chooseCandidates,
	LeavingServers,
	ServerHolds,
	type ListedServer,
} from '../../src/index.js';
import {aServer} from './a-server.js';
import {playFleet, type FleetPlan} from './hold-fleet.js';

const names = ['a', 'b', 'c'];
const servers = names.map((name) => aServer(name));
const [a, b] = servers;
const leavingMs = 1000;

/** Rules under which no server leaves or is held. */
function openRules() {
	return {leaving: new LeavingServers(), holds: new ServerHolds(), leavingMs};
}

test('a server known to be leaving stays so until it runs anew, whatever the lists say', (t) => {
	const leaving = new LeavingServers();
	t.true(leaving.add(a, 0, 0));
	t.false(leaving.add(a, 500, 500), 'known already');
	leaving.prune([], 1000);
	leaving.prune([a], 300_000);
	leaving.prune([], 800_000);
	t.true(leaving.has(a));
	t.is(leaving.age(a, 800_000), 800_000);
	const restarted = aServer('a', {startedAt: a.startedAt + 1});
	const successor = aServer('d', {address: a.address});
	t.false(leaving.has(restarted));
	t.false(leaving.has(successor));
	leaving.prune([], 900_001);
	t.false(leaving.has(a), 'unlisted for longer than any list is outdated');
});

test('a leaving server gets requests only where no other can, and only for a while', (t) => {
	const rules = openRules();
	rules.leaving.add(a, 0, 0);
	t.deepEqual(chooseCandidates(servers, rules, 10).servers, servers.slice(1));
	t.deepEqual(chooseCandidates([a], rules, leavingMs - 1).servers, [a]);
	t.deepEqual(chooseCandidates([a], rules, leavingMs), {
		servers: [],
		heldMs: undefined,
	});
	rules.leaving.add(b, -Infinity, 10);
	t.deepEqual(chooseCandidates([a, b], rules, 10).servers, [a]);
});

test('a held server gets no requests, and if all are held, the first end is known', (t) => {
	const rules = openRules();
	rules.holds.hold(a, 5000, 0);
	rules.holds.hold(a, 100, 0);
	t.deepEqual(chooseCandidates(servers, rules, 10).servers, servers.slice(1));
	rules.holds.hold(b, 2000, 0);
	t.deepEqual(chooseCandidates([a, b], rules, 500), {
		servers: [],
		heldMs: 1500,
	});
	t.deepEqual(chooseCandidates([a, b], rules, 2000).servers, [b]);
	rules.holds.prune(5000);
	t.is(rules.holds.leftMs(a, 4999), 0);
});

test('a hold ends within a minute, however long it was asked for', (t) => {
	const holds = new ServerHolds();
	holds.hold(a, Number.MAX_VALUE, 0);
	t.true(holds.leftMs(a, 59_000) > 0);
	t.is(holds.leftMs(a, 60_000), 0);
});

test('no candidate is held, or has been leaving for too long; none is left out without a reason', (t) => {
	const time = fc.nat(3000);
	const notice = fc.record({name: fc.nat(2), at: time, forMs: time});
	const history = fc.record({
		leaves: fc.array(notice, {maxLength: 3}),
		holds: fc.array(notice, {maxLength: 3}),
		now: time,
	});
	fc.assert(
		fc.property(history, ({leaves, holds, now}) => {
			const rules = openRules();
			for (const {name, at} of leaves) {
				rules.leaving.add(servers[name], Math.min(at, now), now);
			}

			for (const {name, at, forMs} of holds) {
				rules.holds.hold(servers[name], forMs, Math.min(at, now));
			}

			const {servers: chosen, heldMs} = chooseCandidates(servers, rules, now);
			const mayServe = (server: ListedServer) =>
				rules.holds.leftMs(server, now) === 0 &&
				(rules.leaving.age(server, now) ?? 0) < leavingMs;
			const able = servers.filter((server) => mayServe(server));
			t.true(chosen.every((server) => able.includes(server)));
			t.is(chosen.length > 0, able.length > 0);
			t.true(heldMs === undefined || (heldMs > 0 && chosen.length === 0));
			const staying = able.filter((server) => !rules.leaving.has(server));
			t.true(staying.every((server) => chosen.includes(server)));
		}),
	);
});

/** The busiest service of a large site, at half of what its servers bear. */
const largeService: FleetPlan = {
	daemons: 195,
	servers: 118,
	requestsPerS: 840,
	workMs: 219,
	refusing: 39,
	refuseMs: 5000,
	lengthMs: 6000,
	holds: true,
	provenRetries: true,
};
const smallService: FleetPlan = {
	...largeService,
	daemons: 1,
	servers: 12,
	requestsPerS: 80,
	refusing: 4,
};

/** A server that asked for a pause gets at most this many requests from a daemon until it ends. */
const toleratedRequests = 2;

/** Share of the requests that has to be answered, as two thirds of the servers bear them all. */
const answeredGoal = 0.95;

test('a server that asks for a pause gets no more requests from a busy daemon, and the other servers serve them', (t) => {
	const former = playFleet({...smallService, holds: false}, 7);
	const held = playFleet(smallService, 7);
	t.true(former.mostRepeated > toleratedRequests, `${former.mostRepeated}`);
	t.true(held.mostRepeated <= toleratedRequests, `${held.mostRepeated}`);
	t.true(held.answeredShare > answeredGoal, `${held.answeredShare}`);
});

test('when a third of the servers refuse, the retries of 195 daemons find a server that answers', (t) => {
	const former = playFleet({...largeService, provenRetries: false}, 7);
	const proven = playFleet(largeService, 7);
	t.true(former.answeredShare < answeredGoal, `${former.answeredShare}`);
	t.true(proven.answeredShare > answeredGoal, `${proven.answeredShare}`);
	t.true(proven.mostRepeated <= toleratedRequests, `${proven.mostRepeated}`);
	// Retries at the same few servers must not make callers wait there.
	t.true(proven.tailMs < 4 * largeService.workMs, `${proven.tailMs} ms`);
});
