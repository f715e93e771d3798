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

/** One of this many turns goes to the request that has to start first, of whatever kind, so that no kind starves. */
const turnsPerOldest = 4;

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
		const byRank =
			turn % turnsPerOldest === turnsPerOldest - 1
				? 0
				: a.ask.rank - b.ask.rank;
		return (
			lateness ||
			byRank ||
			latestStart(a.ask, a.runMs, now) - latestStart(b.ask, b.runMs, now)
		);
	}
}

function costPerWork({ask, runMs}: WaitingRequest, now: Millis): number {
	const cost = rankCost ** ask.rank * (isLate(ask, runMs, now) ? lateCost : 1);
	return cost / runMs;
}
