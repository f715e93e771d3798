/**
 * Decides whether a server has room for a request now. Answers overload: a request is
 * sent only where it is expected to end within its target latency, and the less urgent
 * kinds leave waiting room for the more urgent ones. Past its target latency a request
 * gets only a slot that nobody in time needs.
 */
import {type Millis} from '../time/clock.js';
import {type PriorityRank} from './priority-ranks.js';

/** What admission has to know about a request. */
export type AdmissionAsk = PriorityRank & {
	/** When its target latency ends, counted from its caller's first attempt. */
	readonly due: Millis;
	/** By when its caller needs the answer. */
	readonly until: Millis;
	readonly targetMs: Millis;
};

/** What this daemon expects of a server. */
export type ServerRoom = {
	/** Requests a slot. */
	readonly load: number;
	/** How long one more request waits there for a slot. */
	readonly waitMs: Millis;
	/** How long the request runs there once it has a slot. */
	readonly runMs: Millis;
	/** Requests a slot that the server's queue bears. */
	readonly queueLoad: number;
};

/** Whether a server has room, and by which bounds that was decided. */
export type Verdict = {
	readonly admitted: boolean;
	readonly isLate: boolean;
	/** The longest wait at the server. */
	readonly maxWaitMs: Millis;
	/** The server has room only below this many requests a slot. */
	readonly maxLoad: number;
};

/** Share of the slack that may be planned for: reports of a server's load lag, and a fifth of the servers slow down within milliseconds. */
export const plannedShare = 0.8;
/** Waiting room of a kind relative to that of the kind one rank more urgent. */
const headroomShare = 0.6;
/** A request past its target latency goes only to a server with a free slot. */
const freeLoad = 1;

/** When the request has to be sent at the latest, to end within its target latency or, past that, before its deadline. */
export function latestStart(
	ask: AdmissionAsk,
	runMs: Millis,
	now: Millis,
): Millis {
	return (isLate(ask, runMs, now) ? ask.until : ask.due) - runMs;
}

/** Whether the request can no longer end within its target latency. */
export function isLate(
	{due}: AdmissionAsk,
	runMs: Millis,
	now: Millis,
): boolean {
	return due - now < runMs;
}

/** The request without regard to the more urgent kinds, for its turn as the oldest one that waits. */
export function withoutRank(ask: AdmissionAsk): AdmissionAsk {
	return {...ask, rank: 0, urgentTargetMs: Infinity};
}

/** `othersInTime` says whether a request that can still end within its target latency waits for the same servers. */
export function admission(
	ask: AdmissionAsk,
	{load, waitMs, runMs, queueLoad}: ServerRoom,
	now: Millis,
	othersInTime: boolean,
): Verdict {
	if (isLate(ask, runMs, now)) {
		const maxWaitMs = Math.max(0, ask.until - now - runMs);
		const hasRoom = load < freeLoad && waitMs + runMs <= ask.until - now;
		return {
			admitted: hasRoom && !othersInTime,
			isLate: true,
			maxWaitMs,
			maxLoad: freeLoad,
		};
	}

	const headroom = headroomShare ** ask.rank;
	const slackMs = Math.min(ask.due - now, ask.urgentTargetMs);
	const maxWaitMs = Math.max(0, (slackMs * plannedShare - runMs) * headroom);
	const maxLoad = freeLoad + (queueLoad - freeLoad) * headroom;
	return {
		admitted: load < freeLoad || (load < maxLoad && waitMs <= maxWaitMs),
		isLate: false,
		maxWaitMs,
		maxLoad,
	};
}
