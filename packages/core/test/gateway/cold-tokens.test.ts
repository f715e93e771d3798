import test from 'ava';
import {
	ColdTokens,
	SeededRandom,
	type ColdBounds,
	type Millis,
} from '../../src/index.js';

const over = 1.5;
const stepMs = 10;

type Fleet = {
	readonly daemons: number;
	readonly rate: number;
	readonly slack: number;
};

const fleets: readonly Fleet[] = [
	{daemons: 11, rate: 13, slack: 5},
	{daemons: 11, rate: 2.8, slack: 5},
	{daemons: 70, rate: 2.8, slack: 8},
	{daemons: 77, rate: 13, slack: 8},
	{daemons: 195, rate: 2.8, slack: 10},
	{daemons: 195, rate: 13, slack: 10},
];

function boundsOf({daemons, rate, slack}: Fleet): ColdBounds {
	return {daemons, rate, excess: rate * (over - 1) + slack};
}

/** The times at which one cold server gets requests, if a daemon has one to send with probability `demand(now)` in each step. */
function timesSent(
	fleet: Fleet,
	seed: number,
	{until, demand}: {until: Millis; demand: (now: Millis) => number},
): readonly Millis[] {
	const random = new SeededRandom(seed);
	const buckets = Array.from(
		{length: fleet.daemons},
		() => new ColdTokens(random),
	);
	const bounds = boundsOf(fleet);
	const times: Millis[] = [];
	for (let now = 0; now < until; now += stepMs) {
		for (const tokens of buckets) {
			if (random.fraction() < demand(now) && tokens.take('s', bounds, now)) {
				times.push(now);
			}
		}
	}

	return times;
}

/** The most of `times` within one second. */
function mostInOneSecond(times: readonly Millis[]): number {
	const counts = times.map(
		(start, index) =>
			times.slice(index).filter((time) => time < start + 1000).length,
	);
	return Math.max(0, ...counts);
}

for (const fleet of fleets) {
	const {daemons, rate, slack} = fleet;
	const allowed = rate * over + slack;
	const name = `${daemons} daemons, ${rate} requests a second`;

	test(`a burst after a calm brings no flood to a cold server: ${name}`, (t) => {
		for (let seed = 1; seed <= 40; seed++) {
			// Each daemon sends now and then for 20 s, then all do without a pause.
			const times = timesSent(fleet, seed, {
				until: 24_000,
				demand: (now) => (now < 20_000 ? 0.0005 : 0.5),
			});
			const most = mostInOneSecond(times);
			t.true(most <= allowed, `seed ${seed}: ${most} of ${allowed}`);
		}
	});

	test(`a cold server in demand gets its rate: ${name}`, (t) => {
		for (let seed = 1; seed <= 5; seed++) {
			const times = timesSent(fleet, seed, {
				until: 60_000,
				demand: () => 0.5,
			});
			const perS = times.length / 60;
			t.true(perS > rate * 0.7 && perS < rate * 1.1, `seed ${seed}: ${perS}`);
			const most = mostInOneSecond(times);
			t.true(most <= allowed, `seed ${seed}: ${most} of ${allowed}`);
		}
	});
}

test('a cold server gets no more than its rate, from the first request on', (t) => {
	for (let seed = 1; seed <= 20; seed++) {
		const tokens = new ColdTokens(new SeededRandom(seed));
		const bounds = {daemons: 1, rate: 0.5, excess: 5.25};
		let taken = 0;
		for (let now = 0; now <= 10_000; now += 10) {
			taken += tokens.take('a', bounds, now) ? 1 : 0;
		}

		t.true(taken >= 4 && taken <= 5, `seed ${seed}: ${taken}`);
	}
});

test('a daemon that shares with few others may use a token that it has saved', (t) => {
	const tokens = new ColdTokens(new SeededRandom(1));
	const bounds = {daemons: 3, rate: 3, excess: 6};
	tokens.take('s', bounds, 0);
	for (let now = 5000; now < 100_000; now += 5000) {
		t.true(tokens.take('s', bounds, now));
		t.false(tokens.take('s', bounds, now));
	}
});
