/**
 * Sends orders and state reads to one backend server over one connection. A call
 * that times out closes the connection: it may never answer again although a new
 * one would work.
 */
import {
	serverStateSchema,
	type Clock,
	type Millis,
	type Order,
	type ServerState,
} from '@kingcuproute/core';
import {Left, Right, type Either} from 'purify-ts';
import {boundedFactory} from '@kingcuproute/platform';
import {type Dispatcher} from 'undici';

/** A server's state takes about ten bytes for each key range that it holds. */
const maxAnswerLen = 1_048_576;

/** The call got no readable answer; the order may still have been carried out. */
export type CallFailure = {
	readonly kind: 'no-answer';
	readonly message: string;
};

/** The server's state; `taken` is true only if there was an order and the server carried it out. */
export type ServerAnswer = {
	readonly taken: boolean;
	readonly state: ServerState;
};

export type ServerCallsOptions = {
	readonly address: string;
	readonly callMs: Millis;
	/** Local address of outgoing connections; chosen by the system if absent. */
	readonly localAddress?: string | undefined;
};

export class ServerCalls {
	#client: Dispatcher | undefined;

	constructor(
		readonly options: ServerCallsOptions,
		private readonly clock: Clock,
	) {}

	/** Sends an order, or only reads the server's state if there is none. */
	async call(order?: Order): Promise<Either<CallFailure, ServerAnswer>> {
		const client = this.#connection();
		const abort = new AbortController();
		const cancel = this.clock.after(this.options.callMs, () => {
			abort.abort();
			this.#drop(client);
		});
		try {
			const res = await client.request({
				path: '/grants',
				method: order ? 'POST' : 'GET',
				headers: {'content-type': 'application/json'},
				body: order ? JSON.stringify(order) : null,
				signal: abort.signal,
			});
			const state = serverStateSchema.parse(await res.body.json());
			return Right({
				taken: order !== undefined && res.statusCode === 200,
				state,
			});
		} catch (error) {
			this.#drop(client);
			return Left({kind: 'no-answer', message: String(error)});
		} finally {
			cancel();
		}
	}

	close(): void {
		if (this.#client) {
			this.#drop(this.#client);
		}
	}

	#connection(): Dispatcher {
		const {address, callMs, localAddress} = this.options;
		this.#client ??= boundedFactory()(new URL(`http://${address}`), {
			connect: {timeout: callMs},
			pipelining: 1,
			maxResponseSize: maxAnswerLen,
			...(localAddress !== undefined && {localAddress}),
		});
		return this.#client;
	}

	#drop(client: Dispatcher): void {
		if (this.#client === client) {
			this.#client = undefined;
		}

		void client.destroy();
	}
}
