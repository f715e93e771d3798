/** Callers that send one request after another through the balancer, and record how each ended. */
import {randomUUID} from 'node:crypto';
import {request, type Dispatcher} from 'undici';
import {type RunningServer} from '../src/index.js';
import {newIdempotencyKey, pause, fetchRuns} from './requests-fixture.js';
import {type ReadyDaemons} from './ready-daemons.js';

const pauseMs = 40;

/** The request that one caller sends repeatedly. */
export type Errand = {
	/** Identifies the errand in the records. */
	readonly name: string;
	readonly method: Dispatcher.HttpMethod;
	/** The service and path; a unique last segment is added to each request. */
	readonly path: string;
	/** The shard key, for a service that is divided by key. */
	readonly key?: string;
	/** Whether each request carries its own idempotency key. */
	readonly once?: boolean;
};

/** How one request ended; `status` is 0 if no answer came. Times are readings of performance.now. */
export type EndedRequest = {
	readonly errand: string;
	readonly method: Dispatcher.HttpMethod;
	readonly path: string;
	readonly status: number;
	readonly why: string;
	readonly sentAt: number;
	readonly endedAt: number;
};

export class SteadyCallers {
	readonly ended: EndedRequest[] = [];
	#stopped = false;
	readonly #loops: ReadonlyArray<Promise<void>>;

	constructor(
		errands: readonly Errand[],
		private readonly balancer: ReadyDaemons,
	) {
		this.#loops = errands.map(async (errand) => this.#call(errand));
	}

	/** Sends no more requests; resolves with all records once the requests in flight have ended. */
	async stop(): Promise<readonly EndedRequest[]> {
		this.#stopped = true;
		await Promise.all(this.#loops);
		return this.ended;
	}

	async #call(errand: Errand): Promise<void> {
		while (!this.#stopped) {
			const entry = this.balancer.next();
			if (entry !== undefined) {
				this.ended.push(await send(entry, errand));
			}

			await pause(pauseMs);
		}
	}
}

/** Counts the requests of each errand that were cut off or refused, by status and reason. */
export function failures(ended: readonly EndedRequest[]): readonly string[] {
	const counts = new Map<string, number>();
	for (const {errand, status, why} of ended) {
		if (status !== 200) {
			const failure = `${errand}: ${status} ${why}`;
			counts.set(failure, (counts.get(failure) ?? 0) + 1);
		}
	}

	return [...counts].map(([failure, count]) => `${count} × ${failure}`);
}

/** The longest time between two successful answers of each errand, in ms. */
export function longestGaps(
	ended: readonly EndedRequest[],
): ReadonlyMap<string, number> {
	const gaps = new Map<string, number>();
	const lastAnswers = new Map<string, number>();
	for (const {errand, status, sentAt, endedAt} of ended) {
		if (status === 200) {
			const gap = endedAt - (lastAnswers.get(errand) ?? sentAt);
			gaps.set(errand, Math.max(gap, gaps.get(errand) ?? 0));
			lastAnswers.set(errand, endedAt);
		}
	}

	return gaps;
}

/** Paths of POST requests that ran more than once, or that were answered but never ran. */
export async function wronglyRunPaths(
	ended: readonly EndedRequest[],
	servers: readonly RunningServer[],
): Promise<readonly string[]> {
	const journals = await Promise.all(
		servers.map(async (server) => fetchRuns(server)),
	);
	const counts = new Map<string, number>();
	for (const {method, path} of journals.flat()) {
		if (method === 'POST') {
			counts.set(path, (counts.get(path) ?? 0) + 1);
		}
	}

	return ended
		.filter(({method, path, status}) => {
			const count = counts.get(path) ?? 0;
			const minCount = status === 200 ? 1 : 0;
			return method === 'POST' && (count > 1 || count < minCount);
		})
		.map(({path}) => path);
}

async function send(entry: string, errand: Errand): Promise<EndedRequest> {
	const {name, method, path, key, once} = errand;
	const sentAt = performance.now();
	const uniquePath = `${path}/${randomUUID()}`;
	const sent = {errand: name, method, path: uniquePath, sentAt};
	try {
		const res = await request(`http://${entry}${sent.path}`, {
			method,
			headers: {
				'x-customer': 'tiktak-haus',
				...(key !== undefined && {'x-key': key}),
				...(once && {'idempotency-key': newIdempotencyKey()}),
			},
			...(method === 'POST' && {body: 'ten'}),
		});
		await res.body.dump();
		const why = String(res.headers['x-kingcup-reason'] ?? '');
		return {...sent, status: res.statusCode, why, endedAt: performance.now()};
	} catch (error) {
		const endedAt = performance.now();
		return {...sent, status: 0, why: String(error), endedAt};
	}
}
