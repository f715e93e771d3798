/**
 * The two messages of lending: an ask, in which a lender reports its loan and its
 * demand to a home, and the home's answer with a grant. Shares are fractions of
 * the limit.
 */
import {type Millis} from '../time/clock.js';

/** The ask of one lender: a daemon, or the home of a failure domain. */
export type LoanAsk = {
	/** The lender. A daemon's is its VM, the same over restarts, so that a VM's share is counted only once. */
	readonly vm: string;
	/** The clock reading in the last answer; absent before the first answer. */
	readonly echo?: Millis;
	/** The fraction of the limit that it lends. */
	readonly lent: number;
	/** The fraction of the limit that it could use now beyond its own share. */
	readonly demand: number;
	/** What would be left of its own share if it kept as much as it does while no daemon is short; below 0 if it is short itself. */
	readonly room: number;
	/** Whether it uses nothing, and so promises what it lends for longer. */
	readonly idle?: boolean;
	/** The cap that it has put on all grants whose readings are not later than the echo; absent if it has capped none. */
	readonly keeps?: number;
};

/** A home's answer to an ask. */
export type LoanAnswer = {
	/** The home's clock when it answered. */
	readonly reading: Millis;
	/** The fraction of the limit granted, for `grantMs` from when the ask was sent. */
	readonly granted: number;
	/** Whether no daemon would be short even if every daemon kept `amplyKeptShare` of its own share. */
	readonly roomy: boolean;
};
