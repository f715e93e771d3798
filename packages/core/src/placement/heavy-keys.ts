/**
 * The heaviest keys of a stream of requests, as a Misra-Gries summary (the counters of
 * Space-Saving less its error): a bounded number of keys, whose counts are never too
 * high. A key with more than one in `maxHeavyKeys + 1` requests is always included.
 * Requests are added in batches, so that each costs little more than incrementing a
 * counter.
 */

/** Maximum number of keys in a summary, and of different keys in a batch. */
export const maxHeavyKeys = 1024;

/** Length in characters of the longest key that can be hot; longer keys stay with their slice. */
export const maxHotKeyLen = 64;

export class HeavyKeys {
	static readonly empty = new HeavyKeys(new Map());

	private constructor(
		/** Requests by key: never too high, and too low by at most all requests / (`maxHeavyKeys` + 1). */
		readonly counts: ReadonlyMap<string, number>,
	) {}

	/** The summary with a batch of requests by key added. */
	withBatch(batch: ReadonlyMap<string, number>): HeavyKeys {
		const counts = new Map(this.counts);
		for (const [key, count] of batch) {
			counts.set(key, (counts.get(key) ?? 0) + count);
		}

		return new HeavyKeys(
			counts.size > maxHeavyKeys ? reducedCounts(counts, maxHeavyKeys) : counts,
		);
	}
}

/** Subtracts the count ranked just after the `maxKeys` heaviest from all counts; at most `maxKeys` remain. */
function reducedCounts(
	counts: ReadonlyMap<string, number>,
	maxKeys: number,
): ReadonlyMap<string, number> {
	const sorted = Float64Array.from(counts.values()).sort();
	const threshold = sorted[sorted.length - 1 - maxKeys];
	const remaining = new Map<string, number>();
	for (const [key, count] of counts) {
		if (count > threshold) {
			remaining.set(key, count - threshold);
		}
	}

	return remaining;
}
