/**
 * The weight of each row in balancing. A hot key's row has the weight of its key, which
 * is subtracted from the key's slice. A free row, or one that waits for a guardian to
 * assign its owner, has weight 0.
 */
import {sliceCount} from '../ownership/hot-keys.js';
import {sliceOf} from '../ownership/slice.js';
import {type SliceTable} from '../ownership/slice-table.js';
import {type Situation} from './situation.js';
import {sliceWeights, measuredLoad} from './slice-weights.js';

export type RowWeights = {
	/** Weights by row; they sum to 1. */
	readonly rows: readonly number[];
	/** Weights of the heaviest keys, whether they have a row or not. */
	readonly keys: ReadonlyMap<string, number>;
};

/** Weights of the table's rows, or of the service's slices if there is no table yet. */
export function rowWeights(situation: Situation): RowWeights {
	const {service, table, keys: counts} = situation;
	const count = table ? sliceCount(table) : service.slices;
	const {total, measuredShare} = measuredLoad(count, situation);
	const factor = total > 0 ? measuredShare / total : 0;
	const keys = new Map(
		[...counts].map(([key, load]) => [key, load * factor] as const),
	);
	const minWeight = (1 - measuredShare) / count;
	const slices = sliceWeights(count, situation);
	const rows = table
		? splitOffHotKeys(table, slices, {keys, minWeight})
		: slices;
	return {rows, keys};
}

/** Appends the weights of the hot keys' rows and subtracts them from the weights of their slices. */
function splitOffHotKeys(
	{rows, hot}: SliceTable,
	slices: readonly number[],
	{
		keys,
		minWeight,
	}: {
		readonly keys: RowWeights['keys'];
		/** Minimum weight of a slice. */
		readonly minWeight: number;
	},
): readonly number[] {
	const weights = [...slices];
	for (const [index, {key}] of (hot ?? []).entries()) {
		const isInUse = key !== '' && rows[slices.length + index].owner !== '';
		const slice = sliceOf(key, slices.length);
		const spare = Math.max(0, weights[slice] - minWeight);
		const weight = isInUse ? Math.min(spare, keys.get(key) ?? 0) : 0;
		weights[slice] -= weight;
		weights.push(weight);
	}

	return weights;
}
