/**
 * Whether the platform's store was away for so long that entries of running servers may
 * have lapsed. A server renews its entry at intervals, and the entry lapses after three of
 * them without a renewal. A daemon hears from the store more often than that, so that a
 * shorter pause between two answers shows that renewals could arrive, and that an entry
 * which vanished meanwhile was removed. That does not hold for a store that has been restored
 * from a copy, however short its absence: entries that are younger than the copy are lost.
 */
import {type Millis} from '../time/clock.js';

/** With fewer intervals than this without the store, an entry is renewed before it lapses. */
const lapseIntervals = 2;

/** The time over which the store has answered without an absence. */
export type Answers = {readonly since: Millis; readonly until: Millis};

export class StoreAbsence {
	readonly #minMs: Millis;
	/** The answers since the last absence. */
	#answers: Answers | undefined;
	#returnedAt: Millis = -Infinity;

	/** `reportMs` is the interval at which servers renew their entries. */
	constructor(reportMs: Millis) {
		this.#minMs = lapseIntervals * reportMs;
	}

	/** When the store last answered again after an absence; -Infinity if it was never away. */
	get returnedAt(): Millis {
		return this.#returnedAt;
	}

	/** Records that the store has been restored from a copy. */
	restored(now: Millis): void {
		this.#returnedAt = now;
	}

	/** When the answers began after which there was no absence; undefined before the first. */
	get answersSince(): Millis | undefined {
		return this.#answers?.since;
	}

	/** Records an answer of the store. */
	answered(now: Millis): void {
		this.heardOf({since: now, until: now});
	}

	/** Records answers of the store to a peer: a pause in which this daemon alone heard nothing is no absence. */
	heardOf({since, until}: Answers): void {
		const known = this.#answers;
		if (!known) {
			this.#answers = {since, until};
		} else if (since - known.until >= this.#minMs) {
			this.#returnedAt = since;
			this.#answers = {since, until};
		} else {
			this.#answers = {
				since: known.since,
				until: Math.max(known.until, until),
			};
		}
	}
}
