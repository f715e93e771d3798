/**
 * A stand-in backend server: accepts fenced grants, works on requests in a bounded
 * number of slots, and keeps a journal of the requests that it ran.
 *
 * GET, POST /grants; GET /health; GET /load; GET /journal; PUT /faults; any other
 * path is a request to the service.
 */
import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import process from 'node:process';
import {buffer, json} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import {orderSchema} from '@kingcuproute/core';
import {Listener} from '../listener.js';
import {sendJson} from '../send-json.js';
import {answerWith, rawRefusal} from './faulty-answer.js';
import {Grants} from './grants.js';
import {
	noServerFaults,
	serverFaultsSchema,
	type ServerFaults,
} from './server-faults.js';
import {Work} from './work.js';

/** Options of a stand-in backend server. */
export type FakeBackendServerOptions = {
	readonly name: string;
	readonly keyed: boolean;
	readonly checksFence: boolean;
	readonly slots: number;
};

export {type Run} from './work.js';

export class FakeBackendServer {
	readonly grants: Grants;
	readonly work: Work;
	#faults = noServerFaults;
	readonly #sockets = new Set<Socket>();
	readonly #silent = new WeakSet<Socket>();
	/** The connection on which a request was last declined as not run, by request id. */
	readonly #declinedOn = new Map<string, Socket>();
	readonly #listener = new Listener(
		(req, res) => {
			if (!this.#silent.has(req.socket)) {
				void this.#answer(req, res);
			}
		},
		(socket) => {
			this.#sockets.add(socket);
			socket.once('close', () => this.#sockets.delete(socket));
		},
	);

	constructor(private readonly options: FakeBackendServerOptions) {
		this.work = new Work(options.slots);
		this.grants = new Grants({
			incarnation: randomUUID(),
			checksFence: options.checksFence,
			now: () => performance.now(),
		});
	}

	/** Listens on loopback; returns the port. */
	async listen(port = 0): Promise<number> {
		return this.#listener.listen(port);
	}

	async close(): Promise<void> {
		return this.#listener.close();
	}

	async #answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
		try {
			const route = `${req.method} ${req.url}`;
			switch (route) {
				case 'GET /grants': {
					sendJson(res, 200, this.grants.state());

					break;
				}

				case 'POST /grants': {
					const outcome = this.grants.take(orderSchema.parse(await json(req)));
					sendJson(res, outcome === 'taken' ? 200 : 409, this.grants.state());

					break;
				}

				case 'GET /health': {
					sendJson(res, 200, {
						state: this.#faults.state,
						incarnation: this.grants.state().incarnation,
					});

					break;
				}

				case 'GET /load': {
					sendJson(res, 200, {
						inFlight: this.work.inFlight,
						slots: this.options.slots,
					});

					break;
				}

				case 'GET /journal': {
					sendJson(res, 200, this.work.journal);

					break;
				}

				case 'GET /cancelled': {
					sendJson(res, 200, this.work.cancelled);

					break;
				}

				case 'GET /declined': {
					sendJson(res, 200, this.work.declined);

					break;
				}

				case 'PUT /faults': {
					this.#setFaults(
						serverFaultsSchema.partial().parse(await json(req)),
						req.socket,
					);
					sendJson(res, 200, this.#faults);

					break;
				}

				default: {
					await this.#run(req, res);
				}
			}
		} catch (error) {
			sendJson(res, 400, {message: String(error)});
		}
	}

	#setFaults(faults: Partial<ServerFaults>, from: Socket): void {
		this.#faults = {...this.#faults, ...faults};
		for (const socket of faults.silenceOpen ? this.#sockets : []) {
			if (socket !== from) {
				this.#silent.add(socket);
			}
		}
	}

	async #run(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const id = String(req.headers['x-kingcup-request-id'] ?? '');
		res.setHeader('x-kingcup-request-id', id);
		if (this.options.keyed && !this.#owns(req)) {
			decline(res, 421, 'not the owner of this slice at this epoch');
			return;
		}

		if (this.#isFull()) {
			this.work.decline(req);
			this.#declinedOn.set(id, req.socket);
			decline(res, 503, `${this.#faults.state} and shedding load`);
			return;
		}

		const declinedOn = this.#declinedOn.get(id);
		if (this.#faults.repeatRefusal && declinedOn?.writable) {
			declinedOn.write(rawRefusal(id));
		}

		const refusal = await this.work.begin(req, res);
		if (refusal) {
			decline(res, 504, refusal);
			return;
		}

		try {
			await this.#work(req, res, id);
		} finally {
			this.work.end();
		}
	}

	#isFull(): boolean {
		const {shed, state, coldSlots} = this.#faults;
		return (
			shed ||
			state === 'draining' ||
			(state === 'cold' && this.work.inFlight >= coldSlots)
		);
	}

	async #work(
		req: IncomingMessage,
		res: ServerResponse,
		id: string,
	): Promise<void> {
		const {crashOn, workMs} = this.#faults;
		const body = await buffer(req);
		this.work.ran(req);
		if (crashOn !== '' && req.url?.includes(crashOn)) {
			process.kill(process.pid, 'SIGKILL');
		}

		// A request is cancelled, and its work ends, when its connection closes.
		const cancelled = await Promise.race([
			once(res, 'close'),
			sleep(workMs, false),
		]);
		if (cancelled) {
			return;
		}

		answerWith(res, this.#faults, id, {
			backendServer: this.options.name,
			bytes: body.length,
		});
	}

	#owns(req: IncomingMessage): boolean {
		const slice = Number(req.headers['x-kingcup-slice']);
		const epoch = Number(req.headers['x-kingcup-epoch']);
		return this.grants.owns(slice, epoch);
	}
}

function decline(res: ServerResponse, status: number, message: string): void {
	res.setHeader('x-kingcup-ran', 'not-run');
	sendJson(res, status, {message});
}
