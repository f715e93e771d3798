/**
 * The part of a customer's requests that every daemon admits, from the demand that all
 * daemons report. Each daemon keeps an estimate of the one token bucket that the fleet
 * would share: filled at the fleet's rate, emptied by the reported demand. While it holds
 * tokens, all requests are admitted up to a pace that spends them within seconds; beyond
 * that, the part of the requests that keeps to the pace. Answers the load of a customer
 * with less than one request a second at each of many daemons, where a daemon's own part
 * of a small quota would be less than one request.
 */
import {type Flow} from '../limits/bucket.js';
import {type Millis} from '../time/clock.js';

/** Within this time tokens are spent. The shorter it is, the later a rising demand is noticed, and the fewer waves of a small customer are taken for a surge. */
const spendS = 6;
/** Within this time a debt is paid back, so that a surge and its debt lie in one window. */
const repayS = 1;
/** The most that is owed, in seconds of the rate: refused requests are in the demand too. */
const maxDebtS = 2;
/** A rise counts as a surge beyond so many standard deviations of chance, and requests a second: fewer take waves of small customers for surges. */
const surgeDeviations = 2.5;
const surgeRate = 5;
/** Reports lag, and the first sum after the start of a surge shows a small part of it. */
const surgeMultiple = 6;
const secondMs: Millis = 1000;

export class QuotaPace {
	#tokens = 0;
	#part = 1;
	#demand = Infinity;
	#credit: number;

	/** `phase` in [0, 1) keeps daemons from admitting at the same moments. */
	constructor(phase: number) {
		this.#credit = phase;
	}

	/** The part of the requests that are admitted. */
	get part(): number {
		return this.#part;
	}

	/** Takes in the fleet's demand in requests a second, where the daemons that know of it may admit `flow`. */
	update(demand: number, flow: Flow, elapsedMs: Millis): void {
		const {ratePerSecond, burst} = flow;
		const gained = ratePerSecond - demand * this.#part;
		const tokens = this.#tokens + (gained * elapsedMs) / secondMs;
		const mostOwed = ratePerSecond * maxDebtS + burst;
		this.#tokens = Math.min(burst, Math.max(-mostOwed, tokens));
		const settleS = this.#tokens > 0 ? spendS : repayS;
		const pace = Math.max(0, ratePerSecond + this.#tokens / settleS);
		const expected = demand + surgeIn(demand, this.#demand) * surgeMultiple;
		this.#demand = demand;
		this.#part = expected > pace ? pace / expected : 1;
	}

	/** Starts over with an empty bucket, since what other daemons did is not known. */
	reset(): void {
		this.#tokens = 0;
		this.#demand = Infinity;
		this.#part = 1;
	}

	/** Whether the next request is one of those admitted. */
	take(): boolean {
		if (this.#part === 1) {
			return true;
		}

		this.#credit += this.#part;
		if (this.#credit < 1) {
			return false;
		}

		this.#credit -= 1;
		return true;
	}
}

/** The part of a rise of demand that chance does not explain, in requests a second. */
function surgeIn(demand: number, earlier: number): number {
	const chance = surgeDeviations * Math.sqrt(earlier) + surgeRate;
	return Math.max(0, demand - earlier - chance);
}
