/**
 * How many requests a slot each server's own queue bears, learnt from what it declines.
 * Answers servers with short queues: a declined request has lost a round trip and uses
 * up a retry, so the bound falls below the load at which the server declined.
 */
import {type Millis} from '../time/clock.js';

/** The bound until a server declines, and the highest later: with three requests waiting a slot, a fourth ends after the target latency of most kinds. */
export const maxQueueLoad = 4;
/** The lowest learnt bound: a server that declines one request for another reason still gets enough to use its slots. */
const minQueueLoad = 1.5;
/** The bound after a decline, relative to the load at which the server declined. */
const declinedShare = 0.85;
/** Requests a slot by which a bound rises in a second without a decline. */
const risePerS = 0.5;
const secondMs: Millis = 1000;

type LearntLimit = {readonly load: number; readonly at: Millis};

export class QueueLimits {
	readonly #limits = new Map<string, LearntLimit>();

	/** The most requests a slot that the server is to get, at `now`. */
	limit(server: string, now: Millis): number {
		const learnt = this.#limits.get(server);
		return learnt
			? Math.min(
					maxQueueLoad,
					learnt.load + ((now - learnt.at) / secondMs) * risePerS,
				)
			: maxQueueLoad;
	}

	/** Records that the server declined a request when its load was taken to be `load`. */
	declined(server: string, load: number, now: Millis): void {
		const believed = Math.min(load, this.limit(server, now));
		this.#limits.set(server, {
			load: Math.max(minQueueLoad, believed * declinedShare),
			at: now,
		});
	}

	/** Drops the data of servers that are not in `servers`. */
	keep(servers: ReadonlySet<string>): void {
		for (const server of this.#limits.keys()) {
			if (!servers.has(server)) {
				this.#limits.delete(server);
			}
		}
	}
}
