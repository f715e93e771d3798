/**
 * What one daemon counted since its last report, bounded: the heaviest slices by
 * themselves and the others as one sum; and of the heaviest keys, which count for
 * no slice here, a sample that stands for all of them.
 */
import {sliceOf} from '../ownership/slice.js';
import {sampled} from './key-sample.js';

export type LoadReport = {
	/** Requests by slice, but for the heaviest keys. */
	readonly slices: ReadonlyMap<number, number>;
	/** Requests on all other slices together, again but for the heaviest keys. */
	readonly rest: number;
	/** Requests by key. */
	readonly keys: ReadonlyMap<string, number>;
};

/** What a daemon counted of a service: all requests by slice, and those of heavy keys. */
export type Counted = {
	readonly slices: ReadonlyMap<number, number>;
	readonly keys: ReadonlyMap<string, number>;
};

/** Keys that a sample is drawn from: more than there are rows, so that the next ones are known. */
const maxSampledFrom = 128;

/** A report on a service of `count` slices, of at most so many slices and keys; `chance` in [0, 1). */
export function loadReportOf(
	{slices, keys}: Counted,
	count: number,
	most: {readonly slices: number; readonly keys: number},
	chance: number,
): LoadReport {
	const heavy = new Map(
		[...keys].sort(([, a], [, b]) => b - a).slice(0, maxSampledFrom),
	);
	const others = new Map(slices);
	for (const [key, requests] of heavy) {
		const slice = sliceOf(key, count);
		others.set(slice, Math.max(0, (others.get(slice) ?? 0) - requests));
	}

	return heaviest(others, most.slices, sampled(heavy, most.keys, chance));
}

/** A report of `counts` that names at most `most` slices, and `keys`. */
export function heaviest(
	counts: ReadonlyMap<number, number>,
	most: number,
	keys: ReadonlyMap<string, number> = noKeys,
): LoadReport {
	const sorted = [...counts].sort(([, a], [, b]) => b - a);
	let rest = 0;
	for (const [, count] of sorted.slice(most)) {
		rest += count;
	}

	return {slices: new Map(sorted.slice(0, most)), rest, keys};
}

const noKeys: ReadonlyMap<string, number> = new Map();
