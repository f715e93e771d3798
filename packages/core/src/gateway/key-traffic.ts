/**
 * Measures the requests for a service's keys: how often each key is requested, and how
 * long a request runs at each server. Every daemon records the requests that it handles;
 * the totals over all daemons show how busy each server is with the keys it owns. Keys
 * may be busy for a few seconds only, so a rate has to follow within about a second.
 */
import {type Random} from '../chance/random.js';
import {median} from '../balance/median.js';
import {thresholdSample} from '../placement/key-sample.js';
import {type Millis} from '../time/clock.js';

export type KeyTraffic = {
	/** Requests a second, by key. */
	readonly rates: ReadonlyMap<number, number>;
	/** How long a request runs at a server that is not full, in ms, by server. */
	readonly runMs: ReadonlyMap<string, Millis>;
	/** How many answers each run time rests on, by server; one that is not listed is taken as exact. */
	readonly readings?: ReadonlyMap<string, number>;
};

/**
 * Time constant of the exponentially weighted rates. A new hot key shows with 63% of its
 * rate after this time, where a sliding window of 3 s showed 33%. The rates vary by chance
 * like those of a window of twice this time.
 */
export const trafficDecayMs: Millis = 1000;
/** Requests of this age count no more: 5% of their weight is left. */
export const trafficWindowMs: Millis = 3 * trafficDecayMs;
const minWeight = Math.exp(-trafficWindowMs / trafficDecayMs);
/** Rates are not extrapolated from a shorter time than this. */
const minSpanMs: Millis = 1000;
/** Most keys that one daemon reports: a few kB, and more than it sees in a window on a small site. */
export const maxReportedKeys = 200;
/** Most keys kept; beyond that those requested least go. */
const maxKeptKeys = 20_000;
/** Samples are drawn of whole numbers, so weights are counted in this many parts. */
const weightParts = 1000;
const secondMs: Millis = 1000;
/** A run time that differs from the median of all daemons by more than this factor is left out: readings of one server differ less. */
const maxOutlierRatio = 4;

/** The requests for a key, each weighted by its age at `at`. */
type KeyWeight = {readonly weight: number; readonly at: Millis};

/** Records the keys of the requests that one daemon handles. */
export class KeyRecorder {
	readonly #weights = new Map<number, KeyWeight>();
	#firstAt: Millis | undefined;

	constructor(private readonly random: Random) {}

	record(key: number, now: Millis): void {
		this.#firstAt ??= now;
		const known = this.#weights.get(key);
		const weight = 1 + (known ? weightAt(known, now) : 0);
		this.#weights.set(key, {weight, at: now});
		if (this.#weights.size > maxKeptKeys) {
			this.#forgetLightKeys(now);
		}
	}

	/** Requests a second, by key, weighted towards the last second; a random sample if there are too many keys. */
	rates(now: Millis): ReadonlyMap<number, number> {
		const parts = new Map<number, number>();
		for (const [key, known] of this.#weights) {
			const weight = weightAt(known, now);
			if (weight > minWeight) {
				parts.set(key, weight * weightParts);
			} else {
				this.#weights.delete(key);
			}
		}

		// Early requests would be taken for few if they counted for the whole time.
		const observedMs = now - (this.#firstAt ?? now);
		const spanMs = Math.max(minSpanMs, observedMs);
		const totalWeight =
			(trafficDecayMs / secondMs) * (1 - Math.exp(-spanMs / trafficDecayMs));
		const sample = thresholdSample(
			parts,
			maxReportedKeys,
			this.random.fraction(),
		);
		return new Map(
			[...sample].map(([key, count]) => [
				key,
				count / weightParts / totalWeight,
			]),
		);
	}

	#forgetLightKeys(now: Millis): void {
		const byWeight = [...this.#weights].sort(
			([, a], [, b]) => weightAt(a, now) - weightAt(b, now),
		);
		for (const [key] of byWeight.slice(0, maxKeptKeys / 2)) {
			this.#weights.delete(key);
		}
	}
}

function weightAt({weight, at}: KeyWeight, now: Millis): number {
	return weight * Math.exp((at - now) / trafficDecayMs);
}

/** The traffic of all daemons: the sum of their rates and readings, and the mean of their run times, without those of daemons that differ widely from most. */
export function totalTraffic(parts: readonly KeyTraffic[]): KeyTraffic {
	const rates = new Map<number, number>();
	const runTimes = new Map<string, Millis[]>();
	const readings = new Map<string, number>();
	for (const part of parts) {
		for (const [key, rate] of part.rates) {
			rates.set(key, (rates.get(key) ?? 0) + rate);
		}

		for (const [server, count] of part.readings ?? []) {
			readings.set(server, (readings.get(server) ?? 0) + count);
		}

		for (const [server, runMs] of part.runMs) {
			const times = runTimes.get(server);
			if (times) {
				times.push(runMs);
			} else {
				runTimes.set(server, [runMs]);
			}
		}
	}

	const runMs = new Map(
		[...runTimes].map(([server, times]) => [server, usualMean(times)] as const),
	);
	return {rates, runMs, readings};
}

/** The mean of the values near the median. */
function usualMean(values: readonly number[]): number {
	const middle = median(values)!;
	const usual = values.filter(
		(value) =>
			value >= middle / maxOutlierRatio && value <= middle * maxOutlierRatio,
	);
	let sum = 0;
	for (const value of usual) {
		sum += value;
	}

	return sum / usual.length;
}
