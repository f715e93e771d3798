/**
 * A daemon's own share of every limit: one over the number of daemons not proved
 * gone. It falls at once when a daemon joins. When one is proved gone, it rises
 * only after every loan that the gone daemon may have made has expired.
 */
import {type Millis} from '../time/clock.js';
import {mayHaveBeenLarge} from './homes.js';
import {longestPromiseMs, type LevelTerms} from './levels.js';
import {largestPart, unexpired, withPart, type TimedParts} from './parts.js';

export type DaemonCount = {
	/** The number of daemons not proved gone. */
	readonly known: number;
	/** Earlier numbers, each valid until the loans made at that time have expired. */
	readonly earlier: TimedParts;
};

/** The count of a daemon that knows no other yet. */
export const initialDaemonCount: DaemonCount = {known: 1, earlier: []};

/** The count after `known` has become the number of daemons not proved gone. */
export function withDaemonCount(
	count: DaemonCount,
	known: number,
	now: Millis,
	terms: LevelTerms,
): DaemonCount {
	const level = mayHaveBeenLarge(count.known) ? 'domain' : 'single';
	const until = now + longestPromiseMs(terms[level]);
	const previous = {part: count.known, until};
	return {known, earlier: withPart(unexpired(count.earlier, now), previous)};
}

/** This daemon's own share, as a fraction of every limit. */
export function ownShare({known, earlier}: DaemonCount, now: Millis): number {
	return 1 / Math.max(known, largestPart(earlier, now));
}
