/** Planned moves: written to the table once the owner no longer holds the slices. */
import {type GuardianState, type Reading} from './guardian-state.js';
import {isMoving} from './order-for.js';
import {isOtherRun} from './position.js';
import {type MoveEdit} from './table-edit.js';
import {maxLocalMs} from './timing.js';

/** An edit that moves every slice that the server provably no longer holds. */
export function plannedMove(state: GuardianState): MoveEdit | undefined {
	const {reading, server, standing, seq} = state;
	// An unanswered order may still grant the slice.
	const isLastOrderTaken =
		reading?.taken && reading.order?.seq === seq && !isOtherRun(state);
	if (!isLastOrderTaken || holdsStaleGrant(state, reading)) {
		return undefined;
	}

	const held = new Set(reading.state.held.map(({slice}) => slice));
	const slices = standing.rows
		.filter((row) => isMoving(row, server) && !held.has(row.slice))
		.filter(({slice}) => isProvablyRevoked(state, slice, reading))
		.map(({slice, epoch, to}) => ({slice, epoch, to: to!}));
	const {term} = standing.guard!;
	return slices.length > 0 ? {kind: 'move', server, term, slices} : undefined;
}

// A slice held at an epoch from before one of its keys became hot still covers that
// key, and so does a hot key's row held after the key has cooled. The server must
// drop both before anything moves.
function holdsStaleGrant({standing}: GuardianState, reading: Reading): boolean {
	const epochs = new Map(standing.rows.map(({slice, epoch}) => [slice, epoch]));
	return reading.state.held.some(
		({slice, epoch}) => epochs.get(slice) !== epoch,
	);
}

// A server without a fence may accept an older grant until that grant expires, so
// only an answer to a message sent after the expiry proves the slice revoked.
function isProvablyRevoked(
	{withheld, standing, timing}: GuardianState,
	slice: number,
	{sentAt}: Reading,
): boolean {
	const since = withheld.get(slice);
	return (
		since !== undefined &&
		(standing.checksFence ||
			sentAt > since + maxLocalMs(timing.validMs, timing))
	);
}
