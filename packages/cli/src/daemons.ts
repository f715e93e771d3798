/** Asks daemons at their operator addresses: one after another until one answers, or all at once. */
import {type Clock, type Millis} from '@kingcuproute/core';
import {Left, Right, type Either} from 'purify-ts';
import {request} from 'undici';
import {exitCodes} from './exit-code.js';
import {type Failure} from './failure.js';

const timeoutMs: Millis = 2000;

/** The answers of several daemons, and the addresses that gave none. */
export type Answers<T> = {
	readonly answers: readonly T[];
	readonly unanswered: readonly string[];
};

/** Some daemons, by their operator addresses (host:port). */
export class Daemons {
	constructor(
		private readonly addresses: readonly string[],
		private readonly clock: Clock,
	) {}

	/** The first answer to GET `path`; asks the addresses in their order. */
	async ask<T>(path: string): Promise<Either<Failure, T>> {
		let lastError = 'no operator address is given: use --operator HOST:PORT';
		for (const address of this.addresses) {
			const answer = await this.#get<T>(address, path);
			if (answer.isRight()) {
				return answer;
			}

			lastError = answer.swap().orDefault(lastError);
		}

		return Left({code: exitCodes.unavailable, message: lastError});
	}

	/** Every daemon's answer to GET `path`, and the addresses that gave none. */
	async askAll<T>(path: string): Promise<Answers<T>> {
		const results = await Promise.all(
			this.addresses.map(async (address) => ({
				address,
				answer: await this.#get<T>(address, path),
			})),
		);
		return {
			answers: results.flatMap(({answer}) =>
				answer.isRight() ? [answer.extract()] : [],
			),
			unanswered: results
				.filter(({answer}) => answer.isLeft())
				.map(({address}) => address),
		};
	}

	async #get<T>(address: string, path: string): Promise<Either<string, T>> {
		const abort = new AbortController();
		const cancel = this.clock.after(timeoutMs, () => {
			abort.abort();
		});
		try {
			const res = await request(`http://${address}${path}`, {
				signal: abort.signal,
			});
			const body = (await res.body.json()) as T;
			return res.statusCode === 200
				? Right(body)
				: Left(`${address}: status ${res.statusCode}`);
		} catch (error) {
			return Left(`${address}: ${String(error)}`);
		} finally {
			cancel();
		}
	}
}
