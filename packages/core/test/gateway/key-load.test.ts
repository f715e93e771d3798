import test from 'ava';
import fc from 'fast-check';
import {
	isHeldBy,
	joinRanges,
	keyLoads,
	MoveBudget,
	movedKeysShare,
	applyMoves,
	planKeyMoves,
	planLoadMoves,
	planTidyMoves,
	timelyRate,
	timelyRates,
	totalTraffic,
	type KeyTraffic,
	type ListedServer,
	type RangeTable,
} from '../../src/index.js';
import {aServer} from './a-server.js';

function server(backendServer: string, coldMs = 0): ListedServer {
	return aServer(backendServer, {coldMs});
}

const servers = ['s0', 's1', 's2', 's3'].map((name) => server(name));
const usualMs = 200;
const runMs = new Map(
	servers.map(({backendServer}) => [backendServer, usualMs] as const),
);

function evenTable(): RangeTable {
	let table: RangeTable = {service: 's', nextFence: 1, ranges: []};
	for (const move of planKeyMoves(table, servers)) {
		table = applyMoves(table, [move]);
	}

	return table;
}

/** The share of its slots that is busy, for each server. */
function loads({ranges}: RangeTable, {rates}: KeyTraffic): readonly number[] {
	return servers.map((owner) => {
		let load = 0;
		for (const range of ranges.filter((candidate) =>
			isHeldBy(candidate, owner),
		)) {
			for (const [key, rate] of rates) {
				if (range.from <= key && key <= range.to) {
					load += (rate * (runMs.get(owner.backendServer) ?? 0)) / 3000;
				}
			}
		}

		return load;
	});
}

/** The table after ten plans, about as many as a keeper makes in 20 s. */
function evenedOut(table: RangeTable, traffic: KeyTraffic): RangeTable {
	let next = table;
	for (let round = 0; round < 10; round++) {
		for (const move of planLoadMoves(next, servers, traffic)) {
			next = applyMoves(next, [move]);
		}
	}

	return next;
}

/** Traffic of which nearly half is for a range of 200 keys. */
function hotRun(ratePerS: number): KeyTraffic {
	const rates = new Map<number, number>();
	for (let key = 0; key < 65_536; key += 512) {
		rates.set(key, (ratePerS * 0.55) / 128);
	}

	for (let key = 20_000; key < 20_200; key += 2) {
		rates.set(key, (ratePerS * 0.45) / 100);
	}

	return {rates, runMs};
}

test('a run of hot keys is spread until no server has much more than its share of the load', (t) => {
	const traffic = hotRun(40);
	const table = evenTable();
	t.true(Math.max(...loads(table, traffic)) > 1.5);
	const after = loads(evenedOut(table, traffic), traffic);
	const even = (40 * usualMs) / 3000 / servers.length;
	t.true(Math.max(...after) <= even + 0.25, `${after.join(' ')}`);
});

test('with little load, or no known run times, no keys move', (t) => {
	t.deepEqual(planLoadMoves(evenTable(), servers, hotRun(5)), []);
	const unknown = {...hotRun(40), runMs: new Map<string, number>()};
	t.deepEqual(planLoadMoves(evenTable(), servers, unknown), []);
});

test('a cold server gets no keys while half of the servers are warm, and its share once it is warm', (t) => {
	const cold = server('s4', 900);
	t.deepEqual(planKeyMoves(evenTable(), [...servers, cold]), []);
	const toWarm = planKeyMoves(evenTable(), [...servers, server('s4')]);
	t.true(toWarm.length > 0);
	t.true(toWarm.every(({target}) => target.backendServer === 's4'));

	// The keys of a lost server go to the warm ones, unless these are few.
	const [, ...survivors] = servers;
	const toSurvivors = planKeyMoves(evenTable(), [...survivors, cold]);
	t.true(toSurvivors.length > 0);
	t.true(toSurvivors.every(({target}) => target.coldMs === 0));
	const oneWarm = [servers[1], server('s2', 900), server('s3', 900), cold];
	const toAny = planKeyMoves(evenTable(), oneWarm);
	t.true(toAny.some(({target}) => target.coldMs > 0));
});

test('a cold server gets no keys, and a single hot key is not moved', (t) => {
	const rates = new Map([[20_000, 10]]);
	const traffic = {rates, runMs};
	const cold = [
		servers[1],
		...['s0', 's2', 's3'].map((name) => server(name, 900)),
	];
	t.deepEqual(planLoadMoves(evenTable(), cold, traffic), []);
	t.deepEqual(planLoadMoves(evenTable(), servers, traffic), []);
});

