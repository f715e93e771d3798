/** Reassigns the slices of a lost server. */
import {type Millis} from '../../time/clock.js';
import {type Guard} from '../slice-table.js';
import {type Succession} from '../succession.js';
import {allLeasesOverAt, missingConsents, nextGuard} from './consent.js';
import {type GuardianAction, type Step} from './guardian-action.js';
import {type GuardianState, type Plan} from './guardian-state.js';
import {takeoverGuard} from './guard-change.js';
import {needsGrantChange} from './order-for.js';
import {serverLastHeardAt, isOtherRun, type Position} from './position.js';

const suspectLeaseShare = 0.55;
const askIntervalMs: Millis = 100;

/** Whether the server may be lost, so that releases should be requested. */
export function isSuspect(state: GuardianState, now: Millis): boolean {
	const {standing, timing, storeUp} = state;
	if (standing.rows.length === 0) {
		return false;
	}

	return isOtherRun(state)
		? standing.guard!.incarnation !== '' && !storeUp
		: now - serverLastHeardAt(state) > timing.leaseMs * suspectLeaseShare;
}

/** Asks for the releases that are missing; reassigns the slices once all are in and the lease is over. */
export function lossStep(state: GuardianState, now: Millis): Step {
	const missing = missingConsents(state, state.storeUp);
	if (missing.length > 0) {
		return askForReleases(state, missing, now);
	}

	// A pending write may still reach the store after a succession and undo it.
	const mayMove = state.edit === undefined && now > allLeasesOverAt(state);
	if (!mayMove) {
		return {state, actions: []};
	}

	return state.storeUp ? evacuationStep(state, {}) : publicationStep(state);
}

/** Writes the loss and the new owners to the store, under the next term. */
export function evacuationStep(
	state: GuardianState,
	change: Partial<Guard>,
	plan: Succession['rows'] = planOf(state).rows,
): Step {
	const {server, standing, peers} = state;
	const edit = {
		kind: 'evacuate',
		server,
		term: standing.guard!.term,
		guard: nextGuard(state, {...change, lost: true}),
		plan,
		servers: peers.servers,
	} as const;
	return {
		state: {...state, edit, plan: planOf(state)},
		actions: [{kind: 'edit', edit, reason: 'server-lost'}],
	};
}

/** Publishes the new owners by the plan alone, without the store. */
export function publicationStep(state: GuardianState): Step {
	const {service, server, standing} = state;
	const {term, rows: planned} = planOf(state);
	// The plan does not apply to rows that have changed since it was fixed.
	const rows = planned.filter(({slice, epoch}) =>
		standing.rows.some((row) => row.slice === slice && row.epoch + 1 === epoch),
	);
	if (rows.length === 0 || term !== standing.guard!.term) {
		return {state, actions: []};
	}

	const succession = {service, server, term, rows};
	return {
		state: {...state, succession},
		actions: [{kind: 'publish', succession}],
	};
}

/**
 * A daemon that has released the term carries out the asker's plan itself, once
 * the asker is proved gone.
 */
export function completionStep(state: GuardianState, now: Millis): Step {
	const {released, storeUp, edit, peers} = state;
	const mayWrite = storeUp && edit === undefined;
	if (!mayWrite || !released || !peers.goneAt.has(released.to)) {
		return {state, actions: []};
	}

	const missing = missingConsents(state, true);
	if (missing.length > 0) {
		return askForReleases(state, missing, now);
	}

	return now > allLeasesOverAt(state)
		? evacuationStep(state, takeoverGuard(state), released.plan)
		: {state, actions: []};
}

/**
 * A daemon that has taken over by rank may not change what the server holds until
 * the guardian has released the term. Asks for that release when the grants need a
 * change, for example after a succession that made this server an owner.
 */
export function grantChangeStep(
	state: GuardianState,
	position: Position,
	now: Millis,
): Step {
	const {reading, storeUp} = state;
	const needsReleases =
		position.rank === 1 &&
		!storeUp &&
		reading?.taken === true &&
		needsGrantChange(state, reading);
	const missing = needsReleases ? missingConsents(state, false) : [];
	return missing.length > 0
		? askForReleases(state, missing, now)
		: {state, actions: []};
}

function planOf({plan, standing}: GuardianState): Plan {
	const {term} = standing.guard!;
	if (plan?.term === term) {
		return plan;
	}

	const rows = standing.rows
		.filter(({standby}) => standby !== '' && !standing.lost.has(standby))
		.map(({slice, epoch, standby}) => ({
			slice,
			owner: standby,
			epoch: epoch + 1,
		}));
	return {term, rows};
}

function askForReleases(
	state: GuardianState,
	daemons: readonly string[],
	now: Millis,
): Step {
	if (now - state.askedAt < askIntervalMs) {
		return {state, actions: []};
	}

	const plan = planOf(state);
	const actions = daemons.map((of): GuardianAction => ({
		kind: 'ask-release',
		of,
		term: plan.term,
		plan: plan.rows,
	}));
	return {state: {...state, askedAt: now, plan}, actions};
}
