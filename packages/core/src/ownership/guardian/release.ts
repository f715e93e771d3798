/** Decides whether a daemon stops sending a server orders when another daemon asks it to. */
import {type Millis} from '../../time/clock.js';
import {type Succession} from '../succession.js';
import {type GuardianState} from './guardian-state.js';
import {serverLastHeardAt, isFenced, positionOf} from './position.js';

/** Another daemon's request to send the server no orders at any term up to `term`. */
export type ReleaseRequest = {
	readonly from: string;
	readonly term: number;
	readonly plan: Succession['rows'];
};

/** The promise, with the remaining lease and the version of this daemon's table, or a refusal. */
export type ReleaseAnswer =
	| {
			readonly kind: 'released';
			/** How long a lease granted by this daemon may still run. */
			readonly leaseLeftMs: Millis;
			readonly tableVersion: number;
	  }
	| {readonly kind: 'refused'; readonly reason: string};

/** Answers the request; the new state records the promise. */
export function answerReleaseRequest(
	state: GuardianState,
	{from, term, plan}: ReleaseRequest,
	now: Millis,
): {readonly state: GuardianState; readonly answer: ReleaseAnswer} {
	const reason = refusalReason(state, term, now);
	if (reason !== undefined) {
		return {state, answer: {kind: 'refused', reason}};
	}

	const {standing, leaseOverAt, released} = state;
	const answer = {
		kind: 'released',
		leaseLeftMs: Math.max(0, leaseOverAt - now),
		tableVersion: standing.tableVersion,
	} as const;
	const promise =
		released && released.term >= term ? released : {term, to: from, plan};
	return {state: {...state, released: promise}, answer};
}

function refusalReason(
	state: GuardianState,
	term: number,
	now: Millis,
): string | undefined {
	const currentTerm = state.standing.guard?.term ?? 0;
	if (term < currentTerm) {
		return `term ${currentTerm} is in force`;
	}

	// The asker has written a higher term, so no edit decided below it can be stored.
	if (term > currentTerm) {
		return state.succession ? 'a succession is published' : undefined;
	}

	if (state.edit) {
		return 'a change of the table is under way';
	}

	if (state.succession) {
		return 'a succession is published';
	}

	const position = positionOf(state);
	if (!position) {
		return undefined;
	}

	if (position.rank === 1) {
		return 'taken over by rank';
	}

	const isServerHeard = now - serverLastHeardAt(state) < state.timing.silenceMs;
	return isServerHeard && !isFenced(state, position)
		? 'holds the lease'
		: undefined;
}
