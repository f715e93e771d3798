/**
 * Requests per slice, and of the heaviest keys, over all daemons, older ones fading
 * out. The state is one number a slice and a bounded number of keys, however many
 * daemons report and however many keys there are.
 */
import {sliceOf} from '../ownership/slice.js';
import {type Millis} from '../time/clock.js';
import {type LoadReport} from './load-report.js';

/** How long it takes a count to fade to 1 / e. */
export const loadFadeMs: Millis = 20_000;

/** Keys kept: some for each row of a hot key, so that the next ones are known too. */
const maxKeys = 512;

type Counts<T> = ReadonlyMap<T, number>;

export class LoadWindow {
	/** A window that begins empty at `now`. */
	static from(now: Millis, fadeMs = loadFadeMs): LoadWindow {
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

	/** With one report taken in; what it does not name of `count` slices gets an even part of the rest. */
	with(report: LoadReport, count: number, now: Millis): LoadWindow {
		const slices = new Map(this.loads(now));
		const others = Math.max(1, count - report.slices.size);
		const each = report.rest / others;
		for (let slice = 0; slice < count; slice++) {
			const seen = report.slices.get(slice) ?? each;
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

	/** Requests by slice as they count now, those of the heaviest keys included. */
	loads(now: Millis): Counts<number> {
		return faded(this.slices, this.#factor(now));
	}

	/** Requests by key as they count now, of the heaviest keys. */
	keys(now: Millis): Counts<string> {
		return faded(this.heavy, this.#factor(now));
	}

	/** Whether the window has been open long enough to act on. */
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

/** The heaviest keys of both. */
function heaviestOfBoth(
	known: Counts<string>,
	more: Counts<string>,
): Counts<string> {
	const sums = new Map(known);
	for (const [key, count] of more) {
		sums.set(key, (sums.get(key) ?? 0) + count);
	}

	return sums.size <= maxKeys
		? sums
		: new Map([...sums].sort(([, a], [, b]) => b - a).slice(0, maxKeys));
}

const minCount = 0.01;
