/** Open-loop load over several daemons, for tests of limits and balancing between processes. */
import {request} from 'undici';
import {type RunningDaemon} from '../src/index.js';
import {pause} from './requests-fixture.js';

const secondMs = 1000;

export type Load = {
	readonly customer: string;
	readonly ratePerSecond: number;
	readonly ms: number;
};

/** How one request ended: `at` is when it was sent, in ms from the start of the load. */
export type RequestResult = {
	readonly status: number;
	readonly at: number;
	/** Why it was refused; empty for any other answer. */
	readonly reason: string;
};

/**
 * Sends requests at a fixed rate, to each daemon in turn, whether or not earlier ones are answered.
 * Resolves once all are answered; throws if one gets no answer.
 */
export async function sendLoad(
	daemons: readonly RunningDaemon[],
	{customer, ratePerSecond, ms}: Load,
): Promise<readonly RequestResult[]> {
	const startedAt = performance.now();
	const answers: Array<Promise<RequestResult>> = [];
	const count = Math.round((ratePerSecond * ms) / secondMs);
	for (let sent = 0; sent < count; sent++) {
		const dueAt = startedAt + (sent * secondMs) / ratePerSecond;
		const waitMs = dueAt - performance.now();
		if (waitMs > 1) {
			await pause(waitMs);
		}

		const {entry} = daemons[sent % daemons.length];
		answers.push(sendOne(entry, customer, performance.now() - startedAt));
	}

	const results = await Promise.all(answers);
	const unanswered = results.find(({status}) => status === 0);
	if (unanswered) {
		throw new Error(`a request got no answer: ${unanswered.reason}`);
	}

	return results;
}

/** How many of the requests sent in [from, to), in ms from the start, were served with status 200. */
export function servedCount(
	results: readonly RequestResult[],
	from = 0,
	to = Number.POSITIVE_INFINITY,
): number {
	return results.filter(
		({status, at}) => status === 200 && at >= from && at < to,
	).length;
}

async function sendOne(
	entry: string,
	customer: string,
	at: number,
): Promise<RequestResult> {
	try {
		const res = await request(`http://${entry}/kaha/status`, {
			headers: {'x-customer': customer},
		});
		await res.body.dump();
		const reason = String(res.headers['x-kingcup-reason'] ?? '');
		return {status: res.statusCode, at, reason};
	} catch (error) {
		return {status: 0, at, reason: String(error)};
	}
}
