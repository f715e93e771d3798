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
/** A safe request is answered by another server within this time, unless that is lost as well. */
const settleMs: Millis = 500;
const maxLost = 10_000;
const maxEnded = 1000;
/** The most requests reported for one crash; those lost at several servers come first. */
const maxReported = 20;

/** The requests taken out, and whether the run has lost no others lately. */
export type TakenLosses = {
	readonly fingerprints: readonly string[];
	readonly areAll: boolean;
};

export class CrashLosses {
	/** When each request was lost, by its fingerprint and the run; the oldest request first. */
	readonly #lost = new Map<string, Map<string, Millis>>();
	/** When each run proved to be over. */
	readonly #ended = new Map<string, Millis>();

	/** Whether requests wait for the proof that a server crashed. */
	get isEmpty(): boolean {
		return this.#lost.size === 0;
	}

	/** Records that the run lost a request. */
	lost(run: ServerRun, fingerprint: string, now: Millis): void {
		this.#prune(now);
		const runs = this.#lost.get(fingerprint) ?? new Map<string, Millis>();
		this.#lost.delete(fingerprint);
		this.#lost.set(fingerprint, runs.set(runKeyOf(run), now));
	}

	/** Records an answer to the request: it does not crash the servers that run it. */
	answered(fingerprint: string): void {
		this.#lost.delete(fingerprint);
	}

	/** Records that the run is over, by a crash; false if that was known. */
	ended(run: ServerRun, now: Millis): boolean {
		this.#prune(now);
		const key = runKeyOf(run);
		const isNew = !this.#ended.has(key);
		this.#ended.delete(key);
		this.#ended.set(key, now);
		return isNew;
	}

	/** Whether the run is known to be over. */
	isOver(run: ServerRun): boolean {
		return this.#ended.has(runKeyOf(run));
	}

	/**
	 * Takes out the requests that a run which is over lost `settleMs` ago or earlier, so that
	 * another server has had time to answer them.
	 */
	take(run: ServerRun, now: Millis): TakenLosses {
		this.#prune(now);
		const key = runKeyOf(run);
		const lostHere = [...this.#lost].filter(([, runs]) => runs.has(key));
		const settled = lostHere.filter(
			([, runs]) => now - runs.get(key)! >= settleMs,
		);
		const reported = settled
			.toSorted(([, a], [, b]) => b.size - a.size)
			.slice(0, maxReported)
			.map(([fingerprint]) => fingerprint);
		for (const [fingerprint, runs] of settled) {
			runs.delete(key);
			if (runs.size === 0) {
				this.#lost.delete(fingerprint);
			}
		}

		return {fingerprints: reported, areAll: settled.length === lostHere.length};
	}

	#prune(now: Millis): void {
		for (const [fingerprint, runs] of this.#lost) {
			const lastAt = Math.max(...runs.values());
			if (now - lastAt < togetherMs && this.#lost.size <= maxLost) {
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
