import test from 'ava';
import {
	isReportDue,
	KeyRecorder,
	reportExpiryMs,
	reportIntervalMs,
	SeededRandom,
	type Millis,
	type Random,
	type SentReport,
} from '../../src/index.js';

const service = 's';
const hotKey = 40_000;
const writesPerS = 120;
const tickMs = 10;

type Load = {
	readonly daemons: number;
	/** Requests a second of the whole fleet, for all keys but the hot one. */
	readonly ratePerS: number;
	/** Requests a second for the hot key from `hotAt` on. */
	readonly hotPerS?: number;
	readonly hotAt?: Millis;
};

/** When one daemon of the fleet reports over `forMs`, and the rate of the hot key in each report. */
function reports(
	{daemons, ratePerS, hotPerS = 0, hotAt = Infinity}: Load,
	forMs: Millis,
	seed: number,
) {
	const random = new SeededRandom(seed);
	const recorder = new KeyRecorder(random);
	const sent: Array<{readonly at: Millis; readonly hotRate: number}> = [];
	let last: SentReport | undefined;
	let nextAt = 0;
	for (let now = 0; now < forMs; now += tickMs) {
		if (isArrival(ratePerS / daemons, random)) {
			recorder.record(skewedKey(random), now);
		}

		if (now >= hotAt && isArrival(hotPerS / daemons, random)) {
			recorder.record(hotKey, now);
		}

		if (now >= nextAt) {
			nextAt = now + random.jitter(reportIntervalMs(daemons, writesPerS));
			const keyRates = recorder.rates(now);
			const rates = new Map([[service, keyRates]]);
			if (keyRates.size > 0 && isReportDue(last, rates, now)) {
				last = {rates, at: now};
				sent.push({at: now, hotRate: keyRates.get(hotKey) ?? 0});
			}
		}
	}

	return sent;
}

function isArrival(perS: number, random: Random): boolean {
	return random.fraction() < (perS * tickMs) / 1000;
}

/** Busy keys are few and lie together. */
function skewedKey(random: Random): number {
	return Math.floor(65_536 * random.fraction() ** 3);
}

test('reports get rarer in a large fleet, down to one a window, and stay within the rate of writes', (t) => {
	t.is(reportIntervalMs(1, 40), 1000);
	t.is(reportIntervalMs(11, 40), 1000);
	t.is(reportIntervalMs(40, 120), 2000);
	t.is(reportIntervalMs(195, 320), 3000);
	t.is(reportIntervalMs(4400, 320), 13_750);
	t.is(reportIntervalMs(10, 2), 5000);
});

test('steady traffic is reported about every four seconds, in small and large fleets', (t) => {
	for (const [daemons, ratePerS] of [
		[1, 30],
		[9, 120],
		[22, 840],
		[75, 1060],
	]) {
		const forMs = 120_000;
		const sent = reports({daemons, ratePerS}, forMs, daemons);
		const occasions = forMs / reportIntervalMs(daemons, writesPerS);
		const mostOften = forMs / 4000;
		t.true(sent.length <= Math.min(mostOften * 1.25, occasions), `${daemons}`);
		t.true(sent.length >= forMs / 9000, `${daemons}`);
	}
});

test('a flood on one key is reported within two occasions of its start', (t) => {
	const hotAt = 20_000;
	for (let seed = 1; seed <= 20; seed++) {
		const load = {daemons: 22, ratePerS: 840, hotPerS: 400, hotAt};
		const sent = reports(load, 30_000, seed);
		const seen = sent.find(({hotRate}) => hotRate > 5);
		t.true(seen !== undefined && seen.at - hotAt <= 3300, `seed ${seed}`);
	}
});

test('traffic that ends for a service, or begins, is reported at once', (t) => {
	const rates = new Map([[1, 5]]);
	const last = {rates: new Map([['a', rates]]), at: 0};
	const both = new Map([
		['a', rates],
		['b', rates],
	]);
	t.true(isReportDue(last, both, 1000));
	t.true(isReportDue({rates: both, at: 0}, last.rates, 1000));
	t.false(isReportDue(last, last.rates, 1000));
	t.true(isReportDue(last, last.rates, 4000));
	t.true(isReportDue(undefined, last.rates, 0));
});

test('a report counts until the next one must have come, whatever the size of the fleet', (t) => {
	for (const daemons of [1, 22, 195, 4400]) {
		const ratePerS = daemons * 10;
		const forMs = 300_000;
		const sent = reports({daemons, ratePerS}, forMs, daemons);
		const gaps = sent.slice(1).map(({at}, index) => at - sent[index].at);
		t.true(Math.max(...gaps) < reportExpiryMs(daemons, writesPerS));
	}
});
