/**
 * Sends orders to backend servers about the keys that they hold. Answers to orders
 * carry no id, and a faulty server may write an earlier answer again. A new connection
 * for each order would have to wait for a free slot on a busy server, so orders share
 * connections. Two rules guard against repeated answers: a refusal closes its
 * connection, and a release counts only if its handover was in no earlier answer.
 * Otherwise the release is sent again over a connection of its own.
 */
import {
	type Clock,
	type FencedKeys,
	type ListedServer,
	type Millis,
} from '@kingcuproute/core';
import {type Agent} from 'undici';
import {boundedAgent} from './bounded-connections.js';
import {OrderAnswer, type AnsweredOrder} from './order-answer.js';
import {answerFields, parseLeaving, requestFields} from './request-fields.js';

export type GrantOrder = FencedKeys & {
	/** Lease duration, counted from the order's arrival at the server. */
	readonly leaseMs: Millis;
	/** Handover data from the keys' last holder; without it, requests for the keys are slow at first. */
	readonly handover?: string;
};

export type OrderOutcome =
	| {
			readonly kind: 'taken';
			readonly handover: string | undefined;
			/** The server is about to stop. */
			readonly leaving: boolean;
	  }
	/** The server has seen a higher fence on one of the keys. */
	| {readonly kind: 'outdated'}
	/** The server may have accepted the order, or may accept it later, unless it was never sent: no connection was opened for it in time. */
	| {
			readonly kind: 'unknown';
			readonly message: string;
			readonly neverSent?: boolean;
	  }
	/** Another server answers at the address: the intended one has ended. */
	| {readonly kind: 'ended'};

/** Connections to one server for each kind of order. One that does not open would otherwise be joined by another for each further order. */
const maxConnections = 2;
/** As long as an order may take: a connection that opens later serves nobody. */
const connectTimeoutMs: Millis = 800;
/** Disables undici's timeouts, since each order has its own. */
const agentOptions = {
	headersTimeout: 0,
	bodyTimeout: 0,
	connections: maxConnections,
	connect: {timeout: connectTimeoutMs},
};
/** All information is in the header of the answer; its body is a few words at most. */
const maxAnswerLen = 16_384;
/** Handovers that are remembered: an hour of releases at three a second. */
const maxHandovers = 10_000;
const okStatus = 200;
const conflictStatus = 409;
const misdirectedStatus = 421;

/** The server that an order is for. */
export type OrderTarget = Pick<ListedServer, 'backendServer' | 'address'>;

export abstract class KeyOrders {
	abstract grant(
		server: OrderTarget,
		order: GrantOrder,
		timeoutMs: Millis,
	): Promise<OrderOutcome>;

	abstract release(
		server: OrderTarget,
		order: FencedKeys,
		timeoutMs: Millis,
	): Promise<OrderOutcome>;
}

type OrderCall = {
	readonly server: OrderTarget;
	readonly order: 'grant' | 'release';
	readonly body: unknown;
	readonly timeoutMs: Millis;
};

export class HttpKeyOrders extends KeyOrders {
	readonly #grants = boundedAgent(maxAnswerLen, agentOptions);
	/** Apart from grants, since the answer to a release waits for the work on its keys. */
	readonly #releases = boundedAgent(maxAnswerLen, agentOptions);
	/** With pipelining 0, undici closes the connection after each request. */
	readonly #single = boundedAgent(maxAnswerLen, {
		...agentOptions,
		pipelining: 0,
	});

	/** Handovers received over kept connections, oldest first. */
	readonly #handovers = new Set<string>();

	constructor(private readonly clock: Clock) {
		super();
	}

	override async grant(
		server: OrderTarget,
		{from, to, fence, leaseMs, handover}: GrantOrder,
		timeoutMs: Millis,
	): Promise<OrderOutcome> {
		const body = {from, target: to, fence, holdMs: leaseMs, handover};
		return this.#send(this.#grants, {server, order: 'grant', body, timeoutMs});
	}

	override async release(
		server: OrderTarget,
		{from, to, fence}: FencedKeys,
		timeoutMs: Millis,
	): Promise<OrderOutcome> {
		const body = {from, target: to, fence};
		const call: OrderCall = {server, order: 'release', body, timeoutMs};
		const end = await this.#send(this.#releases, call);
		return end.kind !== 'taken' || this.#isNew(end.handover)
			? end
			: this.#send(this.#single, call);
	}

	/** Closes all connections, so that the process can end. */
	async close(): Promise<void> {
		await Promise.all(
			[this.#grants, this.#releases, this.#single].map(async (agent) =>
				agent.destroy(),
			),
		);
	}

	async #send(
		agent: Agent,
		{server, order, body, timeoutMs}: OrderCall,
	): Promise<OrderOutcome> {
		const {backendServer, address} = server;
		const answer = new OrderAnswer();
		const cancel = this.clock.after(timeoutMs, () => {
			answer.abort(new Error(`no answer in ${timeoutMs} ms`));
		});
		try {
			agent.dispatch(
				{
					origin: `http://${address}`,
					path: `/kingcuproute/${order}`,
					method: 'POST',
					headers: {
						'content-type': 'application/json',
						[requestFields.expectedServer]: backendServer,
					},
					body: JSON.stringify(body),
				},
				answer,
			);
			return endOf(await answer.ended);
		} catch (error) {
			// Also for a refused connection, which may be caused by the network path instead of the server.
			const {message} = error as Error;
			return {kind: 'unknown', message, neverSent: !answer.isSent};
		} finally {
			cancel();
		}
	}

	/** Records the handover, and returns whether no earlier answer had it. */
	#isNew(handover: string | undefined): boolean {
		if (handover === undefined || this.#handovers.has(handover)) {
			return false;
		}

		this.#handovers.add(handover);
		if (this.#handovers.size > maxHandovers) {
			const [oldest] = this.#handovers;
			this.#handovers.delete(oldest);
		}

		return true;
	}
}

function endOf({status, headers}: AnsweredOrder): OrderOutcome {
	switch (status) {
		case okStatus: {
			const handover = headers[answerFields.handover];
			const text = typeof handover === 'string' ? handover : undefined;
			const leaving = parseLeaving(headers[answerFields.leaving]) === true;
			return {kind: 'taken', handover: text, leaving};
		}

		case misdirectedStatus: {
			return {kind: 'ended'};
		}

		case conflictStatus: {
			return {kind: 'outdated'};
		}

		default: {
			return {kind: 'unknown', message: `status ${status}`};
		}
	}
}
