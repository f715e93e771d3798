/**
 * Limits how many requests one daemon may have in flight at a server. A daemon
 * computes its share from a total over all daemons and its rank among them, so the
 * shares at a ramping server sum to the total although no daemon sees another's
 * requests.
 */
import {type Service} from '../config/service.js';
import {type Millis} from '../time/clock.js';
import {type Gauge} from './gauge.js';
import {type BalancePolicy} from './policy.js';

/** Fraction of its slots that a cold server gets where its service sets none. */
const defaultColdShare = 1 / 3;

/** A daemon's rank among the `count` daemons that may call a server, in [0, count). */
export type CallerRank = {readonly rank: number; readonly count: number};

/**
 * Limit of requests in flight at the server from all daemons together, at this
 * point of its ramp. The ramp takes 2 * `slowStartMs`: in the first half the limit
 * grows from the cold share to all slots, in the second half to the overcommitted
 * slots.
 */
export function totalAllowance(
	gauge: Gauge,
	service: Service,
	now: Millis,
	policy: BalancePolicy,
): number {
	const {slots, slowStartMs} = service;
	const maxTotal = slots * policy.overcommit;
	if (gauge.rampFrom === undefined || slowStartMs === 0) {
		return maxTotal;
	}

	const progress = Math.max(0, now - gauge.rampFrom) / slowStartMs;
	if (progress <= 1) {
		return Math.max(1, Math.floor(slots * rampShare(gauge, service, now)));
	}

	const extra = Math.min(1, progress - 1) * (policy.overcommit - 1);
	return Math.floor(slots * (1 + extra));
}

/** Fraction of its slots that a server is assumed to handle at this point of its ramp, in (0, 1]. */
export function rampShare(
	{rampFrom}: Gauge,
	{slowStartMs, coldShare = defaultColdShare}: Service,
	now: Millis,
): number {
	if (rampFrom === undefined || slowStartMs === 0) {
		return 1;
	}

	const progress = Math.max(0, now - rampFrom) / slowStartMs;
	return coldShare + (1 - coldShare) * Math.min(1, progress);
}

/** Whether the ramp that began at `rampFrom` has ended. */
export function isRampOver(
	gauge: Gauge,
	service: Service,
	now: Millis,
): boolean {
	return now - (gauge.rampFrom ?? 0) >= 2 * service.slowStartMs;
}

/** The share of `total` for one rank; the shares of all ranks sum to `total`. */
export function shareOf(total: number, {rank, count}: CallerRank): number {
	return Math.floor(total / count) + (rank < total % count ? 1 : 0);
}

/** A server as one daemon sees it: its gauge, and the daemon's rank among the server's callers. */
export type ServerView = {
	readonly gauge: Gauge;
	readonly service: Service;
	readonly callerRank: CallerRank;
};

/**
 * Number of requests that this daemon may have in flight at the server. Outside a ramp
 * the share is rounded up, to at least 1, so the shares may sum to more than the total.
 */
export function allowance(
	{gauge, service, callerRank}: ServerView,
	now: Millis,
	policy: BalancePolicy,
): number {
	const total = totalAllowance(gauge, service, now, policy);
	return gauge.rampFrom === undefined
		? Math.max(1, Math.ceil(total / callerRank.count))
		: shareOf(total, callerRank);
}

/**
 * Minimum interval between the keyed requests of one daemon to a ramping owner, in
 * ms; 0 if they need no pacing. Where the total allowance is smaller than the number
 * of daemons, the daemons take turns, since some would otherwise get no request
 * through at all.
 */
export function paceMs(
	{gauge, service, callerRank}: ServerView,
	now: Millis,
	policy: BalancePolicy,
): Millis {
	const total = totalAllowance(gauge, service, now, policy);
	return gauge.rampFrom === undefined || total >= callerRank.count
		? 0
		: (gauge.latencyMs * callerRank.count) / total;
}
