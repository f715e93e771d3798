/**
 * One daemon's part of a customer's quota: its part of the reported demand, but for a small
 * even part with which a daemon without demand so far can begin. Answers the load of a
 * customer whose requests move to other daemons within a second: the daemon's demand in the
 * last seconds counts as well as that of a longer time, which evens out the chance of less
 * than one request a second.
 */
import {type Millis} from '../time/clock.js';
import {averaged, type DaemonDemand} from './demand-meter.js';

/** The demand of all daemons, as far as this one knows. */
export type KnownDemand = {
	/** Requests a second. */
	readonly rate: number;
	/** The part of the daemons whose reports `rate` contains; the others need the rest of the quota. */
	readonly present: number;
	readonly daemons: number;
	/** The time since the last such knowledge. */
	readonly elapsedMs: Millis;
};

/** The share of the quota that is divided evenly. */
const evenShare = 0.1;
/** As long as a daemon's own lasting demand is averaged. */
const lastingMs: Millis = 10_000;

const noDemand: DaemonDemand = {latest: 0, recent: 0, lasting: 0};

export class QuotaShare {
	#share: number | undefined;
	/** The fleet's demand, averaged as the daemon's own lasting one. */
	#lasting: number | undefined;
	/** The daemon's last report. */
	#own = noDemand;

	/** Records the daemon's own demand that its report states. */
	report(demand: DaemonDemand): void {
		this.#own = demand;
	}

	/** Adapts the part to what is now known of all daemons' demand. */
	update({rate, present, daemons, elapsedMs}: KnownDemand): void {
		const periods = elapsedMs / lastingMs;
		this.#lasting = averaged(this.#lasting ?? rate, rate, periods);
		const {recent, lasting} = this.#own;
		const byDemand = Math.max(
			partOf(lasting, this.#lasting, daemons),
			partOf(recent, rate, daemons),
		);
		this.#share = evenShare / daemons + (1 - evenShare) * present * byDemand;
	}

	/** The demand of all daemons, averaged over some ten seconds. */
	get lasting(): number {
		return this.#lasting ?? 0;
	}

	/** The daemon's own demand that its last report stated. */
	get own(): DaemonDemand {
		return this.#own;
	}

	/** Forgets what is known of other daemons: from now on this one has an equal part. */
	reset(): void {
		this.#share = undefined;
	}

	/** The daemon's part of the quota, in a fleet of this many. */
	share(daemons: number): number {
		return this.#share ?? 1 / daemons;
	}
}

/** The part that `own` is of `all`, which may not contain all of it yet. */
function partOf(own: number, all: number, daemons: number): number {
	const demand = Math.max(own, all);
	return demand > 0 ? own / demand : 1 / daemons;
}
