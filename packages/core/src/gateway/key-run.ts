/** Contiguous runs of one range's keys, of which a plan chooses one to move. */
import {lenOf, type KeyRange} from './key-range.js';
import {totalRate, type RatedKeys} from './rated-keys.js';

/** A contiguous part of one range, and the requests a second for its keys. */
export type KeyRun = {
	readonly from: number;
	readonly to: number;
	readonly holder: KeyRange;
	readonly rate: number;
};

/** For each requested key, the longest run from it with at most `maxRate`; extended to the ends of the range where it includes all requests up to there. */
export function runsUpTo(
	holder: KeyRange,
	keys: RatedKeys,
	maxRate: number,
): readonly KeyRun[] {
	const runs: KeyRun[] = [];
	let end = 0;
	let rate = 0;
	for (const [start, [firstKey, firstRate]] of keys.entries()) {
		while (end < keys.length && rate + keys[end][1] <= maxRate) {
			rate += keys[end][1];
			end++;
		}

		if (end > start) {
			const from = start === 0 ? holder.from : firstKey;
			const to = end === keys.length ? holder.to : keys[end - 1][0];
			runs.push({from, to, holder, rate});
			rate -= firstRate;
		} else {
			end = start + 1;
			rate = 0;
		}
	}

	return runs;
}

/** The whole range, each requested key, and both sides of every split next to one of them. */
export function runsOf(holder: KeyRange, keys: RatedKeys): readonly KeyRun[] {
	const total = totalRate(keys);
	const runs: KeyRun[] = [
		{from: holder.from, to: holder.to, holder, rate: total},
	];
	let rate = 0;
	for (const [key, keyRate] of keys) {
		runs.push({from: key, to: key, holder, rate: keyRate});
		if (key > holder.from) {
			runs.push({from: key, to: holder.to, holder, rate: total - rate});
		}

		rate += keyRate;
		if (key < holder.to) {
			runs.push({from: holder.from, to: key, holder, rate});
		}
	}

	return runs;
}

/** The run of the highest value, and of these the shortest. */
export function highestOf(
	runs: readonly KeyRun[],
	value: (run: KeyRun) => number,
): KeyRun | undefined {
	let best: {readonly run: KeyRun; readonly value: number} | undefined;
	for (const run of runs) {
		const current = value(run);
		if (
			!best ||
			current > best.value ||
			(current === best.value && lenOf(run) < lenOf(best.run))
		) {
			best = {run, value: current};
		}
	}

	return best?.run;
}

/** Whether keys of the range remain on both sides of the run. */
export function isInner({from, to, holder}: KeyRun): boolean {
	return from > holder.from && to < holder.to;
}
