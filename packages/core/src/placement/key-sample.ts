/**
 * Threshold sampling: reduces many counts to a few, so that sums over many samples are
 * unbiased. Heavy keys are listed with their own counts; light keys are drawn with a
 * probability in proportion to their counts, and each one drawn stands for an equal
 * part of the total of the light keys.
 */

/** A sample of at most `maxKeys` keys; `chance`, a random number in [0, 1), selects the light keys. */
export function thresholdSample<K>(
	counts: ReadonlyMap<K, number>,
	maxKeys: number,
	chance: number,
): ReadonlyMap<K, number> {
	if (counts.size <= maxKeys) {
		return counts;
	}

	const sorted = [...counts].sort(([, a], [, b]) => b - a);
	const {exact, step} = splitExact(sorted, maxKeys);
	const sample = new Map(sorted.slice(0, exact));
	let accumulated = chance * step;
	for (const [key, count] of sorted.slice(exact)) {
		accumulated += count;
		if (accumulated >= step && sample.size < maxKeys) {
			accumulated -= step;
			sample.set(key, Math.round(step));
		}
	}

	return sample;
}

/** How many of the heaviest keys are listed with their own counts (`exact`), and the count that each light key drawn gets (`step`). */
function splitExact(
	sorted: ReadonlyArray<readonly [unknown, number]>,
	maxKeys: number,
): {readonly exact: number; readonly step: number} {
	let remaining = 0;
	for (const [, count] of sorted) {
		remaining += count;
	}

	let exact = 0;
	while (
		exact < maxKeys - 1 &&
		sorted[exact][1] * (maxKeys - exact) > remaining
	) {
		remaining -= sorted[exact][1];
		exact++;
	}

	return {exact, step: remaining / (maxKeys - exact)};
}
