/**
 * Request hedging: when a second attempt is sent alongside the first, and which of the
 * two decides the outcome.
 */
import {type Millis} from '../time/clock.js';
import {type AttemptEnd} from './attempt-end.js';
import {type RetryState} from './retry-state.js';

/** The circumstances when the first attempt is sent. */
export type HedgeConditions = {
	/** How late an answer must be before a hedge is sent; undefined for no hedge. */
	readonly delayMs: Millis | undefined;
	/** How long the first attempt may take, in ms. */
	readonly timeoutMs: Millis;
	/** Whether the whole body is in memory, so that two attempts can send it at once. */
	readonly holdsBody: boolean;
	/** The number of servers not tried yet, without that of the first attempt. */
	readonly others: number;
	/** Whether the request was in flight when a server crashed. */
	readonly suspect: boolean;
};

/**
 * How long after the first attempt a second one is sent, or undefined if none is. The
 * second has at least as much time for its answer as the first had before the second.
 */
export function hedgeDelayMs(
	retryState: RetryState,
	{delayMs, timeoutMs, holdsBody, others, suspect}: HedgeConditions,
): Millis | undefined {
	const isAllowed = retryState.mayHedge && holdsBody && !suspect && others > 0;
	return isAllowed && delayMs !== undefined && 2 * delayMs <= timeoutMs
		? delayMs
		: undefined;
}

/** Precedence of the ends of two concurrent attempts: the one that says most about the request is highest. */
const precedence: Readonly<Record<AttemptEnd['kind'], number>> = {
	answered: 5,
	cut: 4,
	lost: 3,
	declined: 2,
	unsent: 1,
	cancelled: 0,
};

/** Of concurrent attempts, the one whose end decides the outcome: an answer first, then one that may have run. */
export function decisiveAttempt<T extends {readonly end: AttemptEnd}>(
	attempts: readonly [T, ...T[]],
): T {
	let [best] = attempts;
	for (const attempt of attempts) {
		if (precedence[attempt.end.kind] > precedence[best.end.kind]) {
			best = attempt;
		}
	}

	return best;
}
