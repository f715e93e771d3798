/**
 * Bounds one customer's requests at one daemon by the daemon's own part of the quota. Where
 * that is less than one request, a part of a token is good with that probability, so that
 * the sum over all daemons is kept on average and a small quota is not nothing everywhere.
 */
import {type Random} from '../chance/random.js';
import {
	refilled,
	untilToken,
	type Bucket,
	type Flow,
} from '../limits/bucket.js';
import {type Millis} from '../time/clock.js';

export class QuotaBucket {
	#bucket: Bucket;

	constructor(
		now: Millis,
		private readonly random: Random,
	) {
		this.#bucket = {tokens: Infinity, at: now};
	}

	/** Takes a token, if there is one. */
	take(flow: Flow, now: Millis): boolean {
		const bucket = refilled(this.#bucket, flow, now);
		const {tokens} = bucket;
		if (tokens >= 1) {
			this.#bucket = {...bucket, tokens: tokens - 1};
			return true;
		}

		if (flow.burst >= 1 || tokens <= 0) {
			this.#bucket = bucket;
			return false;
		}

		this.#bucket = {...bucket, tokens: 0};
		return this.random.fraction() < tokens;
	}

	/** Gives back the token of a request that did not run. */
	refund(): void {
		const {tokens, at} = this.#bucket;
		this.#bucket = {tokens: tokens + 1, at};
	}

	/** The time until there is a whole token, in ms. */
	untilToken(flow: Flow, now: Millis): Millis {
		return untilToken(refilled(this.#bucket, flow, now), flow);
	}
}
