/**
 * Requests that were lost at backend servers of which it is not known yet whether they
 * crashed. A connection may break for many reasons. Only once a server's run has proved to
 * be over do the requests that it lost count as in flight at a crash, except those that
 * have been answered elsewhere meanwhile. Bounded, as the crash of a whole failure domain
 * loses thousands of requests at once.
 */
import {type Millis} from '../time/clock.js';
import {runKeyOf, type ServerRun} from './server-run.js';

/** A loss and the end of the run belong together if they are no further apart: an entry lapses within a few seconds. */
const togetherMs: Millis = 10_000;
const maxLost = 10_000;
const maxEnded = 1000;
/** The most requests reported for one crash; those lost at several servers come first. */
const maxReported = 20;

export class CrashLosses {
	/** When each request was lost, by its fingerprint and the run; the oldest request first. */
	readonly #lost = new Map<string, Map<string, Millis>>();
	/** When each run proved to be over. */
	readonly #ended = new Map<string, Millis>();

	/** Whether requests wait for the proof that a server crashed. */
	get isEmpty(): boolean {
		return this.#lost.size === 0;
	}

	/** Records that the run lost a request; true if the run is known to be over. */
	lost(run: ServerRun, fingerprint: string, now: Millis): boolean {
		this.#prune(now);
		const key = runKeyOf(run);
		if (this.#ended.has(key)) {
			return true;
		}

		const runs = this.#lost.get(fingerprint) ?? new Map<string, Millis>();
		this.#lost.delete(fingerprint);
		this.#lost.set(fingerprint, runs.set(key, now));
		return false;
	}

	/** Records an answer to the request: it does not crash the servers that run it. */
	answered(fingerprint: string): void {
		this.#lost.delete(fingerprint);
	}

	/** Records that the run is over, by a crash; returns the requests lost there that have not been answered. */
	ended(run: ServerRun, now: Millis): readonly string[] {
		this.#prune(now);
		const key = runKeyOf(run);
		this.#ended.delete(key);
		this.#ended.set(key, now);
		const lostHere = [...this.#lost].filter(([, runs]) => runs.has(key));
		const reported = lostHere
			.toSorted(([, a], [, b]) => b.size - a.size)
			.slice(0, maxReported);
		for (const [, runs] of lostHere) {
			// A request that is reported once still counts as lost at its other servers.
			runs.delete(key);
		}

		this.#prune(now);
		return reported.map(([fingerprint]) => fingerprint);
	}

	#prune(now: Millis): void {
		for (const [fingerprint, runs] of this.#lost) {
			const lastAt = Math.max(...runs.values());
			if (
				runs.size > 0 &&
				now - lastAt < togetherMs &&
				this.#lost.size <= maxLost
			) {
				break;
			}

			this.#lost.delete(fingerprint);
		}

		for (const [key, at] of this.#ended) {
			if (now - at < togetherMs && this.#ended.size <= maxEnded) {
				break;
			}

			this.#ended.delete(key);
		}
	}
}
