/**
 * Tracks the grants of keys that one run of a backend server may have taken, as seen by
 * the keeper of the keys. A server may process a grant seconds after the sender gave up
 * waiting for the answer, and even after the server has released the same keys. It
 * refuses a grant only once it has seen a higher fencing token on one of the keys. So a
 * release is final if every unanswered grant has a lower fencing token than a grant that
 * the server is known to have taken.
 */
import {type Millis} from '../time/clock.js';

/** A range of keys, both ends inclusive, and the fencing token of their grant. */
export type FencedKeys = {
	readonly from: number;
	readonly to: number;
	readonly fence: number;
};

/** A grant that is in flight, was not answered in time, or was taken. */
export type SentGrant = FencedKeys & {
	/** When the last possible lease under this grant has expired, on the keeper's clock. */
	readonly overAt: Millis;
	/** Whether the server confirmed that it took the grant. */
	readonly isTaken: boolean;
};

export class GrantLedger {
	static readonly empty = new GrantLedger([]);

	private constructor(private readonly grants: readonly SentGrant[]) {}

	/** The ledger with `grant` added, and without the grants that have expired by `now`. */
	with(grant: SentGrant, now: Millis): GrantLedger {
		const unexpired = this.grants.filter(({overAt}) => overAt > now);
		return new GrantLedger([...unexpired, grant]);
	}

	/** The ledger without `grant`, which can't be taken any more. */
	without(grant: SentGrant): GrantLedger {
		return new GrantLedger(this.grants.filter((other) => other !== grant));
	}

	/** When every possible lease on any of the keys has expired; -Infinity without a grant. */
	overAt(from: number, to: number): Millis {
		const ends = this.#overlapping(from, to).map(({overAt}) => overAt);
		return Math.max(-Infinity, ...ends);
	}

	/** Whether the server can take no grant of any of the keys after it has released them. */
	isReleaseFinal(from: number, to: number, now: Millis): boolean {
		const grants = this.#overlapping(from, to).filter(
			({overAt}) => overAt > now,
		);
		const takenFences = grants
			.filter((grant) => grant.isTaken && grant.from <= from && to <= grant.to)
			.map(({fence}) => fence);
		const highestFence = Math.max(-Infinity, ...takenFences);
		return grants.every(({isTaken, fence}) => isTaken || fence < highestFence);
	}

	/** The number of grants that may still be taken. */
	unansweredCount(now: Millis): number {
		return this.grants.filter(({isTaken, overAt}) => !isTaken && overAt > now)
			.length;
	}

	#overlapping(from: number, to: number): readonly SentGrant[] {
		return this.grants.filter((grant) => grant.from <= to && from <= grant.to);
	}
}
