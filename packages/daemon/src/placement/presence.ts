/** When each daemon last answered, so that a short silence does not change any guard. */
import {type Millis} from '@kingcuproute/core';
import {type Member} from '../fleet/identity.js';

export class Presence {
	#seen: ReadonlyMap<string, Millis> = new Map();

	/** Records `members` as answering now, and returns the ids of all daemons that answered within `ageMs`. */
	recent(
		members: readonly Member[],
		now: Millis,
		ageMs: Millis,
	): ReadonlySet<string> {
		const recent = [...this.#seen].filter(([, at]) => now - at <= ageMs);
		this.#seen = new Map([
			...recent,
			...members.map(({id}) => [id, now] as const),
		]);
		return new Set(this.#seen.keys());
	}
}
