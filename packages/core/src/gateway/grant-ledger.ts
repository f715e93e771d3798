/**
 * The grants of keys that one run of a server may have taken, as the keeper of the keys
 * knows them. A server may carry a grant out seconds after its sender gave up waiting,
 * and after it has released the same keys. It refuses a grant only once it has seen a
 * higher fence on one of its keys, so a release is final where every grant that is still
 * without an answer has a lower fence than one that the server is known to have taken.
 */
import {type Millis} from '../time/clock.js';

/** Keys, both ends inclusive, and the fence by which they were granted. */
export type FencedKeys = {
	readonly from: number;
	readonly to: number;
	readonly fence: number;
};

/** A grant on its way, left without an answer, or taken. */
export type SentGrant = FencedKeys & {
	/** When no lease by it can last any more, on the keeper's clock. */
	readonly overAt: Millis;
	/** Whether the server said that it took the grant. */
	readonly isTaken: boolean;
};

export class GrantLedger {
	static readonly empty = new GrantLedger([]);

	private constructor(private readonly grants: readonly SentGrant[]) {}

	/** With one more grant; those that are over by `now` are forgotten. */
	with(grant: SentGrant, now: Millis): GrantLedger {
		const running = this.grants.filter(({overAt}) => overAt > now);
		return new GrantLedger([...running, grant]);
	}

	/** Without a grant that can't be taken any more. */
	without(grant: SentGrant): GrantLedger {
		return new GrantLedger(this.grants.filter((one) => one !== grant));
	}

	/** When no lease on any of the keys can last any more. */
	overAt(from: number, to: number): Millis {
		const ends = this.#on(from, to).map(({overAt}) => overAt);
		return Math.max(-Infinity, ...ends);
	}

	/** Whether no grant of any of the keys can be taken after the server has released them. */
	isReleaseFinal(from: number, to: number, now: Millis): boolean {
		const grants = this.#on(from, to).filter(({overAt}) => overAt > now);
		const seen = grants
			.filter((one) => one.isTaken && one.from <= from && to <= one.to)
			.map(({fence}) => fence);
		const least = Math.max(-Infinity, ...seen);
		return grants.every(({isTaken, fence}) => isTaken || fence < least);
	}

	/** Grants that may be taken still. */
	open(now: Millis): number {
		return this.grants.filter(({isTaken, overAt}) => !isTaken && overAt > now)
			.length;
	}

	#on(from: number, to: number): readonly SentGrant[] {
		return this.grants.filter((one) => one.from <= to && from <= one.to);
	}
}
