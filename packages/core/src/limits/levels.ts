/**
 * The levels of homes. In a small fleet each contract has a single home. In a
 * large fleet a daemon lends to a home in its own failure domain, and that home
 * lends what its daemons leave over to one home of the fleet.
 *
 * A grant or loan that backs another outlasts it by `graceMs`, in which one ask may
 * be lost. A domain's grants expire before the fleet's grants that back them, and a
 * daemon's loan lasts longer than the loan that its home makes from it.
 */
import {type Millis} from '../time/clock.js';
import {type LoanTerms} from './terms.js';

export type Level = 'single' | 'domain' | 'fleet';

export const levels: readonly Level[] = ['single', 'domain', 'fleet'];

/** The terms of each level. */
export type LevelTerms = Readonly<Record<Level, LoanTerms>>;

const askSlowdown = 5;
const graceShare = 2.5;
const reclaimShare = 0.01;

/**
 * The terms of all levels, derived from those of the single level. Grants and
 * promises are derived only from times that are the same on all daemons.
 */
export function levelTermsOf(single: LoanTerms): LevelTerms {
	const {askMs, grantMs, promiseMs} = single;
	const graceMs: Millis = graceShare * Math.max(grantMs, promiseMs - grantMs);
	const common = {
		...single,
		askMs: askSlowdown * askMs,
		idleMs: 0,
		evenGrantShare: 0,
		returnsEarly: true,
	};
	return {
		single,
		domain: {
			...common,
			grantMs: graceMs,
			relendMs: 2 * graceMs,
			promiseMs: 4 * graceMs,
			idleAskMs: 2 * graceMs,
			idleMs: 4 * graceMs,
			reclaimShare,
		},
		fleet: {
			...common,
			grantMs: 2 * graceMs,
			promiseMs: 3 * graceMs,
			idleAskMs: common.askMs,
			amplyKeptShare: single.minKeptShare,
		},
	};
}

/** The longest time that a daemon's loan at this level lasts after its last answer. */
export function longestPromiseMs({promiseMs, idleMs}: LoanTerms): Millis {
	return promiseMs + idleMs;
}
