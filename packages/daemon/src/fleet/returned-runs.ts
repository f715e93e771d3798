/** Detects daemon runs that were out and are live members again. */
import {type Member, type Membership} from '@kingcuproute/core';

export class ReturnedRuns {
	/** Ids of the members at the last update. */
	#live: ReadonlySet<string> = new Set();
	/** Ids of the members at any update that are not proved gone. */
	#known: ReadonlySet<string> = new Set();

	/** Returns the members that have come back since the last update; new runs are not among them. */
	update(
		members: readonly Member[],
		membership: Membership,
	): readonly Member[] {
		const returned = members.filter(
			({id}) => this.#known.has(id) && !this.#live.has(id),
		);
		this.#live = new Set(members.map(({id}) => id));
		this.#known = new Set(
			[...this.#known, ...this.#live].filter((id) => membership.get(id)),
		);
		return returned;
	}
}
