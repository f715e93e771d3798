/** Parts of a limit that expire at different times. At any time the largest unexpired part counts. */
import {type Millis} from '../time/clock.js';

export type TimedPart = {
	/** The fraction of the limit, or that in whole units. */
	readonly part: number;
	/** The part is valid while the clock is before this time. */
	readonly until: Millis;
};

/** Parts ordered by expiry. A part that a larger one outlasts is left out, so the first part is the largest. */
export type TimedParts = readonly TimedPart[];

/** The parts with `added`. */
export function withPart(parts: TimedParts, added: TimedPart): TimedParts {
	const {part, until} = added;
	if (parts.some((each) => each.until >= until && each.part >= part)) {
		return parts;
	}

	const kept = parts.filter((each) => each.until > until || each.part > part);
	const index = kept.findIndex((each) => each.until > until);
	return kept.toSpliced(index === -1 ? kept.length : index, 0, added);
}

/** The parts that expire after `now`. */
export function unexpired(parts: TimedParts, now: Millis): TimedParts {
	const first = parts.findIndex(({until}) => until > now);
	return first === 0 ? parts : first === -1 ? [] : parts.slice(first);
}

/** The largest part that expires after `now`; 0 if there is none. */
export function largestPart(parts: TimedParts, now: Millis): number {
	return unexpired(parts, now).at(0)?.part ?? 0;
}

/** The parts, of which those that expire by `until` are reduced to at most `cap`. */
export function capped(
	parts: TimedParts,
	cap: number,
	until: Millis,
): TimedParts {
	let kept: TimedParts = [];
	for (const each of parts) {
		const part = each.until <= until ? Math.min(each.part, cap) : each.part;
		kept = withPart(kept, {...each, part});
	}

	return kept;
}
