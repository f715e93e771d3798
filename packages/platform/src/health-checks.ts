/** Asks backend servers for how much longer they are cold, by health checks. */
import {type Clock, type ListedServer, type Millis} from '@kingcuproute/core';
import {Left, Right, type Either} from 'purify-ts';
import {boundedAgent} from './bounded-connections.js';
import {answerFields, parseColdMs} from './request-fields.js';

/** The server to ask. */
export type CheckedServer = Pick<ListedServer, 'backendServer' | 'address'>;

export abstract class HealthChecks {
	/** For how much longer the server is cold, in ms; or, as text, why that is not known. */
	abstract coldMs(
		server: CheckedServer,
		path: string,
		timeoutMs: Millis,
	): Promise<Either<string, Millis>>;
}

/** All information is in the header of the answer. */
const maxAnswerLen = 16_384;

export class HttpHealthChecks extends HealthChecks {
	/** Connections of their own, since answers to health checks carry no id that tells them from answers to requests. */
	readonly #agent = boundedAgent(maxAnswerLen, {
		connections: 1,
		headersTimeout: 0,
		bodyTimeout: 0,
	});

	constructor(private readonly clock: Clock) {
		super();
	}

	override async coldMs(
		{backendServer, address}: CheckedServer,
		path: string,
		timeoutMs: Millis,
	): Promise<Either<string, Millis>> {
		const abort = new AbortController();
		const cancel = this.clock.after(timeoutMs, () => {
			abort.abort(new Error(`no answer in ${timeoutMs} ms`));
		});
		try {
			const {headers, body} = await this.#agent.request({
				origin: `http://${address}`,
				path,
				method: 'GET',
				signal: abort.signal,
			});
			await body.dump();
			const answeredBy = headers[answerFields.server];
			if (answeredBy !== backendServer) {
				return Left(`answered by ${String(answeredBy)}`);
			}

			const coldMs = parseColdMs(headers[answerFields.coldMs]);
			return coldMs === undefined ? Left('malformed cold time') : Right(coldMs);
		} catch (error) {
			return Left((error as Error).message);
		} finally {
			cancel();
		}
	}

	/** Closes all connections, so that the process can end. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}
}
