/** Orders to backend servers about the keys that they hold. */
import {type Clock, type ListedServer, type Millis} from '@kingcuproute/core';
import {Agent, request} from 'undici';
import {answerFields, requestFields} from './request-fields.js';

/** Keys, both ends inclusive, and the fence under which they are given or taken. */
export type KeyOrder = {
	readonly from: number;
	readonly to: number;
	readonly fence: number;
};

export type GrantOrder = KeyOrder & {
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
		order: KeyOrder,
		timeoutMs: Millis,
	): Promise<OrderEnd>;
}

export class HttpKeyOrders extends KeyOrders {
	readonly #agent = new Agent({headersTimeout: 0, bodyTimeout: 0});

	constructor(private readonly clock: Clock) {
		super();
	}

	override async grant(
		server: Addressee,
		{from, to, fence, leaseMs, handover}: GrantOrder,
		timeoutMs: Millis,
	): Promise<OrderEnd> {
		const body = {from, target: to, fence, holdMs: leaseMs, handover};
		return this.#order(server, 'grant', body, timeoutMs);
	}

	override async release(
		server: Addressee,
		{from, to, fence}: KeyOrder,
		timeoutMs: Millis,
	): Promise<OrderEnd> {
		const body = {from, target: to, fence};
		return this.#order(server, 'release', body, timeoutMs);
	}

	/** Ends its connections, so that the process can end. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #order(
		{backendServer, address}: Addressee,
		order: 'grant' | 'release',
		body: unknown,
		timeoutMs: Millis,
	): Promise<OrderEnd> {
		const abort = new AbortController();
		const cancel = this.clock.after(timeoutMs, () => {
			abort.abort(new Error(`no answer in ${timeoutMs} ms`));
		});
		try {
			const url = `http://${address}/kingcuproute/${order}`;
			const res = await request(url, {
				method: 'POST',
				headers: {
					'content-type': 'application/json',
					[requestFields.expectedServer]: backendServer,
				},
				body: JSON.stringify(body),
				signal: abort.signal,
				dispatcher: this.#agent,
			});
			await res.body.dump();
			const handover = res.headers[answerFields.handover];
			switch (res.statusCode) {
				case okStatus: {
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
					return {kind: 'unknown', message: `status ${res.statusCode}`};
				}
			}
		} catch (error) {
			// A refused connection tells of the path as much as of the server.
			return {kind: 'unknown', message: (error as Error).message};
		} finally {
			cancel();
		}
	}
}
