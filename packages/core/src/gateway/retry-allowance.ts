/**
 * The retries that one daemon may add to the load of a service: in any window a share of
 * the successes of that window or the one before, whichever has more, and a fixed number
 * besides. Answers the load of keys that move in a large fleet: a daemon with a few
 * requests a second meets several declined ones at once, seldom, and earlier successes
 * allow for them. During a widespread failure no successes do.
 */
import {type Millis} from '../time/clock.js';

export type RetryBounds = {
	/** Retries allowed for each success. */
	readonly share: number;
	readonly windowMs: Millis;
};

/** Windows are counted in this many parts. */
const windowParts = 10;

export class RetryAllowance {
	readonly #successes: PartCounts;
	readonly #retries: PartCounts;

	constructor(private readonly bounds: RetryBounds) {
		const partMs = bounds.windowMs / windowParts;
		this.#successes = new PartCounts(partMs);
		this.#retries = new PartCounts(partMs);
	}

	/** Whether one more retry is allowed now. `slack` is how many are in a window without any success. */
	hasRetry(slack: number, now: Millis): boolean {
		const successes = Math.max(
			this.#successes.inParts(0, windowParts, now),
			this.#successes.inParts(windowParts, windowParts, now),
		);
		const allowed = slack + this.bounds.share * successes;
		// The part under way is not over, so a whole window reaches into one part more.
		return this.#retries.inParts(0, windowParts + 1, now) + 1 <= allowed;
	}

	recordSuccess(now: Millis): void {
		this.#successes.add(now);
	}

	recordRetry(now: Millis): void {
		this.#retries.add(now);
	}
}

/** Counts of events by part of a window, for two windows. */
class PartCounts {
	readonly #counts = new Map<number, number>();

	constructor(private readonly partMs: Millis) {}

	add(now: Millis): void {
		const part = Math.floor(now / this.partMs);
		const count = this.#counts.get(part);
		this.#counts.set(part, (count ?? 0) + 1);
		if (count === undefined) {
			this.#forget(part - 2 * windowParts);
		}
	}

	/** The events in `parts` parts, the last of which is the one `partsAgo` before the part under way. */
	inParts(partsAgo: number, parts: number, now: Millis): number {
		const last = Math.floor(now / this.partMs) - partsAgo;
		let count = 0;
		for (let part = last - parts + 1; part <= last; part++) {
			count += this.#counts.get(part) ?? 0;
		}

		return count;
	}

	/** Drops the counts of the parts up to `last`. */
	#forget(last: number): void {
		for (const part of this.#counts.keys()) {
			if (part <= last) {
				this.#counts.delete(part);
			}
		}
	}
}
