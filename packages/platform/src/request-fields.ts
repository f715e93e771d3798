/** The header fields of requests and answers that the platform defines. */
import {type Millis} from '@kingcuproute/core';

export const requestFields = {
	requestId: 'x-kingcuproute-request-id',
	/** Time that the sender will still wait, in ms: a duration, not a point in time. */
	allowedMs: 'x-kingcuproute-deadline-ms',
	/** The only server that may run the request; any other answers 421. */
	expectedServer: 'x-kingcuproute-expect-instance',
	key: 'x-kingcuproute-shard-key',
	/** The name of the customer whose request it is. Only daemons set it. */
	customer: 'x-kingcuproute-tenant',
	/** The caller's API key. Only callers send it. */
	authorization: 'authorization',
} as const;

export const answerFields = {
	/** The server's signature over its answer. */
	signature: 'x-kingcuproute-server-stamp',
	notRun: 'x-kingcuproute-not-executed',
	load: 'x-kingcuproute-server-load',
	server: 'x-kingcuproute-instance-id',
	/** Time for which the server will still be cold, in ms. */
	coldMs: 'x-kingcuproute-cold-ms',
	/** The server is about to stop. */
	leaving: 'server-leaving',
	/** With a refusal: for how many seconds the server wants no requests. */
	retryAfter: 'retry-after',
	/** Data that a server returns when it releases keys, for their next holder. */
	handover: 'x-kingcuproute-handover',
} as const;

/** The load that a backend server reports in an answer. */
export type ServerLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** How much longer than usual work takes there now; 1 is normal. */
	readonly slowness: number;
};

/** The field states slowness in percent. */
const normalSlowness = 100;

/** Parses the load field; undefined if it is malformed. */
export function parseLoad(text: string): ServerLoad | undefined {
	const numbers = text.split(',').map(Number);
	const [running, waiting, slots, slowness = normalSlowness] = numbers;
	const isValid =
		numbers.length >= 3 &&
		numbers.every((number) => Number.isFinite(number) && number >= 0) &&
		slots > 0;
	return isValid
		? {running, waiting, slots, slowness: slowness / normalSlowness}
		: undefined;
}

/** What the header of a backend server's answer says besides the status. */
export type AnswerMetadata = {
	readonly requestId: string | undefined;
	/** The server states that it did not run the request. */
	readonly notRun: boolean;
	/** The server states that it does not hold the request's key, or is not the one that the request was for. */
	readonly misdirected: boolean;
	/** The body has a content encoding, which no server should use. */
	readonly encoded: boolean;
	readonly load: ServerLoad | undefined;
	/** The server is about to stop. */
	readonly leaving: boolean;
	/** How long the server wants no requests, if it refused this one for that reason. */
	readonly holdMs: Millis | undefined;
	/** The fields that were ignored because they can't be read. */
	readonly malformed: readonly string[];
};

type HeaderValue = string | readonly string[] | undefined;

type AnswerHeaders = Readonly<Record<string, HeaderValue>>;

const misdirectedStatus = 421;
const unavailableStatus = 503;
const secondMs: Millis = 1000;
/** More digits than any sensible duration has are malformed. */
const duration = /^\d{1,9}(\.\d{1,9})?$/;

/** Whether the field that announces a stop is set; undefined if it is malformed. */
export function parseLeaving(value: HeaderValue): boolean | undefined {
	if (value === undefined || value === '0') {
		return false;
	}

	return value === '1' ? true : undefined;
}

/** The duration in the field, in ms; undefined if it is malformed. */
export function parseRetryAfter(value: HeaderValue): Millis | undefined {
	return typeof value === 'string' && duration.test(value)
		? Number(value) * secondMs
		: undefined;
}

/** The time for which a server will still be cold, in ms; 0 without the field, undefined if it is malformed. */
export function parseColdMs(value: HeaderValue): Millis | undefined {
	if (value === undefined) {
		return 0;
	}

	return typeof value === 'string' && duration.test(value)
		? Number(value)
		: undefined;
}

/** Reads the metadata of an answer, whose field names must be in lower case. */
export function readAnswerMetadata(
	status: number,
	headers: AnswerHeaders,
): AnswerMetadata {
	const text = (field: string) => {
		const value = headers[field];
		return typeof value === 'string' ? value : undefined;
	};

	const leaving = parseLeaving(headers[answerFields.leaving]);
	const retryAfter =
		status === unavailableStatus ? headers[answerFields.retryAfter] : undefined;
	const holdMs = parseRetryAfter(retryAfter);
	const malformed = [
		...(leaving === undefined ? [answerFields.leaving] : []),
		...(retryAfter !== undefined && holdMs === undefined
			? [answerFields.retryAfter]
			: []),
	];
	const misdirected = status === misdirectedStatus;
	return {
		requestId: text(requestFields.requestId),
		notRun: misdirected || text(answerFields.notRun) !== undefined,
		misdirected,
		encoded: headers['content-encoding'] !== undefined,
		load: parseLoad(text(answerFields.load) ?? ''),
		leaving: leaving === true,
		holdMs,
		malformed,
	};
}
