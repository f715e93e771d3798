/** The header fields of requests and answers, by the names that the platform gives them. */

export const requestFields = {
	requestId: 'x-kingcuproute-request-id',
	/** How long the sender waits from now, in ms; no point in time. */
	allowedMs: 'x-kingcuproute-deadline-ms',
	/** The server that may run the request; any other declines it with 421. */
	expectedServer: 'x-kingcuproute-expect-instance',
	key: 'x-kingcuproute-shard-key',
} as const;

export const answerFields = {
	/** The server's signature over its answer. */
	signature: 'x-kingcuproute-server-stamp',
	notRun: 'x-kingcuproute-not-executed',
	load: 'x-kingcuproute-server-load',
	server: 'x-kingcuproute-instance-id',
	/** How much longer the server stays cold, in ms. */
	coldMs: 'x-kingcuproute-cold-ms',
	/** What a server hands on with keys that it gives back, to whoever holds them next. */
	handover: 'x-kingcuproute-handover',
} as const;

/** What a backend server says of its load in an answer. */
export type ServerLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** How long work takes there now, against the usual 1. */
	readonly slowness: number;
};

const plainSlowness = 100;

/** Reads the load field; undefined when it is malformed. */
export function parseLoad(text: string): ServerLoad | undefined {
	const figures = text.split(',').map(Number);
	const [running, waiting, slots, slowness = plainSlowness] = figures;
	const isSound =
		figures.length >= 3 &&
		figures.every((figure) => Number.isFinite(figure) && figure >= 0) &&
		slots > 0;
	return isSound
		? {running, waiting, slots, slowness: slowness / plainSlowness}
		: undefined;
}

/** What a backend server's answer says of itself beside its status. */
export type AnswerMarks = {
	readonly requestId: string | undefined;
	/** The server states that it did not run the request. */
	readonly notRun: boolean;
	/** The body is encoded, which no server does. */
	readonly encoded: boolean;
	readonly load: ServerLoad | undefined;
};

type AnswerHeaders = Readonly<
	Record<string, string | readonly string[] | undefined>
>;

const misdirectedStatus = 421;

/** Reads the marks of an answer, whose field names are in lower case. */
export function readMarks(status: number, headers: AnswerHeaders): AnswerMarks {
	const text = (field: string) => {
		const value = headers[field];
		return typeof value === 'string' ? value : undefined;
	};

	return {
		requestId: text(requestFields.requestId),
		notRun:
			status === misdirectedStatus || text(answerFields.notRun) !== undefined,
		encoded: headers['content-encoding'] !== undefined,
		load: parseLoad(text(answerFields.load) ?? ''),
	};
}
