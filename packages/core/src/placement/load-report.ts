/**
 * The requests that one daemon counted since its last report, in a report of bounded
 * size: the heaviest slices one by one, the others as one sum, and a representative
 * sample of the heaviest keys. Requests with these keys are not included in the counts
 * of the slices.
 */
import {sliceOf} from '../ownership/slice.js';
import {thresholdSample} from './key-sample.js';

export type LoadReport = {
	/** Requests by slice, without those of the heaviest keys. */
	readonly slices: ReadonlyMap<number, number>;
	/** Total requests of all other slices, also without those of the heaviest keys. */
	readonly rest: number;
	/** Requests by key, for a sample of the heaviest keys. */
	readonly keys: ReadonlyMap<string, number>;
};

/** What a daemon counted for a service: all requests by slice, and those of heavy keys by key. */
export type RequestCounts = {
	readonly slices: ReadonlyMap<number, number>;
	readonly keys: ReadonlyMap<string, number>;
};

/** Number of heaviest keys that the sample is drawn from: more than there are rows for hot keys, so that the next keys to become hot are known. */
const samplePoolLen = 128;

/** A report on a service of `count` slices that lists at most `limits` slices and keys; `chance` is a random number in [0, 1). */
export function loadReport(
	{slices, keys}: RequestCounts,
	count: number,
	limits: {readonly slices: number; readonly keys: number},
	chance: number,
): LoadReport {
	const heavy = new Map(
		[...keys].sort(([, a], [, b]) => b - a).slice(0, samplePoolLen),
	);
	const others = new Map(slices);
	for (const [key, requests] of heavy) {
		const slice = sliceOf(key, count);
		others.set(slice, Math.max(0, (others.get(slice) ?? 0) - requests));
	}

	return heaviestSlicesReport(
		others,
		limits.slices,
		thresholdSample(heavy, limits.keys, chance),
	);
}

/** A report that lists the `maxSlices` heaviest slices of `counts`, and `keys`. */
export function heaviestSlicesReport(
	counts: ReadonlyMap<number, number>,
	maxSlices: number,
	keys: ReadonlyMap<string, number> = noKeys,
): LoadReport {
	const sorted = [...counts].sort(([, a], [, b]) => b - a);
	let rest = 0;
	for (const [, count] of sorted.slice(maxSlices)) {
		rest += count;
	}

	return {slices: new Map(sorted.slice(0, maxSlices)), rest, keys};
}

const noKeys: ReadonlyMap<string, number> = new Map();
