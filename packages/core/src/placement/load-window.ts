/**
 * Exponentially decaying counts of the requests of all daemons, per slice and for the
 * heaviest keys. The state is one number per slice and a bounded number of keys,
 * regardless of how many daemons report and how many keys exist.
 */
import {sliceOf} from '../ownership/slice.js';
import {type Millis} from '../time/clock.js';
import {type LoadReport} from './load-report.js';

/** Time in which a count decays to 1 / e. */
export const loadFadeMs: Millis = 20_000;

/** Keys kept: several for each row of a hot key, so that the next keys to become hot are known too. */
const maxKeys = 512;

type Counts<T> = ReadonlyMap<T, number>;

export class LoadWindow {
	/** An empty window that starts at `now`. */
	static startingAt(now: Millis, fadeMs = loadFadeMs): LoadWindow {
		return new LoadWindow(new Map(), new Map(), {since: now, at: now, fadeMs});
	}

	private constructor(
		private readonly slices: Counts<number>,
		private readonly heavy: Counts<string>,
		private readonly times: {
			readonly since: Millis;
			readonly at: Millis;
			readonly fadeMs: Millis;
		},
	) {}

	/** The window with one report added; the slices of `count` that the report does not list share its `rest` evenly. */
	withReport(report: LoadReport, count: number, now: Millis): LoadWindow {
		const slices = new Map(this.loads(now));
		const others = Math.max(1, count - report.slices.size);
		const evenPart = report.rest / others;
		for (let slice = 0; slice < count; slice++) {
			const seen = report.slices.get(slice) ?? evenPart;
			if (seen > 0) {
				slices.set(slice, (slices.get(slice) ?? 0) + seen);
			}
		}

		for (const [key, seen] of report.keys) {
			const slice = sliceOf(key, count);
			slices.set(slice, (slices.get(slice) ?? 0) + seen);
		}

		const heavy = heaviestOfBoth(this.keys(now), report.keys);
		return new LoadWindow(slices, heavy, {...this.times, at: now});
	}

	/** Decayed requests by slice at `now`, including those of the heaviest keys. */
	loads(now: Millis): Counts<number> {
		return faded(this.slices, this.#factor(now));
	}

	/** Decayed requests by key at `now`, for the heaviest keys. */
	keys(now: Millis): Counts<string> {
		return faded(this.heavy, this.#factor(now));
	}

	/** Whether the window covers a period long enough to base decisions on. */
	isWarm(now: Millis): boolean {
		const {since, fadeMs} = this.times;
		return now - since >= fadeMs / 2;
	}

	#factor(now: Millis): number {
		const {at, fadeMs} = this.times;
		return Math.exp(-Math.max(0, now - at) / fadeMs);
	}
}

function faded<T>(counts: Counts<T>, factor: number): Counts<T> {
	return new Map(
		[...counts]
			.map(([id, count]) => [id, count * factor] as const)
			.filter(([, count]) => count > minCount),
	);
}

/** The sums of both counts, limited to the `maxKeys` heaviest keys. */
function heaviestOfBoth(
	counts: Counts<string>,
	more: Counts<string>,
): Counts<string> {
	const sums = new Map(counts);
	for (const [key, count] of more) {
		sums.set(key, (sums.get(key) ?? 0) + count);
	}

	return sums.size <= maxKeys
		? sums
		: new Map([...sums].sort(([, a], [, b]) => b - a).slice(0, maxKeys));
}

/** Counts that have decayed to this or less are dropped. */
const minCount = 0.01;
