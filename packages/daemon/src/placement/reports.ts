/** What daemons have reported to the planner of one service: load by slice and by key, and servers that are down. */
import {
	LoadWindow,
	type Guard,
	type LoadReport,
	type Millis,
} from '@kingcuproute/core';

type DownReport = {readonly down: ReadonlySet<string>; readonly at: Millis};

export class Reports {
	#window: LoadWindow;
	readonly #down = new Map<string, DownReport>();

	constructor(now: Millis, fadeMs: Millis) {
		this.#window = LoadWindow.startingAt(now, fadeMs);
	}

	/** Adds one daemon's report. */
	add(
		from: string,
		load: LoadReport,
		{
			slices,
			down,
			now,
		}: {
			readonly slices: number;
			readonly down: readonly string[];
			readonly now: Millis;
		},
	): void {
		this.#window = this.#window.withReport(load, slices, now);
		this.#down.set(from, {down: new Set(down), at: now});
	}

	/** Requests by slice; older ones count for less. */
	loads(now: Millis): ReadonlyMap<number, number> {
		return this.#window.loads(now);
	}

	/** Requests by key, for the heaviest keys; older ones count for less. */
	keys(now: Millis): ReadonlyMap<string, number> {
		return this.#window.keys(now);
	}

	/** Whether loads have been counted for long enough to plan by them. */
	isWarm(now: Millis): boolean {
		return this.#window.isWarm(now);
	}

	/** Servers that were down in the latest report of their guardian or successor, if that report is no older than `ageMs`. */
	down(
		guards: Readonly<Record<string, Guard>>,
		now: Millis,
		ageMs: Millis,
	): ReadonlySet<string> {
		for (const [from, {at}] of this.#down) {
			if (now - at > ageMs) {
				this.#down.delete(from);
			}
		}

		const down = Object.entries(guards)
			.filter(([server, {guardian, successor}]) =>
				[guardian, successor].some((id) =>
					this.#down.get(id)?.down.has(server),
				),
			)
			.map(([server]) => server);
		return new Set(down);
	}
}
