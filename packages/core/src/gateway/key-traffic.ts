/**
 * Measures the requests for a service's keys: how often each key is requested, and how
 * long a request runs at each server. Every daemon records the requests that it handles;
 * the totals over all daemons show how busy each server is with the keys it owns.
 */
import {type Random} from '../chance/random.js';
import {thresholdSample} from '../placement/key-sample.js';
import {type Millis} from '../time/clock.js';

export type KeyTraffic = {
	/** Requests a second, by key. */
	readonly rates: ReadonlyMap<number, number>;
	/** How long a request runs at a server that is not full, in ms, by server. */
	readonly runMs: ReadonlyMap<string, Millis>;
};

/** Long enough to see a few dozen requests on a small site, short enough to notice quickly when a key becomes busy. */
export const trafficWindowMs: Millis = 3000;
/** Rates are not extrapolated from a shorter time than this. */
const minSpanMs: Millis = 1000;
/** Most keys that one daemon reports: a few kB, and more than it sees in a window on a small site. */
const maxKeys = 200;
/** Most requests kept; beyond that only the newer half stays. Enough for several thousand a second over the window. */
const maxRequests = 20_000;
const secondMs: Millis = 1000;

type KeyRequest = {readonly key: number; readonly at: Millis};

/** Records the keys of the requests that one daemon handles. */
export class KeyRecorder {
	#requests: KeyRequest[] = [];
	#firstAt: Millis | undefined;

	constructor(private readonly random: Random) {}

	record(key: number, now: Millis): void {
		this.#firstAt ??= now;
		this.#requests.push({key, at: now});
		if (this.#requests.length > maxRequests) {
			this.#requests = this.#recent(now);
		}
	}

	/** Requests a second, by key, over the last few seconds; a random sample if there are too many keys. */
	rates(now: Millis): ReadonlyMap<number, number> {
		this.#requests = this.#recent(now);
		const counts = new Map<number, number>();
		for (const {key} of this.#requests) {
			counts.set(key, (counts.get(key) ?? 0) + 1);
		}

		// Early requests would be taken for few if they counted for the whole window.
		const observedMs = now - (this.#firstAt ?? now);
		const spanMs = Math.min(trafficWindowMs, Math.max(minSpanMs, observedMs));
		const sample = thresholdSample(counts, maxKeys, this.random.fraction());
		return new Map(
			[...sample].map(([key, count]) => [key, (count * secondMs) / spanMs]),
		);
	}

	#recent(now: Millis): KeyRequest[] {
		return this.#requests
			.filter(({at}) => now - at < trafficWindowMs)
			.slice(-maxRequests / 2);
	}
}

/** The traffic of all daemons: the sum of their rates and the mean of their run times. */
export function totalTraffic(parts: readonly KeyTraffic[]): KeyTraffic {
	const rates = new Map<number, number>();
	const runTimes = new Map<string, readonly Millis[]>();
	for (const part of parts) {
		for (const [key, rate] of part.rates) {
			rates.set(key, (rates.get(key) ?? 0) + rate);
		}

		for (const [server, runMs] of part.runMs) {
			runTimes.set(server, [...(runTimes.get(server) ?? []), runMs]);
		}
	}

	const runMs = new Map(
		[...runTimes].map(([server, times]) => [server, mean(times)] as const),
	);
	return {rates, runMs};
}

function mean(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
}
