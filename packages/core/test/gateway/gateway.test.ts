import test from 'ava';
import fc from 'fast-check';
import {
	drawService,
	maxKey,
	applyMoves,
	planKeyMoves,
	rangeOf,
	RouteTable,
	SeededRandom,
	ServerLoads,
	type ListedServer,
	type RangeTable,
	type RouteRule,
} from '../../src/index.js';
import {aServer} from './a-server.js';

function server(backendServer: string, startedAt = 1): ListedServer {
	return aServer(backendServer, {startedAt});
}

function rule(pathPrefix: string, parts = [{service: 's', weight: 1}]) {
	const routeRule: RouteRule = {
		route: pathPrefix,
		host: 'shop.example',
		pathPrefix,
		repeatability: 'safe',
		timeoutMs: 1000,
		targetMs: 100,
		priority: 0,
		maxAttempts: 2,
		parts,
	};
	return routeRule;
}

const empty: RangeTable = {service: 's', nextFence: 1, ranges: []};

function planned(table: RangeTable, servers: readonly ListedServer[]) {
	let next = table;
	for (const move of planKeyMoves(table, servers)) {
		next = applyMoves(next, [move]);
	}

	return next;
}

function held({ranges}: RangeTable): ReadonlyMap<string, number> {
	const sums = new Map<string, number>();
	for (const {owner, from, to} of ranges) {
		sums.set(owner, (sums.get(owner) ?? 0) + to - from + 1);
	}

	return sums;
}

test('the route with the longest path prefix is found, whatever the case and port of the host', (t) => {
	const table = new RouteTable({
		version: 1,
		rules: [rule('/a/'), rule('/a/b/'), rule('/c/')],
		services: [],
		limits: {headerLen: 1, bodyLen: 1, headerMs: 1, idleMs: 1},
	});
	t.is(table.rule('Shop.Example:80', '/a/b/c')?.pathPrefix, '/a/b/');
	t.is(table.rule('shop.example', '/a/x?y=/a/b/')?.pathPrefix, '/a/');
	t.is(table.rule('shop.example', '/a'), undefined);
	t.is(table.rule('other.example', '/a/'), undefined);
});

test('the parts of a route get requests in proportion to their weights', (t) => {
	const parts = [
		{service: 's', weight: 90},
		{service: 'none', weight: 0},
		{service: 't', weight: 10},
	];
	const random = new SeededRandom(7);
	const draws = Array.from({length: 5000}, () =>
		drawService(rule('/', parts), random),
	);
	const share = draws.filter((service) => service === 't').length / 5000;
	t.true(share > 0.08 && share < 0.12, `${share}`);
	t.false(draws.includes('none'));
});

test('all keys have an owner as servers start and stop, evenly at first, and fences only rise', (t) => {
	const step = fc.record({
		server: fc.nat(7),
		kind: fc.constantFrom('start', 'stop', 'restart'),
	});
	fc.assert(
		fc.property(fc.array(step, {maxLength: 12}), (steps) => {
			let servers = [server('s0'), server('s1'), server('s2')];
			let table = planned(empty, servers);
			const counts = [...held(table).values()];
			t.true(Math.max(...counts) - Math.min(...counts) <= servers.length);
			for (const [index, {kind, server: number}] of steps.entries()) {
				const name = `s${number}`;
				const rest = servers.filter((other) => other.backendServer !== name);
				const isThere = rest.length < servers.length;
				if (kind === 'stop' && rest.length > 0) {
					servers = rest;
				} else if (isThere === (kind === 'restart')) {
					servers = [...rest, server(name, index + 2)];
				}

				const before = table;
				table = planned(table, servers);
				let nextKey = 0;
				for (const range of table.ranges) {
					t.is(range.from, nextKey);
					nextKey = range.to + 1;
					const owner = servers.find(
						({backendServer, startedAt}) =>
							backendServer === range.owner &&
							startedAt === range.ownerStartedAt,
					);
					t.truthy(owner);
					const previous = rangeOf(before, range.from)!;
					t.true(
						previous.owner === range.owner &&
							previous.ownerStartedAt === range.ownerStartedAt
							? range.fence >= previous.fence
							: range.fence > previous.fence,
					);
				}

				t.is(nextKey, maxKey + 1);
			}
		}),
		{numRuns: 60},
	);
});

test('when a server is lost, only its keys move', (t) => {
	const servers = ['s0', 's1', 's2', 's3'].map((name) => server(name));
	const table = planned(empty, servers);
	const survivors = servers.slice(1);
	for (const {holder} of planKeyMoves(table, survivors)) {
		t.is(holder?.owner, 's0');
	}
});

