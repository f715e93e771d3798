/** The requested keys of a service in ascending order, to add up the rates of ranges of them. */
import {type KeyRange} from './key-range.js';
import {type KeyTraffic} from './key-traffic.js';
import {partitionPoint} from './partition-point.js';

/** Keys in ascending order, each with its requests a second. */
export type RatedKeys = ReadonlyArray<readonly [number, number]>;

export function ratedKeysOf({rates}: KeyTraffic): RatedKeys {
	return [...rates].sort(([a], [b]) => a - b);
}

export function keysIn({from, to}: KeyRange, keys: RatedKeys): RatedKeys {
	return keys.slice(
		partitionPoint(keys, ([key]) => key < from),
		partitionPoint(keys, ([key]) => key <= to),
	);
}

/** Requests a second for the keys of all of `ranges`. */
export function rateOf(ranges: readonly KeyRange[], keys: RatedKeys): number {
	let sum = 0;
	for (const range of ranges) {
		sum += totalRate(keysIn(range, keys));
	}

	return sum;
}

export function totalRate(keys: RatedKeys): number {
	let sum = 0;
	for (const [, rate] of keys) {
		sum += rate;
	}

	return sum;
}
