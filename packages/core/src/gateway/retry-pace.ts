/**
 * When callers whose requests were refused are to come back. Answers waves of retries:
 * callers that are refused in one moment return spread over the time in which capacity
 * becomes free, and early enough to be served in time if that is still possible.
 */
import {type Random} from '../chance/random.js';
import {type Millis} from '../time/clock.js';
import {type AdmissionAsk} from './admission.js';

/** What a refused request may expect of the servers it needs. */
export type RetryProspect = {
	/** How long until the next request could be sent. */
	readonly waitMs: Millis;
	/** The time between two slots that become free there. */
	readonly intervalMs: Millis;
	readonly runMs: Millis;
};

/** Callers honour Retry-After up to this share of the time that they have left. */
const honouredShare = 1 / 3;
/** Share of the honoured time that is used: the answer's way to the caller takes some of it. */
const usedShare = 0.95;
/** The shortest pause: about two network round trips between callers and servers. */
const minRetryMs: Millis = 30;
/** Share of a pause by which it varies at random. */
const spreadShare = 0.4;
/** Names of queues whose booked places are remembered; more are forgotten together. */
const maxBooked = 10_000;

export class RetryPace {
	/** The latest return that callers were told, by queue. */
	readonly #booked = new Map<string, Millis>();

	constructor(private readonly random: Random) {}

	/** How long the caller of a request refused at `now` is to wait; each further one of the same queue returns a slot later. */
	retryAfter(
		queue: string,
		ask: AdmissionAsk,
		{waitMs, intervalMs, runMs}: RetryProspect,
		now: Millis,
	): Millis {
		const cap = Math.max(minRetryMs, latestReturnMs(ask, runMs, now));
		const last = this.#booked.get(queue) ?? now;
		const next = Math.max(now + waitMs, last + intervalMs);
		const paceMs = Math.max(minRetryMs, next - now);
		// Places beyond the cap start over, since their callers return before them.
		this.#book(queue, paceMs > cap ? now : next);
		const spread = 1 - spreadShare * this.random.fraction();
		return paceMs > cap
			? Math.max(minRetryMs, cap * spread)
			: Math.min(cap, paceMs * (2 - spread));
	}

	#book(queue: string, at: Millis): void {
		if (this.#booked.size >= maxBooked && !this.#booked.has(queue)) {
			this.#booked.clear();
		}

		this.#booked.set(queue, at);
	}
}

/** The longest pause after which the request can still end in time or, if that is not possible, before its deadline. */
function latestReturnMs(
	{due, until}: AdmissionAsk,
	runMs: Millis,
	now: Millis,
): Millis {
	const honouredMs = (until - now) * honouredShare * usedShare;
	const inTimeMs = due - now - runMs;
	const lateMs = until - now - runMs;
	return Math.min(honouredMs, inTimeMs > minRetryMs ? inTimeMs : lateMs);
}
