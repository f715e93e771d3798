/** What a guardian knows of the other daemons: last addresses, which are gone, and which are eligible as successors. */
import {
	type Duties,
	type Millis,
	type Peers,
	type View,
} from '@kingcuproute/core';
import {type Member} from '../fleet/identity.js';
import {type Topic} from '../task/topic.js';
import {eligiblePeers, type EligiblePeers} from './peers-of.js';

export class KnownPeers {
	readonly #goneAt = new Map<string, Millis>();
	readonly #seen = new Map<string, Member>();
	readonly #eligible = new Map<string, EligiblePeers>();

	constructor(
		private readonly self: Pick<Member, 'id' | 'failureDomain'>,
		private readonly members: Pick<Topic<readonly Member[]>, 'value'>,
		/** `members` are those that may be guardians. */
		private readonly duties: Pick<Topic<Duties>, 'value'>,
	) {}

	/** Adds the current members and those proved gone. */
	update(gone: Iterable<string>, now: Millis): void {
		for (const member of this.members.value) {
			this.#seen.set(member.id, member);
		}

		for (const id of gone) {
			if (!this.#goneAt.has(id)) {
				this.#goneAt.set(id, now);
			}
		}
	}

	/** The address of a daemon when it was last a member. */
	addressOf(daemon: string): string | undefined {
		return this.#seen.get(daemon)?.address;
	}

	/** The peers that matter for decisions about `server`. */
	of(server: string, view: View, heardAt: Peers['heardAt']): Peers {
		const {members} = this.duties.value;
		const known = this.#eligible.get(server);
		const eligible =
			known?.view === view && known.members === members
				? known
				: eligiblePeers(view, members, server, this.self);
		this.#eligible.set(server, eligible);
		const {candidates, servers} = eligible;
		return {heardAt, goneAt: this.#goneAt, candidates, servers};
	}
}
