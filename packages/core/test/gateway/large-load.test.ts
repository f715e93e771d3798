import test from 'ava';
import {
	applyMoves,
	maxKey,
	planKeyMoves,
	planLoadMoves,
	rangesByOwner,
	runKeyOf,
	SeededRandom,
	type KeyTraffic,
	type ListedServer,
	type RangeTable,
} from '../../src/index.js';
import {aServer} from './a-server.js';

const slots = 3;
const reportWindowS = 3;
/** The share of its slots that a server may be busy before requests queue up for long. */
const highLoad = 0.9;

type Load = {
	readonly servers: readonly ListedServer[];
	/** Requests a second, by key. */
	readonly rates: ReadonlyMap<number, number>;
	readonly runMs: ReadonlyMap<string, number>;
};

/** Requests for 60,000 things whose keys lie in the order of how busy they are, at servers of three speeds. */
function skewedLoad(count: number, requestsPerS: number, workMs: number): Load {
	const speeds = [1, 0.7, 1.3];
	const servers = Array.from({length: count}, (_, index) =>
		aServer(`s${index}`, {slots}),
	);
	const weights = Array.from(
		{length: 60_000},
		(_, rank) => (rank + 1) ** -0.68,
	);
	let total = 0;
	for (const weight of weights) {
		total += weight;
	}

	const rates = new Map<number, number>();
	for (const [rank, weight] of weights.entries()) {
		const key = (20_000 + rank) % (maxKey + 1);
		rates.set(key, (weight / total) * requestsPerS);
	}

	const runMs = new Map(
		servers.map(({backendServer}, index) => [
			backendServer,
			workMs / speeds[index % speeds.length],
		]),
	);
	return {servers, rates, runMs};
}

/** What the daemons report of the load in one window. */
function observed({rates, runMs}: Load, random: SeededRandom): KeyTraffic {
	const seen = new Map<number, number>();
	for (const [key, rate] of rates) {
		const expected = rate * reportWindowS;
		const count =
			Math.floor(expected) + (random.fraction() < expected % 1 ? 1 : 0);
		if (count > 0) {
			seen.set(key, count / reportWindowS);
		}
	}

	return {rates: seen, runMs};
}

/** The share of its slots that the busiest server is busy. */
function highestLoad({servers, rates, runMs}: Load, {ranges}: RangeTable) {
	const byOwner = rangesByOwner(ranges);
	const loads = servers.map((server) => {
		let rate = 0;
		for (const {from, to} of byOwner.get(runKeyOf(server)) ?? []) {
			for (let key = from; key <= to; key++) {
				rate += rates.get(key) ?? 0;
			}
		}

		return (rate * runMs.get(server.backendServer)!) / 1000 / slots;
	});
	return Math.max(...loads);
}

test('two plans even out a service of 118 servers whose busy keys lie together, and few keys move after that', (t) => {
	const load = skewedLoad(118, 840, 219);
	const random = new SeededRandom(7);
	let table: RangeTable = {service: 's', nextFence: 1, ranges: []};
	table = applyMoves(table, planKeyMoves(table, load.servers));
	t.true(highestLoad(load, table) > 5);
	for (let plan = 0; plan < 2; plan++) {
		const moves = planLoadMoves(table, load.servers, observed(load, random));
		table = applyMoves(table, moves);
	}

	const highest = highestLoad(load, table);
	t.true(highest < highLoad, `${highest}`);
	let movedKeys = 0;
	for (let plan = 0; plan < 5; plan++) {
		const moves = planLoadMoves(table, load.servers, observed(load, random));
		for (const {from, to} of moves) {
			movedKeys += to - from + 1;
		}

		table = applyMoves(table, moves);
		t.true(highestLoad(load, table) < 1);
	}

	t.true(movedKeys < maxKey / 10, `${movedKeys} keys moved`);
});
