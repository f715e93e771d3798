/**
 * Entries of servers that vanished because the platform's store was away, and not
 * because the servers were. A server renews its entry; while the store is away it
 * cannot, and the entry lapses. It is back soon after the store is, so the server goes
 * on in service until then.
 */
import {type Millis} from '../time/clock.js';
import {type ListedServer} from './listed-server.js';

/** Living servers are back in the store within about two seconds of its return. */
const holdMs: Millis = 2000;
/** Where that part of all entries vanishes at once, the store was away, even if no call to it failed. */
const massShare = 0.3;
/** Fewer than that at once is no mass. */
const massCount = 3;

export class LapseHold {
	#listed: readonly ListedServer[] = [];
	readonly #held = new Map<string, ListedServer>();
	#until: Millis = -Infinity;

	/** When the hold ends; undefined while nothing is held. */
	get until(): Millis | undefined {
		return this.#held.size > 0 ? this.#until : undefined;
	}

	/** The servers that are held. */
	get held(): readonly string[] {
		return [...this.#held.keys()];
	}

	/**
	 * Takes in the entries as they are now, and when a call to the store last failed.
	 * Tells which servers count.
	 */
	heard(
		listed: readonly ListedServer[],
		lastFailureAt: Millis,
		now: Millis,
	): readonly ListedServer[] {
		const names = new Set(listed.map(({backendServer}) => backendServer));
		const gone = this.#listed.filter(
			({backendServer, draining}) => !draining && !names.has(backendServer),
		);
		const isMass =
			gone.length >= Math.max(massCount, this.#listed.length * massShare);
		this.#listed = listed;
		if (gone.length > 0 && (isMass || now - lastFailureAt < holdMs)) {
			this.#until = (isMass ? now : lastFailureAt) + holdMs;
			for (const server of gone) {
				this.#held.set(server.backendServer, server);
			}
		}

		return this.servers(now);
	}

	/** The servers that count now. */
	servers(now: Millis): readonly ListedServer[] {
		if (now >= this.#until) {
			this.#held.clear();
		}

		for (const {backendServer} of this.#listed) {
			this.#held.delete(backendServer);
		}

		const addresses = new Set(this.#listed.map(({address}) => address));
		const held = [...this.#held.values()].filter(
			({address}) => !addresses.has(address),
		);
		return [...this.#listed, ...held];
	}
}
