/**
 * Bounds the keys that are moved to even out the load, since each moved key is not served
 * for a moment. A keeper that has moved none for a while may move many at once: a
 * deployment that starts, or whose servers change, needs that.
 */
import {type Millis} from '../time/clock.js';
import {maxKey} from './key-range.js';

/** Daemons from which on moves are bounded if the settings don't say: the keepers of smaller deployments have few keys with load to move. */
const manyDaemons = 16;
/** For these: all keys in 100 s. On scaled-down days, moving all keys once cost 0.02 to 0.04 of a day's value. */
const defaultShare = 0.01;
/** A budget that is not used adds up for this long: to 0.3 of all keys by default, which evens out servers of three speeds. */
const savedMs: Millis = 30_000;
const secondMs: Millis = 1000;

/** The share of all keys that may move in a second; `setting` is that of the operators. */
export function movedKeysShare(
	setting: number | undefined,
	daemons: number,
): number {
	return setting ?? (daemons < manyDaemons ? Infinity : defaultShare);
}

export class MoveBudget {
	/** Keys moved that the budget has not made up for yet, as of `#at`. */
	#spent = 0;
	#at: Millis = 0;

	/** The number of keys that may move now, at a budget of `share` of all keys a second. */
	left(share: number, now: Millis): number {
		const keysPerMs = (share * (maxKey + 1)) / secondMs;
		if (keysPerMs === Infinity) {
			return Infinity;
		}

		this.#spent = Math.max(0, this.#spent - (now - this.#at) * keysPerMs);
		this.#at = now;
		return Math.max(0, Math.floor(keysPerMs * savedMs - this.#spent));
	}

	spend(keys: number): void {
		this.#spent += keys;
	}
}
