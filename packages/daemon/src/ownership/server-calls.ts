/**
 * Questions and orders to one backend server, over one connection. A call that
 * runs out of time takes its connection with it, since that may have gone
 * silent for good while a new one works.
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

/** A server's state is some ten bytes for each range of keys that it holds. */
const maxAnswerLen = 1_048_576;

/** The call brought no answer: the order may have been carried out. */
export type CallFailure = {
	readonly kind: 'no-answer';
	readonly message: string;
};

/** What the server says; `taken` is false when it refused the order. */
export type ServerAnswer = {
	readonly taken: boolean;
	readonly state: ServerState;
};

export type ServerCallsOptions = {
	readonly address: string;
	readonly callMs: Millis;
	/** The address that connections leave from; the system picks if absent. */
	readonly localAddress?: string | undefined;
};

export class ServerCalls {
	#client: Dispatcher | undefined;

	constructor(
		readonly options: ServerCallsOptions,
		private readonly clock: Clock,
	) {}

	/** Gives an order, or only asks when there is none. */
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
