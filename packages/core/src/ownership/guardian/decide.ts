/**
 * Decides what one daemon does for one backend server. Runs at every tick; the
 * events in between have already been applied to the state.
 */
import {type Millis} from '../../time/clock.js';
import {missingConsents} from './consent.js';
import {type GuardianAction, type Step} from './guardian-action.js';
import {type GuardianState} from './guardian-state.js';
import {
	guardChange,
	mayHaveHandedOver,
	isHandingOver,
	takeoverGuard,
	takeover,
	type EditWithReason,
} from './guard-change.js';
import {
	grantChangeStep,
	completionStep,
	evacuationStep,
	isSuspect,
	lossStep,
	publicationStep,
} from './loss.js';
import {plannedMove} from './planned-move.js';
import {
	hasReleased,
	isFenced,
	isSilent,
	positionOf,
	type Position,
} from './position.js';
import {renewal} from './renewal.js';
import {maxLocalMs} from './timing.js';

/** The next step of the daemon that `state` belongs to. */
export function decide(state: GuardianState, now: Millis): Step {
	const {guard} = state.standing;
	const isGuardianOrSuccessor =
		guard?.guardian === state.self || guard?.successor === state.self;
	if (!isGuardianOrSuccessor) {
		return {state, actions: []};
	}

	if (hasReleased(state)) {
		return completionStep(state, now);
	}

	const position = positionOf(state);
	return position
		? decideInCharge(state, position, now)
		: watchGuardian(state, guard.guardian, now);
}

function watchGuardian(
	state: GuardianState,
	guardian: string,
	now: Millis,
): Step {
	if (!isSilent(state, guardian, now)) {
		return {state, actions: []};
	}

	const {storeUp, edit, standing, lent, timing} = state;
	if (storeUp) {
		const isLoanOpen =
			!standing.checksFence &&
			now <= lent.until + maxLocalMs(timing.validMs, timing);
		const mustWait = edit !== undefined || isLoanOpen;
		return mustWait ? {state, actions: []} : editStep(state, takeover(state));
	}

	if (!standing.checksFence) {
		return {state, actions: []};
	}

	const {term} = standing.guard!;
	return {
		state: {...state, rankTerm: term},
		actions: [{kind: 'rank-takeover', term}],
	};
}

function decideInCharge(
	state: GuardianState,
	position: Position,
	now: Millis,
): Step {
	if (state.succession) {
		return state.storeUp && !state.edit
			? evacuationStep(
					state,
					guardAfterSuccession(state, position),
					state.succession.rows,
				)
			: {state, actions: []};
	}

	if (state.edit?.kind === 'evacuate') {
		return state.storeUp || missingConsents(state, false).length > 0
			? {state, actions: []}
			: publicationStep(state);
	}

	const change =
		state.storeUp && !state.edit && dueGuardChange(state, position, now);
	if (change) {
		return editStep(state, change);
	}

	if (isFenced(state, position)) {
		return {state, actions: []};
	}

	return thenStep(
		isSuspect(state, now)
			? lossStep(state, now)
			: grantChangeStep(state, position, now),
		(next) => renewOrEditRows(next, position, now),
	);
}

function guardAfterSuccession(state: GuardianState, position: Position) {
	return position.rank === 0 ? {} : takeoverGuard(state);
}

/**
 * The change of guard to write now, if any. A fenced guardian waits until the daemon
 * that fenced it is silent too; it sends the server nothing meanwhile, so the server's
 * silence says nothing about a loss. Any other guardian waits while the server is
 * suspected lost: a new successor would only add a daemon whose consent is needed.
 */
function dueGuardChange(
	state: GuardianState,
	position: Position,
	now: Millis,
): EditWithReason | undefined {
	const {successor} = state.standing.guard!;
	const mustWait = isFenced(state, position)
		? !isSilent(state, successor, now)
		: position.rank === 0 && isSuspect(state, now);
	return mustWait ? undefined : guardChange(state, position, now);
}

function renewOrEditRows(
	state: GuardianState,
	position: Position,
	now: Millis,
): Step {
	if (state.edit?.kind === 'evacuate' || state.succession) {
		return {state, actions: []};
	}

	const isLeaving = isHandingOver(state) || mayHaveHandedOver(state);
	if (isLeaving && !state.standing.checksFence) {
		return {state, actions: []};
	}

	const renewed = renewal(state, position, now);
	const mayWrite = state.storeUp && !state.edit && position.rank === 0;
	const change = mayWrite ? rowChange(state) : undefined;
	return change && renewed.actions.length === 0
		? editStep(state, change)
		: renewed;
}

function rowChange(state: GuardianState): EditWithReason | undefined {
	const move = plannedMove(state);
	if (move) {
		return {edit: move, reason: 'planned-move'};
	}

	const {server, standing} = state;
	const [change] = standing.hot;
	const {term} = standing.guard!;
	return (
		change && {
			edit: {kind: 'hot', server, term, change},
			reason: change.kind === 'heat' ? 'key-hot' : 'key-cooled',
		}
	);
}

function editStep(state: GuardianState, {edit, reason}: EditWithReason): Step {
	return {state: {...state, edit}, actions: [{kind: 'edit', edit, reason}]};
}

function thenStep(first: Step, then: (state: GuardianState) => Step): Step {
	const second = then(first.state);
	const actions: readonly GuardianAction[] = [
		...first.actions,
		...second.actions,
	];
	return {state: second.state, actions};
}
