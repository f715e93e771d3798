/** Thresholds and limits of the placement planner. */
import {type Millis} from '../time/clock.js';

/** Shares are fractions of a server's target load, unless stated otherwise. */
export type PlacementPolicy = {
	/** Balancing starts once a server's load differs from its target by more than this share. */
	readonly startShare: number;
	/** Balancing ends once every server's load is within this share of its target. */
	readonly stopShare: number;
	/** Fraction of the total load that is assumed to be spread evenly over all slices, so that idle slices are balanced too. */
	readonly idleShare: number;
	/** Requests per slice at which the measured load and the assumption of an even load count equally. */
	readonly priorLoad: number;
	/** Maximum factor by which a failure domain's share of the load may differ from its share of the capacity. */
	readonly maxDomainSkew: number;
	/** Rate limit on moves for balance, per second and service. */
	readonly movesPerSecond: number;
	/** Burst limit: moves for balance that may be made at once after a quiet period. */
	readonly moveBurst: number;
	/** Maximum number of rows for hot keys; with 0, keys that have a row return to their slices. */
	readonly hotRows: number;
	/** A key may get a row of its own at this fraction of a server's even share of the load. */
	readonly heatShare: number;
	/** A key returns to its slice below this fraction of a server's even share. */
	readonly coolShare: number;
	/** A key gets no row if the other keys of its slice have less than this fraction of a server's even share: the whole slice can move instead. */
	readonly restShare: number;
};

/** Number of keys that may be hot in a service at once; this set of keys changes within minutes. */
export const maxHotRows = 95;

export const defaultPlacementPolicy: PlacementPolicy = {
	startShare: 0.25,
	stopShare: 0.1,
	idleShare: 0.2,
	priorLoad: 10,
	maxDomainSkew: 1.25,
	movesPerSecond: 8,
	moveBurst: 16,
	hotRows: maxHotRows,
	heatShare: 0.2,
	coolShare: 0.1,
	restShare: 0.02,
};

/** How long a daemon may be silent before its guards are reassigned. */
export const absenceMs: Millis = 3000;
