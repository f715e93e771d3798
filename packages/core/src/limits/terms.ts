/** The parameters of lending shares of a limit: times in ms, and parts in [0, 1]. */
import {type Millis} from '../time/clock.js';

export type LoanTerms = {
	/** The time between two asks of one daemon. */
	readonly askMs: Millis;
	/** How long a granted share may be used, counted from when the ask was sent. */
	readonly grantMs: Millis;
	/** How long a daemon doesn't use what it has lent, counted from the arrival of the home's answer. */
	readonly promiseMs: Millis;
	/** How much longer than a grant a loan must last to count, where the home lends it on to another home. */
	readonly relendMs: Millis;
	/** The time between two asks of a daemon that uses nothing. */
	readonly idleAskMs: Millis;
	/** How much longer such an idle daemon doesn't use what it has lent. */
	readonly idleMs: Millis;
	/** How long the current home is still asked once another home is preferred. */
	readonly homeSwitchDelayMs: Millis;
	/** The part of its own share that a daemon never lends, in [0, 1]. */
	readonly minKeptShare: number;
	/** The part of its own share that a daemon must have left over in addition, if no daemon is to count as short. */
	readonly minRoomShare: number;
	/** The part of its own share that a daemon keeps while none is short: at most 1, and at least the part that it never lends. */
	readonly amplyKeptShare: number;
	/** The part of its own share by which what a daemon keeps may grow with one ask. */
	readonly reclaimShare: number;
	/** The part of the undemanded rest that a home grants evenly to all. What the home withholds can go to new demand at once. */
	readonly evenGrantShare: number;
	/** Whether a lender returns the unneeded part of a grant before the grant expires. */
	readonly returnsEarly: boolean;
	/** How far two clocks may drift apart, as a fraction of the time passed. */
	readonly maxDrift: number;
};

export const defaultLoanTerms: LoanTerms = {
	askMs: 200,
	grantMs: 1000,
	promiseMs: 2000,
	relendMs: 0,
	idleAskMs: 200,
	idleMs: 0,
	homeSwitchDelayMs: 5000,
	minKeptShare: 0.1,
	minRoomShare: 0.1,
	amplyKeptShare: 0.7,
	reclaimShare: 0.02,
	evenGrantShare: 1,
	returnsEarly: false,
	maxDrift: 0.002,
};
