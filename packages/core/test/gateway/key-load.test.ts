import test from 'ava';
import fc from 'fast-check';
import {
	isHeldBy,
	KeyRecorder,
	applyMoves,
	planKeyMoves,
	planLoadMoves,
	SeededRandom,
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

test('a recorder forgets old requests', (t) => {
	const recorder = new KeyRecorder(new SeededRandom(1));
	recorder.record(7, 0);
	recorder.record(7, 1000);
	recorder.record(9, 2000);
	t.is(recorder.rates(2500).get(7), 2 / 2.5);
	t.deepEqual(
		[...recorder.rates(3500)],
		[
			[7, 1 / 3],
			[9, 1 / 3],
		],
	);
	t.is(recorder.rates(9000).size, 0);
});

test('the rate of a key that has just begun to be requested is not taken for low', (t) => {
	const recorder = new KeyRecorder(new SeededRandom(1));
	for (let at = 0; at < 1500; at += 100) {
		recorder.record(7, at);
	}

	t.is(recorder.rates(1500).get(7), 10);
});

test('rates of all daemons add up, and run times are averaged', (t) => {
	const total = totalTraffic([
		{rates: new Map([[1, 2]]), runMs: new Map([['a', 100]])},
		{
			rates: new Map([
				[1, 3],
				[2, 1],
			]),
			runMs: new Map([['a', 300]]),
		},
	]);
	t.deepEqual(
		[...total.rates],
		[
			[1, 5],
			[2, 1],
		],
	);
	t.is(total.runMs.get('a'), 200);
});
