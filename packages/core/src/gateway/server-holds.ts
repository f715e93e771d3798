/**
 * Backend servers that have asked, with a refusal, to get no requests for a while.
 * Answers the load of a server that is full or recovering: its requests go to other
 * servers, or are refused at once with the time at which the first hold ends. They are
 * never queued until then, since their callers can return sooner to another daemon.
 */
import {type Millis} from '../time/clock.js';
import {runKeyOf, type ServerRun} from './server-run.js';

/** After this time a held server gets a request again even if it asked for more: the request shows whether it still refuses. */
const maxHoldMs: Millis = 60_000;

export class ServerHolds {
	readonly #ends = new Map<string, Millis>();

	/** Whether no run is held. */
	get isEmpty(): boolean {
		return this.#ends.size === 0;
	}

	/** Holds the run for `forMs` from `now`; a shorter hold does not end a longer one. */
	hold(run: ServerRun, forMs: Millis, now: Millis): void {
		const key = runKeyOf(run);
		const until = now + Math.min(forMs, maxHoldMs);
		this.#ends.set(key, Math.max(until, this.#ends.get(key) ?? 0));
	}

	/** How much longer the run is held; 0 if it is not. */
	leftMs(run: ServerRun, now: Millis): Millis {
		return Math.max(0, (this.#ends.get(runKeyOf(run)) ?? 0) - now);
	}

	/** Drops the holds that have ended. */
	prune(now: Millis): void {
		for (const [key, until] of this.#ends) {
			if (until <= now) {
				this.#ends.delete(key);
			}
		}
	}
}
