/**
 * A few of many counts, such that sums over many samples are right: heavy keys
 * with their own counts, and of the light ones some, drawn by weight, each of which
 * stands for its share of all of them (threshold sampling).
 */

/** At most `most` keys; `chance` in [0, 1) decides between light ones. */
export function sampled<K>(
	counts: ReadonlyMap<K, number>,
	most: number,
	chance: number,
): ReadonlyMap<K, number> {
	if (counts.size <= most) {
		return counts;
	}

	const sorted = [...counts].sort(([, a], [, b]) => b - a);
	const {exact, step} = splitExact(sorted, most);
	const sample = new Map(sorted.slice(0, exact));
	let passed = chance * step;
	for (const [key, count] of sorted.slice(exact)) {
		passed += count;
		if (passed >= step && sample.size < most) {
			passed -= step;
			sample.set(key, Math.round(step));
		}
	}

	return sample;
}

/** How many of the first keys stand for themselves, and what each other key drawn stands for. */
function splitExact(
	sorted: ReadonlyArray<readonly [unknown, number]>,
	most: number,
): {readonly exact: number; readonly step: number} {
	let left = 0;
	for (const [, count] of sorted) {
		left += count;
	}

	let exact = 0;
	while (exact < most - 1 && sorted[exact][1] * (most - exact) > left) {
		left -= sorted[exact][1];
		exact++;
	}

	return {exact, step: left / (most - exact)};
}
