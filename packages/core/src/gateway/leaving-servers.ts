/**
 * Backend servers known to be leaving, from their entries or from their answers. Guards
 * against new work on servers that are about to stop, in releases and scale-downs: what
 * a daemon has once learned holds through outages of the store, outdated lists and
 * entries that lapse and return. It ends with the run, so a server that starts again,
 * or another one at the same address, gets work at once.
 */
import {type Millis} from '../time/clock.js';
import {runKeyOf, type ServerRun} from './server-run.js';

/** A run is forgotten this long after its entry was last seen: no list is as old as that. */
const forgetMs: Millis = 600_000;

type Notice = {
	/** Since when the run may have been leaving. */
	readonly since: Millis;
	/** When the run was last listed, or the notice came. */
	readonly seenAt: Millis;
};

export class LeavingServers {
	readonly #notices = new Map<string, Notice>();

	/** Whether no run is known to be leaving. */
	get isEmpty(): boolean {
		return this.#notices.size === 0;
	}

	/**
	 * Records that the run is leaving; false if that was known. `since` is -Infinity where
	 * it may have been leaving for long; of several notices the earliest counts.
	 */
	add(run: ServerRun, since: Millis, now: Millis): boolean {
		const key = runKeyOf(run);
		const known = this.#notices.get(key);
		const earliest = Math.min(known?.since ?? since, since);
		this.#notices.set(key, {since: earliest, seenAt: now});
		return !known;
	}

	has(run: ServerRun): boolean {
		return this.#notices.has(runKeyOf(run));
	}

	/** How long the run may have been leaving; undefined if it is not known to be. */
	age(run: ServerRun, now: Millis): Millis | undefined {
		const notice = this.#notices.get(runKeyOf(run));
		return notice && now - notice.since;
	}

	/** Whether the run may get requests that no other server can take: it has not been leaving for `leavingMs` yet, as far as is known. */
	mayTake(run: ServerRun, leavingMs: Millis, now: Millis): boolean {
		return (this.age(run, now) ?? 0) < leavingMs;
	}

	/** Forgets runs that have not been listed for a long time. */
	prune(listed: readonly ServerRun[], now: Millis): void {
		for (const run of listed) {
			const notice = this.#notices.get(runKeyOf(run));
			if (notice) {
				this.#notices.set(runKeyOf(run), {...notice, seenAt: now});
			}
		}

		for (const [key, {seenAt}] of this.#notices) {
			if (now - seenAt > forgetMs) {
				this.#notices.delete(key);
			}
		}
	}
}
