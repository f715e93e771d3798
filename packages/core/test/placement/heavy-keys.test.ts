import test from 'ava';
import fc from 'fast-check';
import {
	heaviestSlicesReport,
	HeavyKeys,
	loadReport,
	LoadWindow,
	maxHeavyKeys,
	thresholdSample,
	sliceOf,
} from '../../src/index.js';

const runs = {numRuns: 60};

/** Batches of requests: counts of heavy keys, and the number of keys requested once. */
const streams = fc.array(
	fc.record({
		heavy: fc.dictionary(
			fc.constantFrom('a', 'b', 'c', 'd', 'e'),
			fc.integer({min: 1, max: 2000}),
		),
		once: fc.integer({min: 0, max: 2 * maxHeavyKeys}),
	}),
	{minLength: 1, maxLength: 8},
);

test('a summary is bounded, counts no key too high, and contains every heavy key', (t) => {
	const property = fc.property(streams, (batches) => {
		const requested = new Map<string, number>();
		let all = 0;
		let summary = HeavyKeys.empty;
		for (const [number, {heavy, once}] of batches.entries()) {
			const batch = new Map(Object.entries(heavy));
			for (let index = 0; index < once; index++) {
				batch.set(`once-${number}-${index}`, 1);
			}

			summary = summary.withBatch(batch);
			for (const [key, count] of batch) {
				requested.set(key, (requested.get(key) ?? 0) + count);
				all += count;
			}
		}

		const least = all / (maxHeavyKeys + 1);
		return (
			summary.counts.size <= maxHeavyKeys &&
			[...requested].every(([key, count]) => {
				const counted = summary.counts.get(key) ?? 0;
				return counted <= count && count - counted <= least;
			})
		);
	});
	fc.assert(property, runs);
	t.pass();
});

test('keys that used to be heavy do not keep out new ones', (t) => {
	const old = Array.from(
		{length: maxHeavyKeys},
		(_, index) => [`old-${index}`, 2] as const,
	);
	let summary = HeavyKeys.empty.withBatch(new Map(old));
	const batches = 20;
	for (let batch = 0; batch < batches; batch++) {
		summary = summary.withBatch(
			new Map([
				['a', 1],
				['b', 1],
			]),
		);
	}

	t.true((summary.counts.get('a') ?? 0) >= batches - 2);
});

const counts = fc
	.array(fc.integer({min: 1, max: 5000}), {minLength: 1, maxLength: 200})
	.map((each) => new Map(each.map((count, at) => [`key-${at}`, count])));

test('a sample is bounded, and the average over many samples is the count of each key', (t) => {
	const chances = 200;
	const most = 16;
	const property = fc.property(counts, (all) => {
		const sums = new Map<string, number>();
		for (let turn = 0; turn < chances; turn++) {
			const sample = thresholdSample(all, most, turn / chances);
			if (sample.size > most) {
				return false;
			}

			for (const [key, count] of sample) {
				sums.set(key, (sums.get(key) ?? 0) + count);
			}
		}

		const total = [...all.values()].reduce((sum, count) => sum + count);
		// A key's frequency over these samples is a multiple of 1 / chances, and counts are integers.
		const error = (2 * total) / most / chances + 1;
		return [...all].every(
			([key, count]) =>
				Math.abs((sums.get(key) ?? 0) / chances - count) <= error,
		);
	});
	fc.assert(property, runs);
	t.pass();
});

test('a window keeps a bounded number of the heaviest keys, whose counts decay', (t) => {
	let window = LoadWindow.startingAt(0);
	for (let report = 0; report < 40; report++) {
		const keys = new Map([['hot', 500]]);
		for (let index = 0; index < 95; index++) {
			keys.set(`key-${report}-${index}`, 1);
		}

		window = window.withReport(
			heaviestSlicesReport(new Map(), 1, keys),
			64,
			report * 100,
		);
	}

	const now = window.keys(4000);
	t.true(now.size <= 512, `${now.size} keys`);
	t.true(now.get('hot')! > 15_000);
	t.true(window.keys(64_000).get('hot')! < 0.1 * now.get('hot')!);
});

test('a report counts heavy keys apart from their slices, and the window adds them to the slices again', (t) => {
	const property = fc.property(counts, (keys) => {
		const slices = new Map<number, number>();
		for (const [key, count] of keys) {
			const slice = sliceOf(key, 16);
			slices.set(slice, (slices.get(slice) ?? 0) + count);
		}

		const most = {slices: 16, keys: 128};
		const report = loadReport({slices, keys}, 16, most, 0);
		const loads = LoadWindow.startingAt(0).withReport(report, 16, 0).loads(0);
		return (
			report.keys.size <= 128 &&
			[...slices].every(([slice, count]) => loads.get(slice) === count)
		);
	});
	fc.assert(property, runs);
	t.pass();
});
