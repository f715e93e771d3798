/** The status that operators see of a daemon's role in a server's ownership. */
import {type Millis} from '../../time/clock.js';
import {allLeasesOverAt, missingConsents} from './consent.js';
import {type GuardianState} from './guardian-state.js';
import {isSuspect} from './loss.js';
import {hasReleased, isFenced, isOtherRun, positionOf} from './position.js';
import {isPermitted} from './renewal.js';

/** Why the daemon can do nothing for a server, and what would end that. */
export type Blocked = {readonly reason: string; readonly endsWhen: string};

export type GuardianStatus = {
	readonly service: string;
	readonly server: string;
	readonly term: number;
	readonly rank: 0 | 1;
	readonly slices: number;
	/** How much longer the lease may run, by this daemon's clock, in ms. */
	readonly leaseLeftMs: Millis;
	readonly blocked: Blocked | undefined;
};

/** The status, if this daemon is the server's guardian or successor. */
export function statusOf(
	state: GuardianState,
	now: Millis,
): GuardianStatus | undefined {
	const {standing, self, service, server} = state;
	const {guard, rows} = standing;
	if (!guard || ![guard.guardian, guard.successor].includes(self)) {
		return undefined;
	}

	return {
		service,
		server,
		term: guard.term,
		rank: guard.guardian === self ? 0 : 1,
		slices: rows.length,
		leaseLeftMs: Math.max(0, Math.round(state.leaseOverAt - now)),
		blocked: blockedBy(state, now),
	};
}

function blockedBy(state: GuardianState, now: Millis): Blocked | undefined {
	const position = positionOf(state);
	if (!position) {
		return hasReleased(state) ? blockedByRelease(state) : undefined;
	}

	if (state.succession) {
		return undefined;
	}

	if (isFenced(state, position)) {
		return {
			reason: 'the server obeys another daemon',
			endsWhen: `${state.standing.guard!.successor} writes its takeover, or is lost with the store up`,
		};
	}

	if (isSuspect(state, now)) {
		return blockedByLoss(state, now);
	}

	if (!isPermitted(state, now)) {
		return {
			reason: 'the successor lends no permission',
			endsWhen: 'the successor is heard, or is replaced once the store is up',
		};
	}

	return isOtherRun(state) && !state.storeUp
		? {
				reason: 'the server has restarted and the store is down',
				endsWhen: 'the store is up',
			}
		: undefined;
}

function blockedByRelease({released}: GuardianState): Blocked {
	return {
		reason: `released to ${released!.to}`,
		endsWhen: `${released!.to} writes the next term, or is proved gone`,
	};
}

function blockedByLoss(state: GuardianState, now: Millis): Blocked | undefined {
	const missing = missingConsents(state, state.storeUp);
	if (missing.length > 0) {
		const names = missing.join(' ');
		return {
			reason: `the server is silent, and no release from ${names}`,
			endsWhen: state.storeUp
				? `the server or ${names} returns, or ${names} is proved gone`
				: `the server or ${names} returns, or the store does`,
		};
	}

	const hasStandby = state.standing.rows.some(({standby}) => standby !== '');
	return now > allLeasesOverAt(state) && !state.storeUp && !hasStandby
		? {
				reason: 'the server is lost and its slices have no standby',
				endsWhen: 'the server returns, or the store does',
			}
		: undefined;
}
