/** Sends orders and state reads to the servers that this daemon guards or succeeds for, each at its current address. */
import {
	fold,
	type Clock,
	type Millis,
	type Order,
	type View,
} from '@kingcuproute/core';
import {type Log} from '../log/log.js';
import {
	ServerCalls,
	type ServerAnswer,
	type ServerCallsOptions,
} from './server-calls.js';

export type OrderCallsParts = {
	readonly options: Omit<ServerCallsOptions, 'address'>;
	readonly clock: Clock;
	readonly log: Log;
	readonly view: () => View;
	/** Called with every answer of a server. */
	readonly onAnswer: (server: string, answer: OrderAnswer) => void;
};

/** A server's answer to an order, or to a state read if `order` is undefined. */
export type OrderAnswer = ServerAnswer & {
	readonly order: Order | undefined;
	readonly sentAt: Millis;
};

export class OrderCalls {
	readonly #calls = new Map<string, ServerCalls>();

	constructor(private readonly parts: OrderCallsParts) {}

	/** Sends an order, or only reads the server's state if `order` is undefined. A failed call is only logged. */
	async send(
		server: string,
		order: Order | undefined,
		sentAt: Millis,
	): Promise<void> {
		const calls = this.#callsTo(server);
		if (!calls) {
			return;
		}

		const answer = await calls.call(order);
		fold(
			answer,
			({message}) => {
				this.parts.log.debug('server-silent', {server, error: message});
			},
			(serverAnswer) => {
				this.parts.onAnswer(server, {...serverAnswer, order, sentAt});
			},
		);
	}

	close(): void {
		for (const calls of this.#calls.values()) {
			calls.close();
		}
	}

	#callsTo(server: string): ServerCalls | undefined {
		const {options, clock, view} = this.parts;
		const address = view().get('backend-server', server)?.address;
		const known = this.#calls.get(server);
		if (address === undefined || known?.options.address === address) {
			return known;
		}

		known?.close();
		const calls = new ServerCalls({...options, address}, clock);
		this.#calls.set(server, calls);
		return calls;
	}
}
