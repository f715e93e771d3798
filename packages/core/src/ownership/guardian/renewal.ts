/** Keeps the server's lease and grants up to date. */
import {type Millis} from '../../time/clock.js';
import {type Step} from './guardian-action.js';
import {type GuardianState, type Reading} from './guardian-state.js';
import {needsGrantChange, mayChangeGrants, nextOrder} from './order-for.js';
import {isOtherRun, type Position} from './position.js';

const freshAnswerShare = 2 / 3;

/** Sends an order if one is due and allowed; otherwise asks for the server's state if that is due. */
export function renewal(
	state: GuardianState,
	position: Position,
	now: Millis,
): Step {
	const {reading} = state;
	const isLastCallAnswered = reading?.sentAt === state.sentAt;
	const isRenewalDue = now - state.sentAt >= state.timing.renewMs;
	if (reading && mayOrder(state, reading, now)) {
		const isOrderWanted =
			isLastCallAnswered &&
			(!reading.order ||
				(mayChangeGrants(state, position) && needsGrantChange(state, reading)));
		if (isRenewalDue || isOrderWanted) {
			const next = nextOrder(state, position, reading, now);
			return {
				state: next.state,
				actions: [{kind: 'order', order: next.order}],
			};
		}

		return {state, actions: []};
	}

	return isRenewalDue
		? {state: {...state, sentAt: now}, actions: [{kind: 'read'}]}
		: {state, actions: []};
}

/** Whether this daemon has its successor's permission, or the server checks a fence and needs none. */
export function isPermitted(
	{standing, borrowed}: GuardianState,
	now: Millis,
): boolean {
	return (
		standing.checksFence ||
		(borrowed.term === standing.guard?.term && now < borrowed.until)
	);
}

function mayOrder(
	state: GuardianState,
	reading: Reading,
	now: Millis,
): boolean {
	const freshMs = state.timing.validMs * freshAnswerShare;
	return (
		!isOtherRun(state) &&
		now - reading.receivedAt <= freshMs &&
		isPermitted(state, now)
	);
}
