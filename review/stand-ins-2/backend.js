/**
 * A stand-in for a backend server that holds keys: it takes grants by fence, holds keys
 * for the time of the grant, releases them, and runs requests only for keys that it holds.
 */
import {once} from 'node:events';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';

const keyCount = 65_536;
const misdirected = 421;

export class Backend {
	address = '';
	record = () => undefined;
	/** Called with each grant that the server takes. */
	onGrant = () => undefined;
	/** Called with each request that begins to run. */
	onRun = () => undefined;
	/** The highest fence that was seen on each key. */
	fences = new Float64Array(keyCount);
	#heldUntil = new Float64Array(keyCount);
	#running = [];
	#handovers = 0;
	#server = createServer((req, res) => {
		this.#answer(req, res);
	});

	/** `runMs` is how long each request runs. */
	constructor(id, {service, zone = 'luzon-a', slots = 3, runMs = 20}) {
		this.id = id;
		this.born = Date.now();
		this.service = service;
		this.zone = zone;
		this.slots = slots;
		this.runMs = runMs;
	}

	async start() {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		this.address = `127.0.0.1:${this.#server.address().port}`;
	}

	stop() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** What the server writes about itself to the store; `address` if it is reached by another one. */
	entry(address = this.address) {
		const {service, zone, slots, born} = this;
		return {
			addr: address,
			born,
			info: {service, version: 'v1', zone, slots},
			status: {state: 'ready', seq: 1, coldLeftMs: 0},
		};
	}

	holds(key) {
		return this.#heldUntil[key] > performance.now();
	}

	heldCount() {
		const now = performance.now();
		return this.#heldUntil.filter((until) => until > now).length;
	}

	async #answer(req, res) {
		const chunks = await req.toArray();
		const expected = req.headers['x-kingcuproute-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			res.writeHead(misdirected, {'x-kingcuproute-instance-id': this.id});
			res.end();
		} else
			switch (req.url) {
				case '/kingcuproute/grant': {
					this.#grant(JSON.parse(chunks.join('')), res);

					break;
				}

				case '/kingcuproute/release': {
					this.#release(JSON.parse(chunks.join('')), res);

					break;
				}

				case '/health': {
					res.writeHead(200, {'x-kingcuproute-instance-id': this.id});
					res.end();

					break;
				}

				default: {
					this.#run(req, res);
				}
			}
	}

	#grant({from, target, fence, holdMs}, res) {
		const range = this.fences.subarray(from, target + 1);
		const isOutdated = range.some((seen) => seen > fence);
		if (!isOutdated) {
			range.fill(fence);
			const until = performance.now() + holdMs;
			this.#heldUntil.fill(until, from, target + 1);
			this.onGrant({server: this, from, to: target, fence, holdMs});
		}

		this.record(
			`${this.id} grant ${from}-${target} fence ${fence} for ${holdMs} ms: ${isOutdated ? 409 : 200}`,
		);
		res.writeHead(isOutdated ? 409 : 200);
		res.end();
	}

	async #release({from, target, fence}, res) {
		this.#heldUntil.fill(0, from, target + 1);
		const ended = this.#running
			.filter(({key}) => key >= from && key <= target)
			.map(async ({done}) => done);
		await Promise.all(ended);
		this.#handovers++;
		this.record(`${this.id} release ${from}-${target} fence ${fence}: 200`);
		res.writeHead(200, {
			'x-kingcuproute-handover': `${this.id}-${this.#handovers}`,
		});
		res.end();
	}

	async #run(req, res) {
		const id = req.headers['x-kingcuproute-request-id'];
		const key = Number(req.headers['x-kingcuproute-shard-key']);
		const load = `${this.#running.length},0,${this.slots}`;
		if (!this.holds(key)) {
			res.writeHead(misdirected, {
				'x-kingcuproute-not-executed': '1',
				'x-kingcuproute-request-id': id,
				'x-kingcuproute-server-load': load,
			});
			res.end();
			return;
		}

		this.onRun({server: this, id, key});
		const run = {key};
		run.done = new Promise((resolve) => {
			setTimeout(resolve, this.runMs);
		});
		this.#running.push(run);
		await run.done;
		this.#running.splice(this.#running.indexOf(run), 1);
		res.writeHead(200, {
			'x-kingcuproute-request-id': id,
			'x-kingcuproute-server-stamp': `${this.id}.${id}`,
			'x-kingcuproute-server-load': load,
		});
		res.end('served');
	}
}
