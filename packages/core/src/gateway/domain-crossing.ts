/**
 * What it costs to send a request to a backend server in another failure domain, as a time
 * that is added to the server's expected time. Addresses the load of deployments whose
 * bytes between domains are expensive: long uploads stay in the daemon's own domain as
 * long as waiting there costs callers less than the transfer.
 */
import {type Millis} from '../time/clock.js';
import {type RouteRule} from './route-rule.js';

/** The daemon's own domain, and what sending a request elsewhere is charged; 0 leaves domains out of account. */
export type DomainCrossing = {
	readonly ownDomain: string;
	readonly chargeMs: Millis;
};

/** Bytes that one request moves, and the caller's time until its target latency. */
export type Transfer = {
	readonly requestLen: number;
	readonly answerLen: number;
	readonly slackMs: Millis;
};

const kilobyteLen = 1024;
/** The charge takes at most this share of the slack, so that a request still reaches another domain when its own is full. */
const maxSlackShare = 0.5;
/** Number of daemons from which on a deployment that sets no charge has one: each failure domain then has several servers of a service. */
const largeFleet = 16;
/** Charge of a large deployment, in ms per KB. */
const largeFleetMsPerKb = 2;
/** Weight of a new answer in a route's mean length: a dozen answers outweigh all earlier ones. */
const newAnswerWeight = 0.15;

/** The charge in ms per KB of a deployment that sets none. */
export function defaultMsPerKb(daemons: number): number {
	return daemons >= largeFleet ? largeFleetMsPerKb : 0;
}

/** The charge for sending a request to another domain. */
export function crossingCharge(
	{requestLen, answerLen, slackMs}: Transfer,
	msPerKb: number,
): Millis {
	const charge = ((requestLen + answerLen) / kilobyteLen) * msPerKb;
	return Math.min(charge, Math.max(0, slackMs) * maxSlackShare);
}

/** The mean length of each route's answers, for one version of the configuration. */
export class AnswerLengths {
	readonly #means = new WeakMap<RouteRule, number>();

	record(rule: RouteRule, len: number): void {
		const previous = this.#means.get(rule) ?? len;
		this.#means.set(rule, previous + (len - previous) * newAnswerWeight);
	}

	/** 0 before the route's first answer. */
	mean(rule: RouteRule): number {
		return this.#means.get(rule) ?? 0;
	}
}
