/**
 * Pulls from daemons that have come back what this one missed. After a network
 * partition, each side may hold what the other lacks, and for seconds the regular
 * pulls may reach daemons of this side only. If few daemons have come back, only
 * a few others pull from them.
 */
import {
	type Cancel,
	type Clock,
	type Member,
	type Membership,
	type Millis,
	type Random,
} from '@kingcuproute/core';
import {ReturnedRuns} from './returned-runs.js';

/** Mean delay before a pull, so that daemons do not all pull at the same time. */
const meanDelayMs: Millis = 150;
/** Limit on pulls until one is answered. With their delays they take most of the 3 s in which a change must be in force. */
const maxPulls = 16;
/** Mean number of daemons that pull from each returned daemon: enough to spread its news down the tree. */
const meanPullersPerDaemon = 8;

export type CatchUpParts = {
	readonly clock: Clock;
	readonly random: Random;
	/** Pulls from the daemon at an address; resolves to whether it answered. */
	readonly pull: (address: string) => Promise<boolean>;
};

export class CatchUp {
	readonly #returnedRuns = new ReturnedRuns();
	/** Daemons that have come back and have not answered yet. */
	#returned: readonly Member[] = [];
	#pullsLeft = 0;
	#cancel: Cancel | undefined;

	constructor(private readonly parts: CatchUpParts) {}

	/** Updates the live members; pulls from random returned daemons until one answers. */
	update(members: readonly Member[], membership: Membership): void {
		const returned = this.#returnedRuns.update(members, membership);
		const live = new Set(members.map(({id}) => id));
		this.#returned = this.#returned.filter(({id}) => live.has(id));
		const pullProbability =
			(meanPullersPerDaemon * returned.length) / members.length;
		if (this.parts.random.fraction() < pullProbability) {
			this.#returned = [...this.#returned, ...returned];
			this.#pullsLeft = maxPulls;
			this.#schedulePull();
		}
	}

	stop(): void {
		this.#cancel?.();
		this.#returned = [];
	}

	#schedulePull(): void {
		const {clock, random} = this.parts;
		this.#cancel ??= clock.after(random.jitter(meanDelayMs), () => {
			this.#cancel = undefined;
			void this.#pull();
		});
	}

	async #pull(): Promise<void> {
		const candidates = this.#returned;
		const address = this.parts.random.pick(candidates)?.address;
		if (address === undefined) {
			return;
		}

		this.#pullsLeft--;
		if (await this.parts.pull(address)) {
			// Daemons that came back in the meantime still have to be asked.
			this.#returned = this.#returned.filter(
				(member) => !candidates.includes(member),
			);
		} else if (this.#pullsLeft > 0) {
			this.#schedulePull();
		}
	}
}
