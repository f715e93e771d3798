/**
 * When the long polls of a daemon are checked. Each poll has an interval of its own, and
 * all of them together are never without a check for longer than `gapMs`: if all open
 * connections have gone silent, the next check of any poll shows it for all of them.
 */
import {type Millis} from '../time/clock.js';

/** Left for a check that goes unanswered to be noticed, and for the calls that follow it. */
const noticeMs: Millis = 1500;
const minGapMs: Millis = 500;
/** An answer that takes no longer was not held up on its way. */
const promptMs: Millis = 100;

export class CheckPace {
	/** The pace at which a daemon notices silent connections, and reads what it has missed, within `outdatedMs`. */
	static within(outdatedMs: Millis): CheckPace {
		return new CheckPace(Math.max(minGapMs, outdatedMs - noticeMs));
	}

	#lastCheckAt: Millis = -Infinity;
	#promptSince: Millis = -Infinity;

	private constructor(
		/** Without a check of some poll for longer than this, the next is due; a daemon that others read from checks more often. */
		public gapMs: Millis,
	) {}

	/** Records that a check of any poll begins. */
	begin(now: Millis): void {
		this.#lastCheckAt = Math.max(this.#lastCheckAt, now);
	}

	/** When the last check began that was answered promptly: no answer that the store gave before is still on its way. */
	get promptSince(): Millis {
		return this.#promptSince;
	}

	/** Records that a check that began at `beganAt` has been answered. */
	answered(beganAt: Millis, now: Millis): void {
		if (now - beganAt <= promptMs) {
			this.#promptSince = Math.max(this.#promptSince, beganAt);
		}
	}

	/** When a poll that began at `startedAt`, and has `ownDueAt` for its next check, is to be checked if no other poll is before. */
	dueAt(startedAt: Millis, ownDueAt: Millis): Millis {
		return Math.min(
			ownDueAt,
			Math.max(startedAt, this.#lastCheckAt) + this.gapMs,
		);
	}
}
