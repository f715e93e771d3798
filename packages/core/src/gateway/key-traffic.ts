/**
 * What daemons see of the requests for a service's keys: how often each key is asked
 * for, and how long a request runs at each server. Every daemon records its own part;
 * the parts of all, added up, say how busy each server is with the keys it holds.
 */
import {type Random} from '../chance/random.js';
import {sampled} from '../placement/key-sample.js';
import {type Millis} from '../time/clock.js';

export type KeyTraffic = {
	/** Requests a second, by key. */
	readonly rates: ReadonlyMap<number, number>;
	/** How long a request runs at a server that is not full, in ms, by server. */
	readonly runMs: ReadonlyMap<string, Millis>;
};

/** Long enough for a few dozen requests of a small site, short enough to follow a key that turns busy. */
const windowMs: Millis = 3000;
/** Keys that one daemon reports: more than it sees in a window on a small site, a few kB. */
const maxKeys = 200;
/** Requests that are remembered; beyond it the newer half goes on, several thousand a second over the window. */
const maxAsks = 20_000;
const secondMs: Millis = 1000;

type Ask = {readonly key: number; readonly at: Millis};

/** Records which keys one daemon is asked for. */
export class KeyRecorder {
	#asks: Ask[] = [];

	constructor(private readonly random: Random) {}

	asked(key: number, now: Millis): void {
		this.#asks.push({key, at: now});
		if (this.#asks.length > maxAsks) {
			this.#asks = this.#recent(now);
		}
	}

	/** Requests a second by key, over the last few seconds. */
	rates(now: Millis): ReadonlyMap<number, number> {
		this.#asks = this.#recent(now);
		const counts = new Map<number, number>();
		for (const {key} of this.#asks) {
			counts.set(key, (counts.get(key) ?? 0) + 1);
		}

		const some = sampled(counts, maxKeys, this.random.fraction());
		return new Map(
			[...some].map(([key, count]) => [key, (count * secondMs) / windowMs]),
		);
	}

	#recent(now: Millis): Ask[] {
		return this.#asks.filter(({at}) => now - at < windowMs).slice(-maxAsks / 2);
	}
}

/** The traffic of all daemons: rates add up, run times are averaged. */
export function totalTraffic(parts: readonly KeyTraffic[]): KeyTraffic {
	const rates = new Map<number, number>();
	const runs = new Map<string, readonly Millis[]>();
	for (const part of parts) {
		for (const [key, rate] of part.rates) {
			rates.set(key, (rates.get(key) ?? 0) + rate);
		}

		for (const [server, runMs] of part.runMs) {
			runs.set(server, [...(runs.get(server) ?? []), runMs]);
		}
	}

	const runMs = new Map(
		[...runs].map(([server, all]) => [server, mean(all)] as const),
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
