import test from 'ava';
import {
	KeyRecorder,
	SeededRandom,
	SteadyTraffic,
	type KeyTraffic,
} from '../../src/index.js';

/** The traffic that one daemon reports of requests at random keys, each quarter of a second. */
function* observe(
	rateOf: (now: number) => number,
	keys: readonly number[],
	untilMs: number,
): Generator<{readonly now: number; readonly traffic: KeyTraffic}> {
	const random = new SeededRandom(7);
	const recorder = new KeyRecorder(random);
	for (let now = 0; now < untilMs; now += 10) {
		if (random.fraction() < rateOf(now) / 100) {
			recorder.record(random.pick(keys)!, now);
		}

		if (now % 250 === 0) {
			yield {now, traffic: {rates: recorder.rates(now), runMs: new Map()}};
		}
	}
}

function sum({rates}: KeyTraffic): number {
	return [...rates.values()].reduce((total, rate) => total + rate, 0);
}

test('a steady rate that varies widely over one second is told within a quarter, so that a server with a few keys too many is found', (t) => {
	const steady = new SteadyTraffic();
	const present: number[] = [];
	const averages: number[] = [];
	for (const {now, traffic} of observe(() => 6, [10, 300, 900], 60_000)) {
		steady.update(traffic, now);
		if (now > 10_000) {
			present.push(sum(traffic));
			averages.push(sum(steady.averageOf(traffic)));
		}
	}

	const widest = (rates: readonly number[]) =>
		Math.max(...rates.map((rate) => Math.abs(rate - 6) / 6));
	t.true(widest(present) > 0.6);
	t.true(widest(averages) < widest(present) / 2);
});

test('keys that are no longer hot count with their present rate, so that they are not moved once more', (t) => {
	const steady = new SteadyTraffic();
	let last = 0;
	const rateOf = (now: number) => (now > 10_000 && now < 15_000 ? 90 : 2);
	for (const {now, traffic} of observe(rateOf, [10, 11, 12], 19_000)) {
		steady.update(traffic, now);
		last = sum(steady.averageOf(traffic));
	}

	t.true(last < 10);
});
