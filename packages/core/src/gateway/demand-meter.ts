/** The rate of one customer's requests at one daemon, refused ones included. */
import {type Millis} from '../time/clock.js';

/** Follows a surge: what lasts for one second counts at two fifths. */
const recentMs: Millis = 2000;
/** Evens out the chance of less than one request a second. */
const lastingMs: Millis = 10_000;
const secondMs: Millis = 1000;

/** Requests a second at one daemon. */
export type DaemonDemand = {
	/** Since the last measurement. */
	readonly latest: number;
	/** Averaged over a few seconds. */
	readonly recent: number;
	/** Averaged over some ten seconds. */
	readonly lasting: number;
};

export class DemandMeter {
	#count = 0;
	#demand: DaemonDemand = {latest: 0, recent: 0, lasting: 0};

	constructor(private measuredAt: Millis) {}

	/** Counts a request. */
	record(): void {
		this.#count++;
	}

	measure(now: Millis): DaemonDemand {
		const elapsedMs = now - this.measuredAt;
		if (elapsedMs > 0) {
			const {recent, lasting} = this.#demand;
			const latest = this.#count / (elapsedMs / secondMs);
			this.#demand = {
				latest,
				recent: averaged(recent, latest, elapsedMs / recentMs),
				lasting: averaged(lasting, latest, elapsedMs / lastingMs),
			};
			this.#count = 0;
			this.measuredAt = now;
		}

		return this.#demand;
	}
}

/** The exponential average after `latest` has lasted for `periods` of the averaging time. */
export function averaged(
	average: number,
	latest: number,
	periods: number,
): number {
	return average + (1 - Math.exp(-periods)) * (latest - average);
}
