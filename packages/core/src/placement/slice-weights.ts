/**
 * What each slice counts for in balancing: its measured load, blended with an
 * even share, which weighs more the less has been measured.
 */
import {type Situation} from './situation.js';

/** Weights by slice; they sum to 1. */
export function sliceWeights(
	count: number,
	situation: Pick<Situation, 'loads' | 'policy'>,
): readonly number[] {
	const {loads} = situation;
	const {total, measured} = measuredLoad(count, situation);
	return Array.from({length: count}, (_, slice) => {
		const share = total > 0 ? (loads.get(slice) ?? 0) / total : 0;
		return (1 - measured) / count + measured * share;
	});
}

/** All requests counted on `count` slices, and which part of the weight follows them. */
export function measuredLoad(
	count: number,
	{loads, policy}: Pick<Situation, 'loads' | 'policy'>,
): {readonly total: number; readonly measured: number} {
	let total = 0;
	for (const [slice, load] of loads) {
		total += slice < count ? load : 0;
	}

	const {idleShare, priorLoad} = policy;
	const trust = total / (total + priorLoad * count);
	return {total, measured: (1 - idleShare) * trust};
}
