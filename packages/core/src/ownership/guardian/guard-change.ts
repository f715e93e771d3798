/** Decides when a server's guard must change, and to which daemons. */
import {type Millis} from '../../time/clock.js';
import {type Guard} from '../slice-table.js';
import {nextGuard} from './consent.js';
import {type GuardianState} from './guardian-state.js';
import {isOtherRun, isSilent, type Position} from './position.js';
import {type TableEdit} from './table-edit.js';
import {maxLocalMs} from './timing.js';

/** An edit of the table, with the reason for it. */
export type EditWithReason = {
	readonly edit: TableEdit;
	readonly reason: string;
};

/** The change of guard that the daemon in charge of the server must write, if any. */
export function guardChange(
	state: GuardianState,
	position: Position,
	now: Millis,
): EditWithReason | undefined {
	if (position.rank === 1) {
		return takeover(state);
	}

	const successor = nextSuccessor(state, now);
	const guard = state.standing.guard!;
	if (isOtherRun(state)) {
		const {incarnation} = state.reading!.state;
		return guardEdit(state, {incarnation, successor}, 'server-restarted');
	}

	if (guard.lost && isLastOrderTaken(state)) {
		return guardEdit(state, {lost: false}, 'server-returned');
	}

	if (guard.next) {
		return handover(state, guard.next, now);
	}

	if (successor !== guard.successor) {
		return guardEdit(state, {successor}, 'successor-lost');
	}

	return isReady(state, now)
		? undefined
		: guardEdit(state, {}, 'successor-not-ready');
}

/**
 * Whether the successor can still take over in this term. It cannot once it has
 * released the term. The answer that said so may have been lost, so a successor that
 * has lent nothing for `silenceMs` counts as not ready too.
 */
function isReady(
	{standing, consents, borrowed, since, timing}: GuardianState,
	now: Millis,
): boolean {
	const {term, successor} = standing.guard!;
	if (successor === '') {
		return true;
	}

	const released = (consents.get(successor)?.term ?? 0) >= term;
	const readyUntil = borrowed.term === term ? borrowed.until : since;
	return !released && now - readyUntil <= timing.silenceMs;
}

/**
 * Whether this guardian is handing the server over. A server that checks no fence
 * could still accept an order after the hand-over: the guardian sends it no more
 * orders, and the last one must expire before the hand-over is written.
 */
export function isHandingOver({
	standing,
	storeUp,
	self,
}: GuardianState): boolean {
	const next = standing.guard?.next;
	return storeUp && next !== undefined && next.guardian !== self;
}

/** Whether a pending edit, which may already be stored, makes another daemon the guardian. */
export function mayHaveHandedOver({edit, self}: GuardianState): boolean {
	return edit?.kind === 'guard' && edit.guard.guardian !== self;
}

function handover(
	state: GuardianState,
	{guardian, successor}: Pick<Guard, 'guardian' | 'successor'>,
	now: Millis,
): EditWithReason | undefined {
	const {standing, sentAt, timing} = state;
	const mayAcceptLastOrder =
		isHandingOver(state) &&
		!standing.checksFence &&
		now <= sentAt + maxLocalMs(timing.validMs, timing);
	return mayAcceptLastOrder
		? undefined
		: guardEdit(state, {guardian, successor, next: undefined}, 'handover');
}

function isLastOrderTaken({reading, seq}: GuardianState): boolean {
	return reading !== undefined && reading.taken && reading.order?.seq === seq;
}

/** The successor makes itself guardian. */
export function takeover(state: GuardianState): EditWithReason {
	return guardEdit(state, takeoverGuard(state), 'guardian-silent');
}

/** A guard with this daemon as guardian and the best candidate as successor. */
export function takeoverGuard({
	self,
	peers,
}: GuardianState): Pick<Guard, 'guardian' | 'successor'> {
	const successor = peers.candidates.find((daemon) => daemon !== self) ?? '';
	return {guardian: self, successor};
}

function nextSuccessor(state: GuardianState, now: Millis): string {
	const {standing, peers, self} = state;
	const {successor} = standing.guard!;
	if (successor !== '' && !isSilent(state, successor, now)) {
		return successor;
	}

	return (
		peers.candidates.find(
			(daemon) => daemon !== self && daemon !== successor,
		) ?? successor
	);
}

function guardEdit(
	state: GuardianState,
	change: Partial<Guard>,
	reason: string,
): EditWithReason {
	const {server, standing} = state;
	const guard = nextGuard(state, change);
	const {term} = standing.guard!;
	return {edit: {kind: 'guard', server, term, guard}, reason};
}