test('a new server gets an even share of the keys', (t) => {
	const servers = ['s0', 's1', 's2', 's3'].map((name) => server(name));
	const table = planned(empty, servers.slice(1));
	const after = planned(table, servers);
	const share = held(after).get('s0')! / (maxKey + 1);
	t.true(share > 0.2 && share <= 0.25, `${share}`);
	t.deepEqual(planKeyMoves(after, servers), []);
});

test('with no server left the table does not change, since a server may return', (t) => {
	const table = planned(empty, [server('s0')]);
	t.deepEqual(planKeyMoves(table, []), []);
});

test('the least busy server is chosen, and none once all are full', (t) => {
	const loads = new ServerLoads(new SeededRandom(1));
	const servers = [server('a'), server('b')];
	loads.sent('a');
	t.is(loads.choose(servers, 0)?.backendServer, 'b');
	for (let count = 0; count < 6; count++) {
		loads.sent('a');
		loads.sent('b');
	}

	t.is(loads.choose(servers, 0), undefined);
	loads.ended('b', 'answered', 1);
	t.is(loads.choose(servers, 1)?.backendServer, 'b');
});

test('requests of other daemons that a server reports count for a while', (t) => {
	const loads = new ServerLoads(new SeededRandom(1));
	const servers = [server('a'), server('b')];
	loads.sent('a');
	loads.reported('a', {running: 3, waiting: 2, slots: 3}, 0);
	loads.ended('a', 'answered', 0);
	loads.sent('b');
	t.is(loads.choose(servers, 10)?.backendServer, 'b');
	t.is(loads.choose(servers, 2000)?.backendServer, 'a');
});

test('a server that lost a request is a last resort for a while', (t) => {
	const loads = new ServerLoads(new SeededRandom(1));
	const servers = [server('a'), server('b')];
	loads.sent('a');
	loads.ended('a', 'lost', 0);
	loads.sent('b');
	t.is(loads.choose(servers, 100)?.backendServer, 'b');
	t.is(loads.choose([servers[0]], 100)?.backendServer, 'a');
	t.is(loads.choose(servers, 3000)?.backendServer, 'a');
});

test('a slow server gets a request only once a fast one has several, until its run time is forgotten', (t) => {
	const loads = new ServerLoads(new SeededRandom(1));
	const servers = [server('fast'), server('usual'), server('slow')];
	const noQueue = {running: 1, waiting: 0, slots: 3};
	for (let count = 0; count < 30; count++) {
		loads.ran('fast', 100, noQueue, 0);
		loads.ran('usual', 200, noQueue, 0);
		// The answer takes twice the run time, since as many requests wait as run.
		loads.ran('slow', 800, {running: 3, waiting: 3, slots: 3}, 0);
	}

	t.deepEqual(
		[...loads.runTimes(servers)],
		[
			['fast', 100],
			['usual', 200],
			['slow', 400],
		],
	);
	const chosen: string[] = [];
	for (let count = 0; count < 9; count++) {
		const {backendServer} = loads.choose(servers, 0)!;
		loads.sent(backendServer);
		chosen.push(backendServer);
	}

	const count = (name: string) =>
		chosen.filter((other) => other === name).length;
	t.deepEqual([count('fast'), count('usual'), count('slow')], [6, 2, 1]);
	for (const name of chosen) {
		loads.ended(name, 'answered', 0);
	}

	const later = new Set(
		Array.from(
			{length: 50},
			() => loads.choose(servers, 600_000)!.backendServer,
		),
	);
	t.is(later.size, 3);
});

test('a server that declines half of its requests at once gets fewer than one that answers', (t) => {
	const loads = new ServerLoads(new SeededRandom(1));
	const servers = [server('sound'), server('shedding')];
	const counts = new Map([
		['sound', 0],
		['shedding', 0],
	]);
	for (let now = 0; now < 60_000; now += 300) {
		const {backendServer} = loads.choose(servers, now)!;
		const count = counts.get(backendServer)! + 1;
		counts.set(backendServer, count);
		loads.sent(backendServer);
		const isShed = backendServer === 'shedding' && count % 2 === 0;
		loads.ended(backendServer, isShed ? 'declined' : 'answered', now + 10);
	}

	t.true(counts.get('shedding')! > 0);
	t.true(
		counts.get('sound')! > 3 * counts.get('shedding')!,
		`${[...counts].join(' ')}`,
	);
});
