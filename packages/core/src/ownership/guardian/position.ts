/** A daemon's role towards a server and what it knows of its peers, derived from its state. */
import {type Millis} from '../../time/clock.js';
import {type GuardianState} from './guardian-state.js';

/** A term and a rank, which a server's fence compares before the sequence number. */
export type Position = {readonly term: number; readonly rank: 0 | 1};

/** The position at which this daemon may send orders and move slices, if any. */
export function positionOf(state: GuardianState): Position | undefined {
	const {guard} = state.standing;
	if (!guard || hasReleased(state)) {
		return undefined;
	}

	if (guard.guardian === state.self) {
		return {term: guard.term, rank: 0};
	}

	return guard.successor === state.self && state.rankTerm === guard.term
		? {term: guard.term, rank: 1}
		: undefined;
}

/** Whether this daemon has released the term in force, and so sends no orders in it. */
export function hasReleased({standing, released}: GuardianState): boolean {
	return (released?.term ?? 0) >= (standing.guard?.term ?? 0);
}

/** Whether the server, in the run that the guard names, has accepted an order from above `position`. */
export function isFenced(state: GuardianState, position: Position): boolean {
	const {reading, standing} = state;
	if (!reading || reading.state.incarnation !== standing.guard?.incarnation) {
		return false;
	}

	const {term, rank} = reading.state;
	return (
		term > position.term || (term === position.term && rank > position.rank)
	);
}

/** Whether the server's last answer came from a run other than the one that the guard names. */
export function isOtherRun({standing, reading}: GuardianState): boolean {
	return (
		reading !== undefined &&
		reading.state.incarnation !== standing.guard?.incarnation
	);
}

/** When the server last answered, but no earlier than when the guard in force was first seen. */
export function serverLastHeardAt({reading, since}: GuardianState): Millis {
	return Math.max(reading?.receivedAt ?? -Infinity, since);
}

/** Whether nothing has been received from a daemon for longer than `silenceMs`, or it is proved gone. */
export function isSilent(
	{peers, since, timing}: GuardianState,
	daemon: string,
	now: Millis,
): boolean {
	const heardAt = Math.max(peers.heardAt.get(daemon) ?? -Infinity, since);
	return peers.goneAt.has(daemon) || now - heardAt > timing.silenceMs;
}
