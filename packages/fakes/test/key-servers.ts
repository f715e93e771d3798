/**
 * Stand-ins for backend servers that hold keys: they take grants by fence, hold keys for the
 * time of a grant, and run requests only for keys that they hold. All servers together record
 * what no two of them may do.
 */
import {once} from 'node:events';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type StandInStore} from '../src/platform/stand-in-store.js';

const keyCount = 65_536;
/** Keys that a test looks at one by one. */
export const sampleKeys: readonly number[] = Array.from(
	{length: 64},
	(_, index) => index * 1024 + 7,
);

type Order = {
	readonly from: number;
	readonly target: number;
	readonly fence: number;
	readonly holdMs: number;
};

class KeyServer {
	/** The highest fence accepted for each key. */
	readonly fences = new Float64Array(keyCount);
	readonly heldUntil = new Float64Array(keyCount);

	constructor(readonly name: string) {}

	holds(key: number): boolean {
		return this.heldUntil[key] > performance.now();
	}
}

export class KeyServers {
	/** Grants by a fence that is not above all of other servers, and keys with two holders. */
	readonly violations: string[] = [];
	readonly #servers: KeyServer[] = [];
	readonly #listeners: Server[] = [];
	#handovers = 0;

	constructor(
		private readonly service: string,
		private readonly store: StandInStore,
	) {}

	/** Starts a server and registers it. */
	async add(name: string): Promise<void> {
		const server = new KeyServer(name);
		const listener = createServer((req, res) => {
			void this.#answer(server, req, res);
		});
		listener.listen(0, '127.0.0.1');
		await once(listener, 'listening');
		this.#servers.push(server);
		this.#listeners.push(listener);
		const {service} = this;
		const {port} = listener.address() as AddressInfo;
		const info = {service, version: 'v1', zone: 'a', slots: 100};
		this.store.put(
			'servers',
			name,
			{addr: `127.0.0.1:${port}`, born: 1, info},
			{state: 'ready', seq: 1, coldLeftMs: 0},
		);
	}

	/** The names of the servers that hold the key now. */
	holdersOf(key: number): readonly string[] {
		return this.#servers
			.filter((server) => server.holds(key))
			.map(({name}) => name);
	}

	/** Whether each sample key has a holder, and the server `name`, if given, holds some. */
	isAllHeld(name?: string): boolean {
		const holders = sampleKeys.map((key) => this.holdersOf(key));
		return (
			holders.every(({length}) => length === 1) &&
			(name === undefined || holders.flat().includes(name))
		);
	}

	stop(): void {
		for (const listener of this.#listeners) {
			listener.closeAllConnections();
			listener.close();
		}
	}

	async #answer(
		server: KeyServer,
		req: IncomingMessage,
		res: ServerResponse,
	): Promise<void> {
		const parts = await req.toArray();
		const {url = ''} = req;
		if (url === '/kingcuproute/grant') {
			const isTaken = this.#grant(server, JSON.parse(parts.join('')) as Order);
			res.writeHead(isTaken ? 200 : 409);
		} else if (url === '/kingcuproute/release') {
			const {from, target} = JSON.parse(parts.join('')) as Order;
			server.heldUntil.fill(0, from, target + 1);
			this.#handovers++;
			res.writeHead(200, {
				'x-kingcuproute-handover': `${server.name}-${this.#handovers}`,
			});
		} else {
			const id = String(req.headers['x-kingcuproute-request-id']);
			const key = Number(req.headers['x-kingcuproute-shard-key']);
			const isHeld = server.holds(key);
			res.writeHead(isHeld ? 200 : 421, {
				'x-kingcuproute-request-id': id,
				...(isHeld
					? {'x-kingcuproute-server-stamp': `${server.name}.${id}`}
					: {'x-kingcuproute-not-executed': '1'}),
			});
		}

		res.end();
	}

	#grant(server: KeyServer, {from, target, fence, holdMs}: Order): boolean {
		const fences = server.fences.subarray(from, target + 1);
		if (fences.some((seen) => seen > fence)) {
			return false;
		}

		fences.fill(fence);
		server.heldUntil.fill(performance.now() + holdMs, from, target + 1);
		for (const other of this.#servers) {
			if (other === server) {
				continue;
			}

			const had = other.fences
				.subarray(from, target + 1)
				.findIndex((seen) => seen >= fence);
			const held = sampleKeys.find(
				(key) => key >= from && key <= target && other.holds(key),
			);
			if (had !== -1) {
				this.violations.push(
					`${server.name} takes key ${from + had} by fence ${fence}; ${other.name} had ${other.fences[from + had]}`,
				);
			}

			if (held !== undefined) {
				this.violations.push(
					`${server.name} takes key ${held}, which ${other.name} holds`,
				);
			}
		}

		return true;
	}
}
