/**
 * Averages the traffic of a service's keys over several seconds. Addresses servers that
 * are a little too busy all the time: over one second, a server's rate differs from its
 * mean by a third or more by chance, which hides that a slow server has too many keys.
 * Keys whose rate has fallen, such as formerly hot ones, count with their present rate.
 */
import {type Millis} from '../time/clock.js';
import {trafficDecayMs, type KeyTraffic} from './key-traffic.js';

/** Time constant of the averages: as long as slow servers keep too many keys at the most. */
const steadyDecayMs: Millis = 8000;
/** Adjacent keys are compared in groups, since one key gets too few requests to tell a change from chance. */
const groupSize = 256;
/** A group's rate has fallen if it is below its average by more than this many standard deviations. */
const significance = 3;
/** Averages below this rate, in requests a second, are dropped. */
const minRate = 0.001;
const secondMs: Millis = 1000;

export class SteadyTraffic {
	readonly #averages = new Map<number, number>();
	#startedAt: Millis | undefined;
	#updatedAt: Millis = 0;

	/** Requests this long ago have lost most of their weight. */
	get spanMs(): Millis {
		const observedMs = this.#updatedAt - (this.#startedAt ?? this.#updatedAt);
		return Math.min(steadyDecayMs, Math.max(trafficDecayMs, observedMs));
	}

	/** Takes the current rates into the averages. */
	update({rates}: KeyTraffic, now: Millis): void {
		if (this.#startedAt === undefined) {
			this.#startedAt = now;
		}

		const elapsedMs = now - this.#updatedAt;
		this.#updatedAt = now;
		const weight = Math.min(1, elapsedMs / this.spanMs);
		for (const [key, average] of this.#averages) {
			const next = average + ((rates.get(key) ?? 0) - average) * weight;
			if (next < minRate) {
				this.#averages.delete(key);
			} else {
				this.#averages.set(key, next);
			}
		}

		for (const [key, rate] of rates) {
			if (!this.#averages.has(key) && rate * weight >= minRate) {
				this.#averages.set(key, rate * weight);
			}
		}
	}

	/** The averaged traffic; `current` is the traffic as of now. */
	averageOf(current: KeyTraffic): KeyTraffic {
		const averages = byGroup(this.#averages);
		const present = byGroup(current.rates);
		const hasFallen = (group: number) => {
			const average = averages.get(group) ?? 0;
			const unit = secondMs / (2 * trafficDecayMs);
			return (
				average - (present.get(group) ?? 0) >
				significance * Math.sqrt(average * unit)
			);
		};

		const fallen = new Set(
			[...averages.keys()].filter((key) => hasFallen(key)),
		);
		const isFallen = (key: number) => fallen.has(groupOf(key));
		return {
			...current,
			rates: new Map([
				...[...this.#averages].filter(([key]) => !isFallen(key)),
				...[...current.rates].filter(([key]) => isFallen(key)),
			]),
		};
	}
}

function groupOf(key: number): number {
	return Math.floor(key / groupSize);
}

function byGroup(rates: ReadonlyMap<number, number>): Map<number, number> {
	const groups = new Map<number, number>();
	for (const [key, rate] of rates) {
		const group = groupOf(key);
		groups.set(group, (groups.get(group) ?? 0) + rate);
	}

	return groups;
}
