/**
 * Checks the head of a backend server's answer before any of the answer is passed on: it
 * must belong to this request, and its framing must show where the body ends.
 */

/** Header fields of an answer, by lower-case name. */
export type AnswerHeaders = Readonly<
	Record<string, string | readonly string[] | undefined>
>;

/** The parts of an answer's head that are checked. */
export type AnswerHead = {
	readonly status: number;
	readonly headers: AnswerHeaders;
};

/** What may be done with an answer. */
export type AnswerVerdict =
	/** It may be passed on. `bodyLen` is the body's length if the head gives it. */
	| {readonly kind: 'pass'; readonly bodyLen: number | undefined}
	/** The server reports that it did not run the request. */
	| {readonly kind: 'declined'; readonly retryAfterMs: number | undefined}
	/** It must not be passed on. */
	| {readonly kind: 'unusable'; readonly message: string};

const requestIdField = 'x-kingcup-request-id';
const ranField = 'x-kingcup-ran';
const retryAfterField = 'x-kingcup-retry-after-ms';
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Checks the answer to the request with this id and method. */
export function checkAnswer(
	id: string,
	method: string,
	{status, headers}: AnswerHead,
): AnswerVerdict {
	const echoedId = headers[requestIdField];
	if (echoedId !== id) {
		const received = echoedId === undefined ? 'none' : String(echoedId);
		return {
			kind: 'unusable',
			message: `answer with wrong or missing request id: ${received}`,
		};
	}

	if (headers[ranField] === 'not-run') {
		const ms = Number(headers[retryAfterField]);
		return {
			kind: 'declined',
			retryAfterMs: Number.isFinite(ms) && ms >= 0 ? ms : undefined,
		};
	}

	if (method === 'HEAD' || bodilessStatuses.has(status)) {
		return {kind: 'pass', bodyLen: 0};
	}

	return checkFraming(headers);
}

function checkFraming(headers: AnswerHeaders): AnswerVerdict {
	const len = headers['content-length'];
	if (typeof len === 'string' && /^\d+$/.test(len)) {
		return {kind: 'pass', bodyLen: Number(len)};
	}

	return headers['transfer-encoding'] === 'chunked'
		? {kind: 'pass', bodyLen: undefined}
		: {
				kind: 'unusable',
				message: 'answer without content-length or chunked transfer-encoding',
			};
}
