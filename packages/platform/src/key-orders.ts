/**
 * Orders to backend servers about the keys that they hold. Answers to orders bear no
 * id, and a faulty server may write an earlier one once more. A new connection for each
 * order would have to wait for a slot of a server that is full, so connections are
 * shared, but end with a refusal; and a release is believed by a handover that no
 * earlier answer had, else asked again over a connection of its own.
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
import {answerFields, requestFields} from './request-fields.js';

export type GrantOrder = FencedKeys & {
	/** Counted from the order's arrival at the server. */
	readonly leaseMs: Millis;
	/** From the keys' last holder; without it they are slow at first. */
	readonly handover?: string;
};

export type OrderEnd =
	| {readonly kind: 'taken'; readonly handover: string | undefined}
	/** The server has seen a higher fence on one of the keys. */
	| {readonly kind: 'outdated'}
	/** The server may have taken the order, or may take it later. */
	| {readonly kind: 'unknown'; readonly message: string}
	/** Another server is at the address: the one meant has ended. */
	| {readonly kind: 'ended'};

/** Orders have time limits of their own. */
const untimed = {headersTimeout: 0, bodyTimeout: 0};
/** The answer to an order is its head; a body is a few words at most. */
const maxAnswerLen = 16_384;
/** An hour of releases at three a second. */
const maxHandovers = 10_000;
const okStatus = 200;
const conflictStatus = 409;
const misdirectedStatus = 421;

/** The server that an order is for. */
export type Addressee = Pick<ListedServer, 'backendServer' | 'address'>;

export abstract class KeyOrders {
	abstract grant(
		server: Addressee,
		order: GrantOrder,
		timeoutMs: Millis,
	): Promise<OrderEnd>;

	abstract release(
		server: Addressee,
		order: FencedKeys,
		timeoutMs: Millis,
	): Promise<OrderEnd>;
}

type OrderCall = {
	readonly server: Addressee;
	readonly order: 'grant' | 'release';
	readonly body: unknown;
	readonly timeoutMs: Millis;
};

export class HttpKeyOrders extends KeyOrders {
	readonly #shared = boundedAgent(maxAnswerLen, untimed);
	/** Without pipelining no connection is kept. */
	readonly #single = boundedAgent(maxAnswerLen, {
		...untimed,
		pipelining: 0,
	});

	/** Handovers that came over shared connections, oldest first. */
	readonly #handovers = new Set<string>();

	constructor(private readonly clock: Clock) {
		super();
	}

	override async grant(
		server: Addressee,
		{from, to, fence, leaseMs, handover}: GrantOrder,
		timeoutMs: Millis,
	): Promise<OrderEnd> {
		const body = {from, target: to, fence, holdMs: leaseMs, handover};
		return this.#order(this.#shared, {server, order: 'grant', body, timeoutMs});
	}

	override async release(
		server: Addressee,
		{from, to, fence}: FencedKeys,
		timeoutMs: Millis,
	): Promise<OrderEnd> {
		const body = {from, target: to, fence};
		const call: OrderCall = {server, order: 'release', body, timeoutMs};
		const end = await this.#order(this.#shared, call);
		return end.kind !== 'taken' || this.#isNew(end.handover)
			? end
			: this.#order(this.#single, call);
	}

	/** Ends its connections, so that the process can end. */
	async close(): Promise<void> {
		await Promise.all([this.#shared.destroy(), this.#single.destroy()]);
	}

	async #order(
		agent: Agent,
		{server, order, body, timeoutMs}: OrderCall,
	): Promise<OrderEnd> {
		const {backendServer, address} = server;
		const answer = new OrderAnswer();
		const cancel = this.clock.after(timeoutMs, () => {
			answer.giveUp(new Error(`no answer in ${timeoutMs} ms`));
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
			// A refused connection tells of the path as much as of the server.
			return {kind: 'unknown', message: (error as Error).message};
		} finally {
			cancel();
		}
	}

	/** Notes the handover, and tells whether no earlier answer had it. */
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

function endOf({status, headers}: AnsweredOrder): OrderEnd {
	switch (status) {
		case okStatus: {
			const handover = headers[answerFields.handover];
			const mark = typeof handover === 'string' ? handover : undefined;
			return {kind: 'taken', handover: mark};
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
