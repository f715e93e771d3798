/** How often each daemon reports and how many keys it names, so that a planner receives a bounded number of reports and keys per second. */
import {maxHotRows, type Millis} from '@kingcuproute/core';

const maxReportsPerSecond = 12;
const maxKeysPerSecond = 192;

/** Time between two reports of a daemon, in ms. */
export function reportInterval(reportMs: Millis, members: number): Millis {
	return Math.max(reportMs, (members * 1000) / maxReportsPerSecond);
}

/** The most keys that one report names: 16 in a large fleet, up to `maxHotRows` in a small one. */
export function keysPerReport(reportMs: Millis, members: number): number {
	const ms = reportInterval(reportMs, members);
	const share = (maxKeysPerSecond * ms) / 1000 / Math.max(1, members);
	return Math.max(1, Math.min(maxHotRows, Math.floor(share)));
}
