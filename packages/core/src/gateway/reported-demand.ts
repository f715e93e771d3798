/**
 * What a daemon knows of the fleet's demand for one customer, from sums of reports that may
 * be lost, late, repeated or without some daemons. A daemon that the sums lack may use the
 * part of the quota that it had until its own last sum expires, so that the highest demand
 * since then counts as long.
 */
import {type Millis} from '../time/clock.js';

/** The sum of the daemons' reports about one customer. */
export type ReportedDemand = {
	/** Requests a second. */
	readonly rate: number;
	/** How many daemons' reports the sum contains. */
	readonly daemons: number;
	/** When this daemon received it. */
	readonly at: Millis;
};

/** A sum counts for this long: with reports each second, two in a row may be lost. */
const expiryMs: Millis = 3000;
/** For how long low demand is taken to last that no sum confirms: a peer that fails is replaced sooner. */
const graceMs: Millis = 15_000;
/** For how long a daemon that the sums lack may use its former part: until its last sum expires, which may have been late. */
const missingMs: Millis = expiryMs + 1000;

export class FleetDemandHistory {
	/** The sums that count, in the order of time. */
	#sums: readonly ReportedDemand[] = [];

	/** Records a sum. False if it can't be read, or is not newer than the last: it changes nothing. */
	receive(sum: ReportedDemand): boolean {
		const last = this.#sums.at(-1);
		const isReadable =
			Number.isFinite(sum.rate) && sum.rate >= 0 && sum.daemons >= 1;
		if (!isReadable || (last && sum.at <= last.at)) {
			return false;
		}

		const recent = this.#sums.filter(({at}) => sum.at - at < missingMs);
		this.#sums = [...recent, sum];
		return true;
	}

	/** Whether the last sum still counts. */
	isCurrent(now: Millis): boolean {
		return this.#ageMs(now) < expiryMs;
	}

	/** Whether the last sum, which may count no more, is at least not long past. */
	isRecent(now: Millis): boolean {
		return this.#ageMs(now) < graceMs;
	}

	/** The time between the last two sums; undefined if no earlier one counted any more when the last came. */
	get elapsedMs(): Millis | undefined {
		const [previous, last] = this.#sums.slice(-2);
		return last && last.at - previous.at < expiryMs
			? last.at - previous.at
			: undefined;
	}

	/** Requests a second of the whole fleet; 0 without a sum. */
	get rate(): number {
		const last = this.#sums.at(-1);
		const isComplete = this.#sums.every(
			({daemons}) => daemons <= last!.daemons,
		);
		return last === undefined || isComplete
			? (last?.rate ?? 0)
			: Math.max(...this.#sums.map(({rate}) => rate));
	}

	/** The age of the last sum; infinite if there is none. */
	#ageMs(now: Millis): Millis {
		return now - (this.#sums.at(-1)?.at ?? -Infinity);
	}
}