test('no plan makes the busiest server busier, and its moves touch no key twice', (t) => {
	const rate = fc.tuple(
		fc.integer({min: 0, max: 65_535}),
		fc.double({min: 0.1, max: 20, noNaN: true}),
	);
	fc.assert(
		fc.property(fc.array(rate, {maxLength: 60}), (rates) => {
			const traffic = {rates: new Map(rates), runMs};
			let table = evenTable();
			for (let round = 0; round < 5; round++) {
				const before = Math.max(...loads(table, traffic));
				const moves = planLoadMoves(table, servers, traffic);
				for (const [index, {from, to}] of moves.entries()) {
					t.false(
						moves
							.slice(index + 1)
							.some((other) => from <= other.to && other.from <= to),
					);
				}

				for (const move of moves) {
					table = applyMoves(table, [move]);
				}

				t.true(Math.max(...loads(table, traffic)) <= before + 1e-9);
			}
		}),
		{numRuns: 60},
	);
});

test('a run time that one daemon measured wrong, or that is zero, does not change the plan', (t) => {
	const parts = [100, 110, 90, 0, 1e9].map((ms) => ({
		rates: new Map<number, number>(),
		runMs: new Map([['a', ms]]),
	}));
	t.is(totalTraffic(parts).runMs.get('a'), 100);

	const traffic = hotRun(40);
	for (const wrongMs of [0, Number.NaN]) {
		const wrong = new Map([...runMs, ['s2', wrongMs]]);
		t.deepEqual(
			planLoadMoves(evenTable(), servers, {...traffic, runMs: wrong}),
			planLoadMoves(evenTable(), servers, traffic),
		);
	}

	// A run time that is far too long leaves the server keys.
	const long = timelyRates(servers, {
		...traffic,
		runMs: new Map([...runMs, ['s2', 1e9]]),
	})!;
	t.true(long.get('s2')! > long.get('s0')! / 10);
});

test('a server with long run times gets so much less that its answers are in time', (t) => {
	const rateAt = (runMs: number, targetMs: number) =>
		timelyRate({slots: 3, runMs, targetMs, lateShare: 0.05});
	const normal = rateAt(160, 832);
	const slow = rateAt(320, 832);
	t.true(normal > 14 && normal < 3000 / 160);
	t.true(slow < normal * 0.4);
	// Even more so as the target gets closer to the run time, down to a tenth of the throughput.
	t.true(rateAt(320, 400) < slow * 0.6);
	t.is(rateAt(320, 300), (3000 / 320) * 0.1);
});

test('a key that fills a server gets the fastest one, whose other keys go elsewhere', (t) => {
	const rates = new Map([
		[20_000, 24],
		[20_010, 2],
		[40_000, 2],
		[50_000, 2],
		[60_000, 2],
	]);
	const fast = new Map([...runMs, ['s3', 100]]);
	const traffic = {rates, runMs: fast};
	const moves = planLoadMoves(evenTable(), servers, traffic);
	const hot = moves.find(({from, to}) => from === 20_000 && to === 20_000);
	t.is(hot?.target.backendServer, 's3');
	const leaving = moves.filter(({holder}) => holder?.owner === 's3');
	t.true(leaving.some(({from, to}) => from <= 50_000 && to >= 50_000));
	t.true(leaving.some(({from, to}) => from <= 60_000 && to >= 60_000));
	const after = applyMoves(evenTable(), moves);
	t.deepEqual(planLoadMoves(after, servers, traffic), []);
});

test('keys of a lost server go to those with spare capacity, not to those with few keys', (t) => {
	const table = evenTable();
	// The keys of s1 are busy, and s1 has given half of them to s2.
	const halved = applyMoves(table, [
		{
			from: 16_384,
			to: 24_000,
			holder: table.ranges.find(({owner}) => owner === 's1'),
			target: servers[2],
		},
	]);
	const rates = new Map<number, number>();
	for (let key = 0; key < 65_536; key += 1024) {
		const isOfS1 = key > 24_000 && key < 32_768;
		rates.set(key, isOfS1 ? 1.5 : 0.2);
	}

	const remaining = servers.slice(0, 3);
	const moves = planKeyMoves(halved, remaining, {rates, runMs});
	const after = applyMoves(halved, moves);
	const rateOf = (name: string) => {
		let sum = 0;
		for (const [key, rate] of rates) {
			const range = after.ranges.find(
				({from, to}) => from <= key && key <= to,
			)!;
			sum += range.owner === name ? rate : 0;
		}

		return sum;
	};

	t.true(moves.every(({target}) => target !== servers[3]));
	t.true(rateOf('s1') <= 13.6, `${rateOf('s1')}`);
	t.true(rateOf('s0') > 4.5 && rateOf('s2') > 4.5);
});

test('no more keys move than the budget allows, and those with most load go first', (t) => {
	const traffic = hotRun(40);
	const moves = planLoadMoves(evenTable(), servers, traffic, {
		maxMovedKeys: 300,
	});
	let moved = 0;
	for (const {from, to} of moves) {
		moved += to - from + 1;
	}

	t.true(moved > 0 && moved <= 300, `${moved}`);
	const [{from, to}] = moves;
	t.true(from >= 20_000 && to < 20_200);

	const budget = new MoveBudget();
	t.is(budget.left(0.01, 0), 19_660);
	budget.spend(19_660);
	t.is(budget.left(0.01, 0), 0);
	t.is(budget.left(0.01, 1000), 656);
	t.is(budget.left(0.01, 100_000), 19_660);
	t.is(movedKeysShare(undefined, 11), Infinity);
	t.is(movedKeysShare(undefined, 77), 0.01);
	t.is(movedKeysShare(0.5, 77), 0.5);
});

