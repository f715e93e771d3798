/** A token bucket that limits moves for balance. It starts empty, so that a new planner causes no burst of moves. */
import {type Millis} from '../time/clock.js';
import {type PlacementPolicy} from './policy.js';

export type ChurnBudget = {
	readonly tokens: number;
	readonly at: Millis;
};

/** An empty budget that starts to refill at `now`. */
export function emptyBudget(now: Millis): ChurnBudget {
	return {tokens: 0, at: now};
}

/** The budget at `now`, with the tokens earned since its last refill. */
export function refilled(
	{tokens, at}: ChurnBudget,
	now: Millis,
	{movesPerSecond, moveBurst}: PlacementPolicy,
): ChurnBudget {
	const earned = (Math.max(0, now - at) * movesPerSecond) / 1000;
	return {tokens: Math.min(moveBurst, tokens + earned), at: now};
}

/** The budget less `moves` tokens. */
export function spent(budget: ChurnBudget, moves: number): ChurnBudget {
	return {...budget, tokens: budget.tokens - moves};
}
