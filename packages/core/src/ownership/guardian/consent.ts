/**
 * Which other daemons might still renew a server's lease, and whether all of them
 * have agreed to stop. A release counts with or without the store. Proof that a
 * daemon is gone counts only for a change written to the store: that daemon may have
 * written a later term before, and only the conditional update detects it.
 */
import {type Millis} from '../../time/clock.js';
import {type Guard} from '../slice-table.js';
import {type GuardianState} from './guardian-state.js';
import {isOtherRun} from './position.js';
import {maxLocalMs} from './timing.js';

/** The other daemons that may still send the server orders; a move needs the consent of each. */
export function consentRequiredFrom(state: GuardianState): readonly string[] {
	const {guard} = state.standing;
	if (!guard) {
		return [];
	}

	const former = isOrderAccepted(state, guard) ? [] : (guard.former ?? []);
	const daemons = new Set([guard.guardian, guard.successor, ...former]);
	daemons.delete(state.self);
	daemons.delete('');
	return [...daemons];
}

/** The daemons whose consent is still missing; `durable` means that the move is written to the store. */
export function missingConsents(
	state: GuardianState,
	durable: boolean,
): readonly string[] {
	const {guard, tableVersion} = state.standing;
	return consentRequiredFrom(state).filter((daemon) => {
		const consent = state.consents.get(daemon);
		const released =
			consent !== undefined &&
			consent.term >= guard!.term &&
			consent.tableVersion <= tableVersion;
		return !released && !(durable && state.peers.goneAt.has(daemon));
	});
}

/** The time after which no lease of the server can still run, given the consents so far. */
export function allLeasesOverAt(state: GuardianState): Millis {
	const {timing, peers, consents, standing} = state;
	const own = isOtherRun(state) ? -Infinity : ownLeaseOverAt(state);
	const others = consentRequiredFrom(state).map((daemon) => {
		const consent = consents.get(daemon);
		return consent && consent.term >= standing.guard!.term
			? consent.leaseOverAt
			: (peers.goneAt.get(daemon) ?? -Infinity) +
					maxLocalMs(timing.leaseMs, timing);
	});
	return Math.max(own, ...others);
}

// Until the server accepts an order of this term, daemons of earlier terms that are
// gone by now may have renewed its lease up to the start of this term.
function ownLeaseOverAt(state: GuardianState): Millis {
	const {standing, since, timing} = state;
	return isOrderAccepted(state, standing.guard!)
		? state.leaseOverAt
		: Math.max(state.leaseOverAt, since + maxLocalMs(timing.leaseMs, timing));
}

/** The guard of the next term; `former` lists the daemons that may still send orders at earlier terms. */
export function nextGuard(state: GuardianState, change: Partial<Guard>): Guard {
	const guard = state.standing.guard!;
	const next = {...guard, ...change, term: guard.term + 1};
	const former = new Set([
		...(isOrderAccepted(state, guard) ? [] : (guard.former ?? [])),
		guard.guardian,
		guard.successor,
	]);
	for (const known of [next.guardian, next.successor, '']) {
		former.delete(known);
	}

	return {...next, former: [...former].sort()};
}

function isOrderAccepted({accepted}: GuardianState, guard: Guard): boolean {
	return (
		accepted?.term === guard.term && accepted.incarnation === guard.incarnation
	);
}
