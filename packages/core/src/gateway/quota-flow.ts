/** What all daemons together admit of one customer's requests. */
import {type Flow} from '../limits/bucket.js';
import {type Millis} from '../time/clock.js';

/** In any `windowMs`, requests may exceed a quota by the share `excess` of it, and by `slack` requests. */
export type QuotaBounds = {
	readonly windowMs: Millis;
	readonly excess: number;
	readonly slack: number;
};

/** Requests a second, and requests beyond that rate. */
export type Quota = {readonly rate: number; readonly burst: number};

const secondMs: Millis = 1000;
/** The share of the bound that is left alone: requests run somewhat later than they are admitted, which moves some from one window into the next. */
const marginShare = 0.08;
/** The share of the excess by which the fleet's rate may exceed the quota's. It makes up for parts that daemons without demand leave unused. */
const rateExcessShare = 0.5;
/** The least share of the bound that is kept for bursts. */
const minBurstShare = 0.1;

/** The most requests of a customer that may run in one window. */
export function windowBound(
	{rate, burst}: Quota,
	{windowMs, excess, slack}: QuotaBounds,
): number {
	return ((rate * windowMs) / secondMs + burst) * (1 + excess) + slack;
}

/** The rate and burst of the whole fleet, whose sum over a window stays within the bound. */
export function fleetFlow(quota: Quota, bounds: QuotaBounds): Flow {
	const bound = windowBound(quota, bounds) * (1 - marginShare);
	const windowS = bounds.windowMs / secondMs;
	const ratePerSecond = Math.min(
		quota.rate * (1 + bounds.excess * rateExcessShare),
		(bound * (1 - minBurstShare)) / windowS,
	);
	return {ratePerSecond, burst: bound - ratePerSecond * windowS};
}
