/**
 * The number of daemons that share what backend servers and the retry budget allow. Each
 * daemon takes one share, so that a count that is too low lets the fleet exceed the whole.
 * Daemons withdraw their entries when they stop and write them again when they start, and
 * entries are read late: daemons that restart one after another may be missing from a list
 * though they run. So the count falls only after a while, and rises at once.
 */
import {type Millis} from '../time/clock.js';

/** Longer than a planned stop, the start after it, and the time until lists show both. */
const memoryMs: Millis = 30_000;

type Count = {readonly count: number; readonly at: Millis};

export class FleetSize {
	/** Counts in falling order; each is the highest since it was read. */
	#counts: readonly Count[] = [];

	/** Records how many daemons are listed; returns how many share at present, at least one. */
	update(listed: number, now: Millis): number {
		const count = Math.max(1, listed);
		const higher = this.#counts.filter(
			(earlier) => earlier.count > count && now - earlier.at < memoryMs,
		);
		this.#counts = [...higher, {count, at: now}];
		return this.#counts[0].count;
	}
}
