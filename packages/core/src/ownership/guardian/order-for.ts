/** The next order to the server, computed from its last answer. */
import {type Millis} from '../../time/clock.js';
import {type Order} from '../order.js';
import {
	type GuardianState,
	type OwnedRow,
	type Reading,
} from './guardian-state.js';
import {missingConsents} from './consent.js';
import {type Position} from './position.js';
import {maxLocalMs} from './timing.js';

/** The slices that the server should hold: all that it owns, except those in a planned move. */
export function slicesToHold(state: GuardianState): readonly OwnedRow[] {
	return state.standing.rows.filter((row) => !isWithheld(state, row));
}

/**
 * A planned move completes only with a write to the store. While the store is down,
 * the owner keeps the slice, unless the write may already have been made.
 */
function isWithheld(
	{server, storeUp, edit}: GuardianState,
	row: OwnedRow,
): boolean {
	const isMoveOpen =
		edit?.kind === 'move' && edit.slices.some(({slice}) => slice === row.slice);
	return isMoveOpen || (storeUp && isMoving(row, server));
}

/**
 * Whether this daemon may change what the server holds. After a takeover by rank,
 * it may once the guardian has released the term: nobody else can move a slice then.
 */
export function mayChangeGrants(
	state: GuardianState,
	position: Position,
): boolean {
	return position.rank === 0 || missingConsents(state, false).length === 0;
}

/** Whether a planned move takes the slice to another server. */
export function isMoving({to}: OwnedRow, server: string): boolean {
	return to !== undefined && to !== '' && to !== server;
}

/** Whether the slices held in the server's last answer differ from those it should hold. */
export function needsGrantChange(
	state: GuardianState,
	reading: Reading,
): boolean {
	const {grant, revoke} = grantChanges(state, reading);
	return grant.length + revoke.length > 0;
}

/** The order, and the state that records how long the order's lease may run. */
export function nextOrder(
	state: GuardianState,
	position: Position,
	reading: Reading,
	now: Millis,
): {readonly state: GuardianState; readonly order: Order} {
	const {timing, self} = state;
	const {incarnation, now: serverNow} = reading.state;
	const seq = state.seq + 1;
	const order: Order = {
		...position,
		guardian: self,
		incarnation,
		seq,
		validUntil: serverNow + timing.validMs,
		leaseEnd: serverNow + timing.leaseMs,
		...(mayChangeGrants(state, position)
			? grantChanges(state, reading)
			: {grant: [], revoke: slicesNotOwned(state, reading)}),
	};
	const orderLeaseOverAt =
		reading.receivedAt + maxLocalMs(timing.leaseMs, timing);
	return {
		order,
		state: {
			...state,
			seq,
			sentAt: now,
			leaseOverAt: Math.max(state.leaseOverAt, orderLeaseOverAt),
			withheld: nextWithheld(state, now),
		},
	};
}

function grantChanges(
	state: GuardianState,
	reading: Reading,
): Pick<Order, 'grant' | 'revoke'> {
	const rows = slicesToHold(state);
	const held = new Map(
		reading.state.held.map(({slice, epoch}) => [slice, epoch]),
	);
	const wanted = new Set(rows.map(({slice}) => slice));
	return {
		grant: rows
			.filter(({slice, epoch}) => held.get(slice) !== epoch)
			.map(({slice, epoch}) => ({slice, epoch})),
		revoke: [...held.keys()].filter((slice) => !wanted.has(slice)),
	};
}

/**
 * A server that was lost still holds its former slices and would own them again once
 * its lease is renewed, so every order revokes what the table does not assign to it.
 */
function slicesNotOwned(
	{standing}: GuardianState,
	reading: Reading,
): Order['revoke'] {
	const epochs = new Map(standing.rows.map(({slice, epoch}) => [slice, epoch]));
	return reading.state.held
		.filter(({slice, epoch}) => epochs.get(slice) !== epoch)
		.map(({slice}) => slice);
}

function nextWithheld(
	state: GuardianState,
	now: Millis,
): ReadonlyMap<number, Millis> {
	return new Map(
		state.standing.rows
			.filter((row) => isWithheld(state, row))
			.map(({slice}) => [slice, state.withheld.get(slice) ?? now]),
	);
}
