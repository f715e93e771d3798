/** A refusal as callers get it: a status, headers for programs and a JSON body for people. */
import {type ServerResponse} from 'node:http';
import {type Reason, type Refusal} from '@kingcuproute/core';

const statuses: Readonly<Record<Reason, number>> = {
	'bad-request': 400,
	'no-contract': 403,
	'no-service': 404,
	'over-limit': 429,
	'no-owner': 503,
	'no-server': 503,
	overloaded: 503,
	deadline: 504,
	quarantined: 503,
	'cut-off': 502,
	duplicate: 409,
	unproved: 409,
	'no-key-holder': 503,
	stopping: 503,
};

/**
 * Writes the refusal. If an answer has already begun, closes the connection instead, so
 * that the caller does not take that answer for complete.
 */
export function sendRefusal(
	res: ServerResponse,
	id: string,
	refusal: Refusal,
): void {
	if (res.headersSent) {
		res.destroy();
		return;
	}

	const headers: Record<string, string> = {
		'content-type': 'application/json',
		'x-kingcup-request-id': id,
		'x-kingcup-ran': refusal.ran,
		'x-kingcup-reason': refusal.reason,
	};
	if (refusal.retryAfterMs !== undefined) {
		headers['retry-after'] = String(Math.ceil(refusal.retryAfterMs / 1000));
		headers['x-kingcup-retry-after-ms'] = String(refusal.retryAfterMs);
	}

	res.writeHead(statuses[refusal.reason], headers);
	res.end(JSON.stringify({id, ...refusal}));
}
