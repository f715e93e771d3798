/**
 * The weight of each slice in balancing: its measured load blended with an even
 * share. The fewer requests were measured, the more the even share counts.
 */
import {type Situation} from './situation.js';

/** Weights by slice; they sum to 1. */
export function sliceWeights(
	count: number,
	situation: Pick<Situation, 'loads' | 'policy'>,
): readonly number[] {
	const {loads} = situation;
	const {total, measuredShare} = measuredLoad(count, situation);
	return Array.from({length: count}, (_, slice) => {
		const share = total > 0 ? (loads.get(slice) ?? 0) / total : 0;
		return (1 - measuredShare) / count + measuredShare * share;
	});
}

/** The total of the requests counted on `count` slices, and the fraction of the weights that is based on them. */
export function measuredLoad(
	count: number,
	{loads, policy}: Pick<Situation, 'loads' | 'policy'>,
): {readonly total: number; readonly measuredShare: number} {
	let total = 0;
	for (const [slice, load] of loads) {
		total += slice < count ? load : 0;
	}

	const {idleShare, priorLoad} = policy;
	const trust = total / (total + priorLoad * count);
	return {total, measuredShare: (1 - idleShare) * trust};
}
