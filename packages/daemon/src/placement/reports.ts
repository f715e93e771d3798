/** What a planner has heard about one service: load by slice and by key, and servers that are down. */
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
		this.#window = LoadWindow.from(now, fadeMs);
	}

	/** Takes one daemon's report in. */
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
		this.#window = this.#window.with(load, slices, now);
		this.#down.set(from, {down: new Set(down), at: now});
	}

	/** Counted requests by slice. */
	loads(now: Millis): ReadonlyMap<number, number> {
		return this.#window.loads(now);
	}

	/** Counted requests by key, of the heaviest keys. */
	keys(now: Millis): ReadonlyMap<string, number> {
		return this.#window.keys(now);
	}

	isWarm(now: Millis): boolean {
		return this.#window.isWarm(now);
	}

	/** Servers that one of their two guarding daemons last reported as down, and did so within `ageMs`. */
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
