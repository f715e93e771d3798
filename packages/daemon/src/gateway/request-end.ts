/** The daemon's own answers to callers, sent when no backend server's answer can be. */
import {type ServerResponse} from 'node:http';
import {ranAfter, type AttemptEnd, type Millis} from '@kingcuproute/core';

/** Why a request was refused or failed. */
export type Reason =
	| 'no-config'
	| 'no-route'
	/** The route's service is not in the configuration, or could not be read there. */
	| 'no-service'
	| 'bad-request'
	| 'too-large'
	/** The request has no API key that a customer has. */
	| 'unauthorized'
	/** The store may have withdrawn API keys without this daemon's knowledge. */
	| 'keys-outdated'
	/** The customer has used up its quota. */
	| 'over-quota'
	| 'no-server'
	| 'no-owner'
	| 'overloaded'
	/** The only servers that may have the request are cold, and have got what they can take. */
	| 'cold'
	/** Every server that may have the request wants none for a while. */
	| 'held'
	| 'declined'
	| 'lost'
	| 'timeout'
	/** No time was left to send the request. */
	| 'too-late'
	/** The request has crashed the servers that ran it. */
	| 'quarantined'
	/** The daemon stops before the request would have to be answered. */
	| 'stopping'
	| 'internal';

/** How a request ended without an answer. `notRun` promises that it did not run and never will; otherwise it may have run. */
export type RequestEnd = {
	readonly reason: Reason;
	readonly notRun: boolean;
	readonly retryAfterMs?: Millis;
	/** For the log: the state of the least loaded server, if all were full or cold, or that of the customer's quota. */
	readonly full?: Readonly<Record<string, string | number>>;
	/** For the log: what is wrong with the API key. */
	readonly cause?: string;
};

const secondMs: Millis = 1000;
/** About the run time of the shortest requests: a slot is likely to be free by then. */
const declinedRetryMs: Millis = 300;

const notRunStatuses: Readonly<Partial<Record<Reason, number>>> = {
	'no-route': 404,
	'bad-request': 400,
	'too-large': 413,
	unauthorized: 401,
	'over-quota': 429,
};
const unavailableStatus = 503;
const badGatewayStatus = 502;
const timeoutStatus = 504;

/** The HTTP status, which tells callers whether they may send the request again. */
export function statusOf({reason, notRun}: RequestEnd): number {
	if (notRun) {
		return notRunStatuses[reason] ?? unavailableStatus;
	}

	return reason === 'timeout' ? timeoutStatus : badGatewayStatus;
}

/** Answers the caller. An answer that has already begun is cut off, so that it is not taken for complete. */
export function sendEnd(res: ServerResponse, end: RequestEnd): void {
	if (res.headersSent) {
		res.destroy();
		return;
	}

	const {reason, retryAfterMs} = end;
	const headers: Record<string, string> = {'content-type': 'application/json'};
	if (end.notRun && retryAfterMs !== undefined) {
		headers['retry-after'] = (retryAfterMs / secondMs).toFixed(3);
	}

	if (reason === 'unauthorized') {
		headers['www-authenticate'] = 'Bearer';
	}

	res.writeHead(statusOf(end), headers);
	res.end(JSON.stringify({reason, notRun: end.notRun}));
}

/** What the caller is told after a failed attempt; `refusal` is why there is no further one. */
export function endAfterFailure(
	end: AttemptEnd,
	refusal: RequestEnd | undefined,
): RequestEnd {
	if (ranAfter(end) === 'not-run') {
		return (
			refusal ?? {
				reason: 'declined',
				notRun: true,
				retryAfterMs: declinedRetryMs,
			}
		);
	}

	const isSilent = end.kind === 'lost' && end.silent;
	return {reason: isSilent ? 'timeout' : 'lost', notRun: false};
}

/** Once an attempt may have run the request, a later one that did not run it changes nothing. */
export function endToReport(
	earlier: AttemptEnd | undefined,
	end: AttemptEnd,
): AttemptEnd {
	return earlier && ranAfter(earlier) !== 'not-run' ? earlier : end;
}
