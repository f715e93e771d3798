import test from 'ava';
import {KeyRecorder, SeededRandom, totalTraffic} from '../../src/index.js';

test('a recorder forgets old requests', (t) => {
	const recorder = new KeyRecorder(new SeededRandom(1));
	for (let at = 0; at < 5000; at += 100) {
		recorder.record(7, at);
	}

	recorder.record(9, 4900);
	const [, oneRate] = [...recorder.rates(5000)].at(-1)!;
	t.true(oneRate > 0.8 && oneRate <= 1);
	const later = recorder.rates(6000);
	t.true(later.get(7)! > 3 && later.get(7)! < 4);
	t.true(later.get(9)! < oneRate / 2.5);
	t.deepEqual([...recorder.rates(8000).keys()], [7]);
	t.is(recorder.rates(12_000).size, 0);
});

test('a key that gets hot shows with most of its rate within a second and with all of it later', (t) => {
	const recorder = new KeyRecorder(new SeededRandom(1));
	for (let at = 0; at < 8000; at += 10) {
		recorder.record(at % 100, at);
		if (at >= 4000) {
			recorder.record(500, at);
		}

		if (at === 5000) {
			t.true(recorder.rates(at).get(500)! > 60);
		}
	}

	const rate = recorder.rates(8000).get(500)!;
	t.true(rate > 95 && rate < 102, `${rate}`);
});

test('more keys than a recorder keeps or reports change the total rate little', (t) => {
	const recorder = new KeyRecorder(new SeededRandom(1));
	for (let count = 0; count < 40_000; count++) {
		recorder.record(count, 1000 + count / 40);
	}

	const rates = [...recorder.rates(2000).values()];
	t.true(rates.length <= 200);
	let total = 0;
	for (const rate of rates) {
		total += rate;
	}

	// The keys that were dropped are the older ones.
	t.true(total > 20_000 && total < 45_000, `${total}`);
});

test('the rate of a key that has just begun to be requested is not taken for low', (t) => {
	const recorder = new KeyRecorder(new SeededRandom(1));
	for (let at = 0; at < 1500; at += 100) {
		recorder.record(7, at);
	}

	// The last request is 100 ms old, which takes 5% off.
	const rate = recorder.rates(1500).get(7)!;
	t.true(rate > 9.4 && rate <= 10, `${rate}`);
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