test('adjacent ranges of one owner are joined under a new fence, except those on a move', (t) => {
	const part = (from: number, owner: string, fence: number) => ({
		from,
		to: from + 9,
		owner,
		ownerStartedAt: 1,
		fence,
	});
	const table = {
		service: 's',
		nextFence: 20,
		ranges: [
			part(0, 'a', 3),
			part(10, 'a', 9),
			part(20, 'a', 4),
			part(30, 'b', 5),
			part(40, 'c', 6),
			part(50, 'c', 7),
			part(60, 'd', 8),
			part(70, 'd', 10),
		],
	};
	const joined = joinRanges(table, [{from: 55, to: 55}], 8);
	t.deepEqual(
		joined.ranges.map(({from, to, fence}) => [from, to, fence]),
		[
			[0, 29, 20],
			[30, 39, 5],
			[40, 49, 6],
			[50, 59, 7],
			[60, 79, 21],
		],
	);
	t.is(joined.nextFence, 22);
	t.is(joinRanges(table, [], 1).ranges.length, 7);
	t.deepEqual(joinRanges(joined, [{from: 55, to: 55}], 8), joined);
});

test('short ranges without requests go to the owner of the range beside them; busy ones and those of a short table stay', (t) => {
	let table = evenTable();
	t.deepEqual(planTidyMoves(table, servers, hotRun(40)), []);
	// Runs of ten keys of s1, given to s2 and s3.
	for (let from = 20_000; from < 20_400; from += 40) {
		const holder = table.ranges.find(
			(range) => range.from <= from && from <= range.to,
		);
		const target = servers[2 + ((from / 40) % 2)];
		table = applyMoves(table, [{from, to: from + 9, holder, target}]);
	}

	const traffic = {rates: new Map([[20_045, 3]]), runMs};
	const moves = planTidyMoves(table, servers, traffic);
	t.true(moves.length > 5);
	t.false(moves.some(({from, to}) => from <= 20_045 && to >= 20_045));
	let next = table;
	for (let round = 0; round < 4; round++) {
		const tidied = planTidyMoves(next, servers, traffic);
		next = joinRanges(applyMoves(next, tidied), [], 64);
	}

	t.true(next.ranges.length <= 8, `${next.ranges.length}`);
	t.true(
		next.ranges.every(
			({from}, index) => index === 0 || from === next.ranges[index - 1].to + 1,
		),
	);
	t.deepEqual(
		planTidyMoves(table, servers, {...traffic, runMs: new Map()}),
		[],
	);
	const some = planTidyMoves(table, servers, traffic, {maxMovedKeys: 25});
	t.true(some.length > 0 && some.length <= 2);
});

test('a server of which only one short answer is known takes no more keys than it can serve', (t) => {
	const many = Array.from({length: 20}, (_, index) => server(`s${index}`));
	const rates = new Map(
		Array.from({length: 200}, (_, index) => [index * 10, 1] as const),
	);
	const measured = new Map(
		many.map(({backendServer}) => [backendServer, usualMs]),
	);
	const readings = new Map(many.map(({backendServer}) => [backendServer, 50]));
	const traffic: KeyTraffic = {
		rates,
		runMs: new Map([...measured, ['s19', 15]]),
		readings: new Map([...readings, ['s19', 1]]),
	};
	const empty: RangeTable = {service: 's', nextFence: 1, ranges: []};
	const table = applyMoves(empty, planKeyMoves(empty, many));
	const after = applyMoves(table, planLoadMoves(table, many, traffic));
	const trueLoads = keyLoads(after, many, {rates, runMs: measured})!;
	t.true(trueLoads.get('s0')! < 2, 'the busy keys were moved');
	t.true(trueLoads.get('s19')! < 1, `${trueLoads.get('s19')}`);
});

test('a key beyond any server does not keep keys at servers that are overloaded', (t) => {
	const many = Array.from({length: 100}, (_, index) => server(`s${index}`));
	const empty: RangeTable = {service: 's', nextFence: 1, ranges: []};
	const table = applyMoves(empty, planKeyMoves(empty, many));
	const runTimes = new Map(
		many.map(({backendServer}) => [backendServer, usualMs]),
	);
	// Each server serves 15 requests a second and gets 10; one gets 22, and a hot key 700.
	const [crowded, {from: hotKey}] = table.ranges;
	const rates = new Map<number, number>();
	for (const {from} of table.ranges) {
		for (let key = from; key < from + 20; key++) {
			rates.set(key, from === crowded.from ? 1.1 : 0.5);
		}
	}

	rates.set(hotKey, 700);
	const traffic = {rates, runMs: runTimes};
	const moves = planLoadMoves(table, many, traffic, {isOverloadOnly: true});
	const after = keyLoads(applyMoves(table, moves), many, traffic)!;
	t.true(after.get(crowded.owner)! < 1.2, `${after.get(crowded.owner)}`);
});
