/**
 * Keeps servers in service whose entries vanished because the platform's store was
 * unavailable, not because the servers stopped. A server renews its entry; while the
 * store is unavailable it cannot, and the entry lapses. The entry returns soon after the
 * store does, so the server stays in service until then.
 */
import {type Millis} from '../time/clock.js';
import {type ListedServer} from './listed-server.js';

/** Running servers re-register within about two seconds after the store returns. */
const holdMs: Millis = 2000;

export class LapseHold {
	#listed: readonly ListedServer[] = [];
	readonly #held = new Map<string, ListedServer>();
	#heldUntil: Millis = -Infinity;

	/** When the hold ends; undefined while no server is held. */
	get until(): Millis | undefined {
		return this.#held.size > 0 ? this.#heldUntil : undefined;
	}

	/** The servers kept in service without an entry. */
	get held(): readonly string[] {
		return [...this.#held.keys()];
	}

	/**
	 * Updates the hold with the present entries and when the store last returned from an
	 * absence. Returns the servers to treat as in service.
	 */
	update(
		listed: readonly ListedServer[],
		returnedAt: Millis,
		now: Millis,
	): readonly ListedServer[] {
		const names = new Set(listed.map(({backendServer}) => backendServer));
		const lapsed = this.#listed.filter(
			({backendServer, draining}) => !draining && !names.has(backendServer),
		);
		this.#listed = listed;
		if (lapsed.length > 0 && now - returnedAt < holdMs) {
			this.#heldUntil = returnedAt + holdMs;
			for (const server of lapsed) {
				this.#held.set(server.backendServer, server);
			}
		}

		return this.servers(now);
	}

	/** The servers to treat as in service now. */
	servers(now: Millis): readonly ListedServer[] {
		if (now >= this.#heldUntil) {
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
