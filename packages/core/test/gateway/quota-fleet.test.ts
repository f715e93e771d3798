import test from 'ava';
import fc from 'fast-check';
import {windowBound} from '../../src/index.js';
import {bounds, QuotaFleet} from './quota-fleet.js';

/** How unevenly callers' connections are spread over daemons. */
const uneven = [0.3, 0.6, 1, 1, 1.5, 2.5, 0.5];
const usualFaults = {loss: 0.02, lateMs: 50};

function weightsOf(size: number): number[] {
	return Array.from(
		{length: size},
		(_, index) => uneven[index % uneven.length],
	);
}

/** The weights under which `share` of the requests meet at `count` daemons from `first` on. */
function surgingAt(size: number, first: number, count: number, share: number) {
	const weights = weightsOf(size);
	let sum = 0;
	for (const weight of weights) {
		sum += weight;
	}

	const extra = (sum * share) / (1 - share) / count;
	return weights.map((weight, index) =>
		(index - first + size) % size < count ? weight + extra : weight,
	);
}

function refusedShare(fleet: QuotaFleet): number {
	return fleet.refused / fleet.offered;
}

test('a surge to 7.5 times the usual at a few daemons stays within the rule, whatever reports are lost, late or repeated', (t) => {
	const scenario = fc.record({
		size: fc.integer({min: 11, max: 60}),
		rate: fc.integer({min: 1, max: 200}),
		burst: fc.double({min: 0, max: 2, noNaN: true}),
		usual: fc.double({min: 0.1, max: 0.67, noNaN: true}),
		surging: fc.integer({min: 1, max: 6}),
		loss: fc.double({min: 0, max: 0.3, noNaN: true}),
		lateMs: fc.integer({min: 0, max: 600}),
		seed: fc.nat(),
	});
	fc.assert(
		fc.property(scenario, ({size, rate, surging, seed, ...rest}) => {
			const {loss, lateMs, usual} = rest;
			const quota = {rate, burst: rate * rest.burst};
			const fleet = new QuotaFleet(size, quota, {loss, lateMs}, seed);
			fleet.run(8000, rate * usual, weightsOf(size));
			const share = 6.5 / 7.5;
			for (const first of [0, 5, 3]) {
				const weights = surgingAt(size, first, surging, share);
				fleet.run(6000, rate * usual * 7.5, weights);
			}

			t.true(fleet.peak(windowBound(quota, bounds)) <= 1);
		}),
		{numRuns: 60},
	);
});

test('daemons that are killed, added, cut off, paused and resumed never let the sum exceed the rule', (t) => {
	const change = fc.constantFrom('kill', 'add', 'cut', 'pause', 'heal');
	const scenario = fc.record({
		size: fc.integer({min: 11, max: 60}),
		rate: fc.integer({min: 1, max: 200}),
		demand: fc.double({min: 0.3, max: 2, noNaN: true}),
		changes: fc.array(fc.tuple(change, fc.nat(59)), {
			minLength: 6,
			maxLength: 12,
		}),
		seed: fc.nat(),
	});
	fc.assert(
		fc.property(scenario, ({size, rate, demand, changes, seed}) => {
			const quota = {rate, burst: rate};
			const fleet = new QuotaFleet(size, quota, usualFaults, seed);
			for (const [kind, chosen] of changes) {
				applyChange(fleet, kind, chosen);
				const weights = weightsOf(fleet.daemons.length);
				fleet.run(2000, rate * demand, weights);
			}

			t.true(fleet.peak(windowBound(quota, bounds)) <= 1);
		}),
		{numRuns: 60},
	);
});

/** Changes the daemon `chosen`, or half of them from there on if they are cut off or paused. */
function applyChange(fleet: QuotaFleet, kind: string, chosen: number): void {
	const {daemons} = fleet;
	const first = chosen % daemons.length;
	const half = daemons.slice(first, first + daemons.length / 2);
	if (kind === 'kill' && daemons.length > 2) {
		fleet.kill(first);
	} else if (kind === 'add') {
		fleet.add();
	}

	for (const daemon of kind === 'heal' ? daemons : half) {
		daemon.isCutOff = kind === 'cut' || (daemon.isCutOff && kind !== 'heal');
		daemon.isPaused = kind === 'pause' || (daemon.isPaused && kind !== 'heal');
	}
}

test('daemons that hear of no other keep the rule under a flood everywhere, and serve even the smallest quota', (t) => {
	for (const size of [1, 11, 59]) {
		for (const rate of [0.5, 1, 5, 20, 100]) {
			const quota = {rate, burst: rate};
			const fleet = new QuotaFleet(size, quota, {loss: 1, lateMs: 0}, 7);
			fleet.run(30_000, rate * 10 + 20, weightsOf(size));
			t.true(fleet.peak(windowBound(quota, bounds)) <= 1, `${size}, ${rate}`);
			t.true(fleet.admittedAt.length > rate * 15, `${size}, ${rate}`);
		}
	}
});

test('customers well below their quota are hardly ever refused, also where reports are lost', (t) => {
	for (const loss of [0, 0.1]) {
		for (const size of [19, 59]) {
			for (const rate of [2, 5, 20, 100]) {
				const quota = {rate, burst: rate};
				const fleet = new QuotaFleet(size, quota, {loss, lateMs: 100}, 3);
				fleet.run(10_000, rate * 0.5, weightsOf(size));
				fleet.offered = 0;
				fleet.refused = 0;
				fleet.run(600_000 / rate, rate * 0.5, weightsOf(size));
				t.true(refusedShare(fleet) < 0.03, `${loss} ${size} ${rate}`);
			}
		}
	}
});

test('a customer that sends seven times its quota at a few daemons gets two thirds of it from the first seconds on, also when they change', (t) => {
	for (const size of [19, 59]) {
		for (const rate of [5, 20, 100]) {
			const quota = {rate, burst: rate};
			const fleet = new QuotaFleet(size, quota, usualFaults, 5);
			fleet.run(10_000, rate * 0.6, weightsOf(size));
			for (const first of [0, 9]) {
				const before = fleet.admittedAt.length;
				fleet.run(8000, rate * 7, surgingAt(size, first, 4, 0.9));
				const served = fleet.admittedAt.length - before;
				t.true(served > 0.65 * rate * 8, `${size} ${rate}: ${served}`);
			}
		}
	}
});

test('customers well below their quota are served on while no reports arrive for some seconds', (t) => {
	for (const size of [19, 59]) {
		for (const rate of [2, 5, 20, 100]) {
			let offered = 0;
			let refused = 0;
			for (let seed = 0; offered < 300; seed++) {
				const quota = {rate, burst: rate};
				const fleet = new QuotaFleet(size, quota, usualFaults, seed);
				fleet.run(15_000, rate * 0.3, weightsOf(size));
				for (const daemon of fleet.daemons) {
					daemon.isCutOff = true;
				}

				const {offered: before, refused: refusedBefore} = fleet;
				fleet.run(10_000, rate * 0.3, weightsOf(size));
				offered += fleet.offered - before;
				refused += fleet.refused - refusedBefore;
			}

			t.true(refused / offered < 0.05, `${size} ${rate}: ${refused}`);
		}
	}
});
