/**
 * Token buckets for the requests that one daemon sends to cold backend servers. Answers
 * the load of a key, or of a whole service, of which only cold servers are left: each
 * daemon has an equal share of a server's rate and none hears of the others' requests.
 * Two things keep their sum within what the server bears. The buckets fill at random
 * phases, so that daemons that see the same request rate do not all send at once. And in
 * a fleet with more daemons than the server bears requests beyond its rate, a token that
 * has lain unused is good only with a probability: a burst after a calm would otherwise
 * bring one request from each daemon.
 */
import {type Random} from '../chance/random.js';
import {type Millis} from '../time/clock.js';

/** What a cold server bears, and how many daemons share it. */
export type ColdBounds = {
	/** Requests a second from all daemons together. */
	readonly rate: number;
	/** Requests beyond `rate` that it bears in one second. */
	readonly excess: number;
	readonly daemons: number;
};

/** A token is unused once it has been ready for this long. */
const unusedMs: Millis = 200;
/** The share of the rate that a fleet uses whose daemons send at random times of each other; the rest is for chance. */
const rateShare = 0.75;
/** The share of the excess that unused tokens may take on average; the rest is for chance. */
const unusedShare = 0.15;
const secondMs: Millis = 1000;

type Bucket = {
	/** Below 1 as of `at`; the bucket holds at most one token. */
	readonly tokens: number;
	readonly at: Millis;
};

export class ColdTokens {
	readonly #buckets = new Map<string, Bucket>();

	constructor(private readonly random: Random) {}

	/** Drops the buckets of servers that are not in `servers`. */
	keep(servers: ReadonlySet<string>): void {
		for (const server of this.#buckets.keys()) {
			if (!servers.has(server)) {
				this.#buckets.delete(server);
			}
		}
	}

	/** Takes a token for one request to a cold server; false if there is none. */
	take(server: string, bounds: ColdBounds, now: Millis): boolean {
		const {rate, excess, daemons} = bounds;
		const isFew = daemons <= excess;
		const perMs = (rate * (isFew ? 1 : rateShare)) / daemons / secondMs;
		const bucket = this.#buckets.get(server);
		if (!bucket) {
			this.#buckets.set(server, {tokens: this.random.fraction(), at: now});
			return false;
		}

		const readyMs = now - bucket.at - (1 - bucket.tokens) / perMs;
		if (readyMs < 0) {
			return false;
		}

		if (readyMs < unusedMs || isFew) {
			this.#buckets.set(server, {tokens: 0, at: now});
			return true;
		}

		this.#buckets.set(server, {tokens: this.random.fraction(), at: now});
		return this.random.fraction() < (excess * unusedShare) / daemons;
	}
}
