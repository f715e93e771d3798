/**
 * The heaviest keys of a stream of requests, by the Misra-Gries summary (the same
 * counters as Space-Saving's, less its error): a bounded number of keys, each with
 * no more than it was asked for. Requests are taken in by the batch, so that each
 * costs little more than a count; a key with more than one request in
 * `maxHeavyKeys + 1` is always among them.
 */

/** Keys in a summary, and different keys in a batch. */
export const maxHeavyKeys = 1024;

/** Characters of the longest key that can be hot; longer ones stay with their slice. */
export const maxHotKeyLen = 64;

export class HeavyKeys {
	static readonly empty = new HeavyKeys(new Map());

	private constructor(
		/** Requests by key, never too many; short by at most all requests / (`maxHeavyKeys` + 1). */
		readonly counts: ReadonlyMap<string, number>,
	) {}

	/** With a batch of requests by key taken in. */
	with(batch: ReadonlyMap<string, number>): HeavyKeys {
		const counts = new Map(this.counts);
		for (const [key, count] of batch) {
			counts.set(key, (counts.get(key) ?? 0) + count);
		}

		return new HeavyKeys(
			counts.size > maxHeavyKeys ? reducedCounts(counts, maxHeavyKeys) : counts,
		);
	}
}

/** All counts less the one that comes after the first `most`; at most that many are left. */
function reducedCounts(
	counts: ReadonlyMap<string, number>,
	most: number,
): ReadonlyMap<string, number> {
	const sorted = Float64Array.from(counts.values()).sort();
	const cut = sorted[sorted.length - 1 - most];
	const left = new Map<string, number>();
	for (const [key, count] of counts) {
		if (count > cut) {
			left.set(key, count - cut);
		}
	}

	return left;
}
