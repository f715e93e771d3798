/**
 * Orders in which waiting requests are served. Answers overload by several kinds of
 * request: what is served later, or not at all, is to cost callers least.
 * docs/design/admission.md compares the orders on one recorded load.
 */
import {type Millis} from '../time/clock.js';
import {isLate, latestStart, type AdmissionAsk} from './admission.js';

/** A request that waits. */
export type WaitingRequest = {
	readonly id: string;
	/** Whose request it is; a caller may have several. */
	readonly caller: string;
	readonly ask: AdmissionAsk;
	/** How long it is expected to run. */
	readonly runMs: Millis;
	readonly arrivedAt: Millis;
};

export abstract class QueueOrder {
	/** Whether the first request of this turn is admitted without regard to its rank. */
	ignoresRank(_turn: number): boolean {
		return false;
	}

	/** Negative if `a` is to be served before `b`. `turn` counts the requests served so far. */
	abstract compare(
		a: WaitingRequest,
		b: WaitingRequest,
		now: Millis,
		turn: number,
	): number;
}

export class ArrivalOrder extends QueueOrder {
	override compare(a: WaitingRequest, b: WaitingRequest): number {
		return a.arrivedAt - b.arrivedAt;
	}
}

export class DeadlineOrder extends QueueOrder {
	override compare(a: WaitingRequest, b: WaitingRequest): number {
		return a.ask.due - b.ask.due;
	}
}

/** What a refusal of a kind costs relative to the kind one rank more urgent. */
const rankCost = 0.5;
/** What a request past its target latency is worth, relative to one in time: 0.12 to 0.45 on present deployments. */
const lateCost = 0.3;

/** The highest cost of a refusal for each unit of work first. */
export class CostPerWorkOrder extends QueueOrder {
	override compare(a: WaitingRequest, b: WaitingRequest, now: Millis): number {
		return costPerWork(b, now) - costPerWork(a, now);
	}
}

/**
 * One of this many turns goes to the oldest request in time, of whatever kind, so that no
 * kind starves. At 16 and less the least urgent kind is served more often than the one above.
 */
const turnsPerOldest = 32;

/**
 * Requests in time first, by priority and then by when they have to start. A retried
 * request has less time left, and so is not put behind a new one of its kind.
 */
export class CallerCostOrder extends QueueOrder {
	override compare(
		a: WaitingRequest,
		b: WaitingRequest,
		now: Millis,
		turn: number,
	): number {
		const lateness =
			Number(isLate(a.ask, a.runMs, now)) - Number(isLate(b.ask, b.runMs, now));
		if (lateness !== 0 || this.ignoresRank(turn)) {
			return lateness || firstAttemptAt(a) - firstAttemptAt(b);
		}

		return (
			a.ask.rank - b.ask.rank ||
			latestStart(a.ask, a.runMs, now) - latestStart(b.ask, b.runMs, now)
		);
	}

	override ignoresRank(turn: number): boolean {
		return turn % turnsPerOldest === turnsPerOldest - 1;
	}
}

function firstAttemptAt({ask}: WaitingRequest): Millis {
	return ask.due - ask.targetMs;
}

function costPerWork({ask, runMs}: WaitingRequest, now: Millis): number {
	const cost = rankCost ** ask.rank * (isLate(ask, runMs, now) ? lateCost : 1);
	return cost / runMs;
}
