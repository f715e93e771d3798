/**
 * How long a daemon waits for the answers of its peers. Answers a slow way to all peers,
 * as over a link that requests fill: a time that is fixed takes it for the silence of each
 * peer in turn, and asking the next one adds to the load of the link.
 */
import {type Millis} from '../time/clock.js';

/** Small VMs are slow to read an answer while requests take their processor or their link. */
const minSlackMs: Millis = 400;
/** Bounds how late the silence of a peer is noticed. */
const maxSlackMs: Millis = 900;
/** Answers may take this many times as long as recent ones. */
const slackFactor = 2;
/** Weight of an earlier delay with each answer after it. */
const delayDecay = 0.8;

export class AnswerDelay {
	/** How long answers took of late. */
	#delayMs: Millis = 0;

	/** Time for an answer, beyond the time for which the peer may hold it. */
	get slackMs(): Millis {
		const slackMs = this.#delayMs * slackFactor;
		return Math.min(maxSlackMs, Math.max(minSlackMs, slackMs));
	}

	/** Records an answer that took `delayMs` beyond the hold. */
	answered(delayMs: Millis): void {
		this.#delayMs = Math.max(delayMs, this.#delayMs * delayDecay);
	}
}
