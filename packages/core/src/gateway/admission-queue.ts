/**
 * The requests that wait in one daemon for the same servers. Answers moments in which
 * more requests arrive than the servers have room for: the queue is bounded, is served
 * in the order that costs callers least, and holds a request only as long as it has a
 * prospect. A held request that is refused later costs its caller more than a refusal
 * at once.
 */
import {type Millis} from '../time/clock.js';
import {isLate} from './admission.js';
import {type QueueOrder, type WaitingRequest} from './queue-order.js';

/** Most requests in one queue: several times what the servers of one owner run within a target latency. */
export const maxQueueLen = 64;
/** A caller with more than this share of a full queue loses a place there before others do. */
const callerShare = 0.25;
/** A request without a real prospect is refused within this share of its target latency; a longer wait costs callers. */
const holdShare = 1 / 8;
/** With a prospect it may wait for this share: a report can promise room again and again that other daemons take. */
const prospectShare = 1 / 2;
/** No request waits longer than this share of the time from its first attempt to its deadline: past three quarters a refusal costs its whole value. */
const maxHoldShare = 0.7;

export class AdmissionQueue<T extends WaitingRequest> {
	#waiting: readonly T[] = [];
	#turn = 0;

	constructor(
		private readonly order: QueueOrder,
		private readonly maxLen = maxQueueLen,
	) {}

	get length(): number {
		return this.#waiting.length;
	}

	/** Whether the first request in order is now admitted without regard to its rank. */
	get ignoresRank(): boolean {
		return this.order.ignoresRank(this.#turn);
	}

	/** The waiting requests, the next one to be served first. */
	inOrder(now: Millis): readonly T[] {
		return this.#waiting.toSorted((a, b) =>
			this.order.compare(a, b, now, this.#turn),
		);
	}

	/** Whether a request other than `id` waits that can still end within its target latency. */
	hasInTime(id: string | undefined, now: Millis): boolean {
		return this.#waiting.some(
			(each) => each.id !== id && !isLate(each.ask, each.runMs, now),
		);
	}

	/** Adds a request; returns the one that has no place any more, perhaps the new one. */
	add(request: T, now: Millis): T | undefined {
		this.#waiting = [...this.#waiting, request];
		if (this.#waiting.length <= this.maxLen) {
			return undefined;
		}

		const evicted = this.#lastInOrder(now);
		this.remove(evicted);
		return evicted;
	}

	/** Takes a request out that leaves unserved. */
	remove(request: T): void {
		this.#waiting = this.#waiting.filter((each) => each !== request);
	}

	/** Takes a request out that is sent. */
	serve(request: T): void {
		this.remove(request);
		this.#turn++;
	}

	/** The requests that are to be refused at `now`; `hasProspect` says whether one may be held for longer. */
	expired(now: Millis, hasProspect: (request: T) => boolean): readonly T[] {
		const hasInTime = this.hasInTime(undefined, now);
		return this.#waiting.filter(
			(request) =>
				now >= leavesAt(request, hasProspect(request)) ||
				(hasInTime && isLate(request.ask, request.runMs, now)),
		);
	}

	/** When the next request is to be refused if nothing changes; Infinity if none waits. */
	nextExpiry(hasProspect: (request: T) => boolean): Millis {
		return Math.min(
			...this.#waiting.map((request) =>
				leavesAt(request, hasProspect(request)),
			),
		);
	}

	/** The request to evict: the last one in order, of a caller with too many places if there is one. */
	#lastInOrder(now: Millis): T {
		const places = new Map<string, number>();
		for (const {caller} of this.#waiting) {
			places.set(caller, (places.get(caller) ?? 0) + 1);
		}

		const most = Math.max(...places.values());
		const ordered = this.inOrder(now);
		return (
			(most > this.maxLen * callerShare
				? ordered.findLast(({caller}) => places.get(caller) === most)
				: undefined) ?? ordered.at(-1)!
		);
	}
}

/** When a waiting request is refused if it has not been sent by then. */
export function leavesAt(
	{ask, runMs, arrivedAt}: WaitingRequest,
	hasProspect: boolean,
): Millis {
	const firstAttemptAt = ask.due - ask.targetMs;
	const longest = Math.min(
		ask.until - runMs,
		firstAttemptAt + (ask.until - firstAttemptAt) * maxHoldShare,
	);
	const share = hasProspect ? prospectShare : holdShare;
	return Math.min(longest, arrivedAt + ask.targetMs * share);
}
