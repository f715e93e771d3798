/**
 * What each row counts for in balancing: a hot key's row what its key has, which
 * its slice loses; a row that is free, or that waits for its guardian, nothing.
 */
import {slicesOf} from '../ownership/hot-keys.js';
import {sliceOf} from '../ownership/slice.js';
import {type SliceTable} from '../ownership/slice-table.js';
import {type Situation} from './situation.js';
import {sliceWeights, measuredLoad} from './slice-weights.js';

export type RowWeights = {
	/** Weights by row; they sum to 1. */
	readonly rows: readonly number[];
	/** Weights of the heaviest keys, with a row or not. */
	readonly keys: ReadonlyMap<string, number>;
};

/** Weights of the rows of the table, or of the service's slices before there is one. */
export function rowWeights(situation: Situation): RowWeights {
	const {service, table, keys: counts} = situation;
	const count = table ? slicesOf(table) : service.slices;
	const {total, measured} = measuredLoad(count, situation);
	const factor = total > 0 ? measured / total : 0;
	const keys = new Map(
		[...counts].map(([key, load]) => [key, load * factor] as const),
	);
	const least = (1 - measured) / count;
	const slices = sliceWeights(count, situation);
	const rows = table ? splitOffHotKeys(table, slices, {keys, least}) : slices;
	return {rows, keys};
}

function splitOffHotKeys(
	{rows, hot}: SliceTable,
	slices: readonly number[],
	{
		keys,
		least,
	}: {
		readonly keys: RowWeights['keys'];
		/** What any slice counts for at least. */
		readonly least: number;
	},
): readonly number[] {
	const weights = [...slices];
	for (const [at, {key}] of (hot ?? []).entries()) {
		const isInUse = key !== '' && rows[slices.length + at].owner !== '';
		const slice = sliceOf(key, slices.length);
		const spare = Math.max(0, weights[slice] - least);
		const weight = isInUse ? Math.min(spare, keys.get(key) ?? 0) : 0;
		weights[slice] -= weight;
		weights.push(weight);
	}

	return weights;
}
