/**
 * A successor that is ready to take over lends the guardian permission to send orders
 * for a limited time. It takes over no server that checks no fence until the loan has
 * expired.
 */
import {type Millis} from '../../time/clock.js';
import {type GuardianState} from './guardian-state.js';
import {hasReleased} from './position.js';
import {maxLocalMs} from './timing.js';

/** A guardian's request to its successor for permission at `term`. */
export type LoanRequest = {readonly from: string; readonly term: number};

/** The state that records the loan, or undefined when nothing can be lent at `term`. */
export function lend(
	state: GuardianState,
	{from, term}: LoanRequest,
	now: Millis,
): GuardianState | undefined {
	const {standing, self, edit, timing} = state;
	const {guard} = standing;
	const isDue =
		guard?.term === term && guard.guardian === from && guard.successor === self;
	if (!isDue) {
		return undefined;
	}

	if (edit !== undefined || hasReleased(state)) {
		return undefined;
	}

	const until = now + maxLocalMs(timing.loanMs, timing);
	return {...state, lent: {term, until}};
}
