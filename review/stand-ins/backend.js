/**
 * A stand-in backend server. It runs requests in a bounded number of slots and queues a
 * few more, takes grants of keys, registers itself in the store and reports there.
 */
import {randomBytes} from 'node:crypto';
import {createServer} from 'node:http';

const heartbeatMs = 870;
const idleMs = 10_000;
const handshakeMs = 1;

export class Backend {
	#server;
	#port;
	#sockets = new Set();
	#running = 0;
	#queue = [];
	/** The leases on keys. */
	#held = [];
	/** The leases that were released, under which work may still run. */
	#released = [];
	/** The grants seen lately. */
	#seen = [];
	/** The work under way. */
	#works = new Set();
	#seq = 0;
	#reported;
	#state = 'ready';
	#timer;

	/**
	 * `options`: `name`, `service`, `zone`, `slots`, `queueLen`, `maxConns`, `keyed`, and
	 * `workMs`, a function of the request. `observer.seen(event, fields)` gets each arrival
	 * and run.
	 */
	constructor(options, store, observer) {
		this.options = {
			zone: 'a',
			slots: 6,
			queueLen: 12,
			maxConns: 130,
			coldMs: 0,
			...options,
		};
		this.store = store;
		this.observer = observer;
	}

	get name() {
		return this.options.name;
	}

	get port() {
		return this.#port;
	}

	/** Requests that run or wait here. */
	get inFlight() {
		return this.#running + this.#queue.length;
	}

	/** Listens and registers. */
	async start(port = 0) {
		this.born = Date.now();
		this.coldUntil = performance.now() + this.options.coldMs;
		this.#server = createServer({keepAliveTimeout: idleMs}, (req, res) => {
			this.#answer(req, res);
		});
		this.#server.on('connection', (socket) => {
			this.#sockets.add(socket);
			socket.once('close', () => this.#sockets.delete(socket));
			if (this.#sockets.size > this.options.maxConns) {
				socket.resetAndDestroy();
			}
		});
		await new Promise((resolve) => {
			this.#server.listen(port, '127.0.0.1', resolve);
		});
		this.#port = this.#server.address().port;
		this.report();
		this.#timer = setInterval(() => {
			this.report();
		}, heartbeatMs);
	}

	/** Writes the entry in the store if more than its sequence number has changed. */
	report() {
		const {name, service, zone, slots} = this.options;
		this.#seq++;
		const coldLeftMs = Math.max(0, this.coldUntil - performance.now());
		const content = `${this.#state} ${Math.round(coldLeftMs)}`;
		if (content === this.#reported) {
			return;
		}

		this.#reported = content;
		this.store.put('servers', name, {
			addr: `127.0.0.1:${this.#port}`,
			born: this.born,
			info: {service, version: 'v1', zone, slots},
			status: {
				state: this.#state,
				seq: this.#seq,
				coldLeftMs: Math.round(coldLeftMs),
			},
		});
	}

	/** Reports that it is leaving. It serves until `stop`. */
	drain() {
		this.#state = 'draining';
		this.report();
	}

	/** Becomes cold again, and reports so. */
	becomeCold(coldMs) {
		this.coldUntil = performance.now() + coldMs;
		this.report();
	}

	get isCold() {
		return performance.now() < this.coldUntil;
	}

	/** Leaves without a report: its entry is removed, and it serves until `crash`. */
	leaveUnannounced() {
		clearInterval(this.#timer);
		this.forget();
	}

	/** Ends at once and resets its connections; its entry stays until `forget`. */
	crash() {
		clearInterval(this.#timer);
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}

	/** Removes its entry from the store. */
	forget() {
		this.store.remove('servers', this.name);
	}

	stop() {
		this.forget();
		this.crash();
	}

	async #answer(req, res) {
		const id = req.headers['x-kingcuproute-request-id'];
		const expected = req.headers['x-kingcuproute-expect-instance'];
		const {healthPath = '/health'} = this.options;
		if (req.url === healthPath) {
			this.#sendHealth(res);
			return;
		}

		if (expected !== undefined && expected !== this.name) {
			this.#decline(res, 421, id);
			return;
		}

		if (req.url.startsWith('/kingcuproute/')) {
			await this.#order(req, res);
			return;
		}

		if (id === undefined) {
			this.#decline(res, 400, id);
			return;
		}

		await this.#serve(req, res, id);
	}

	async #serve(req, res, id) {
		const key = Number(req.headers['x-kingcuproute-shard-key']);
		const arrivedAt = performance.now();
		const deadlineAt =
			arrivedAt + Number(req.headers['x-kingcuproute-deadline-ms'] ?? Infinity);
		const fields = {id, server: this.name, path: req.url};
		if (this.options.keyed && !this.#holds(key)) {
			this.observer.seen('misdirected', fields);
			this.#decline(res, 421, id);
			return;
		}

		this.observer.seen('arrived', fields);
		if (!(await this.#enter(res, deadlineAt))) {
			this.observer.seen('declined', fields);
			this.#decline(res, 503, id);
			return;
		}

		this.observer.seen('ran', fields);
		const work = {key, ended: undefined};
		const ended = this.#work(req, res, {key, deadlineAt});
		work.ended = ended;
		this.#works.add(work);
		const status = await ended;
		this.#works.delete(work);
		this.#leave();
		if (status === undefined) {
			this.observer.seen('cancelled', fields);
			return;
		}

		this.observer.seen('ended', {...fields, status});
		res.writeHead(status, this.#answerFields(id));
		res.end(`${this.name} ran ${id}`);
	}

	/** Works on a request; resolves with the status of the answer, undefined if the connection has closed. */
	async #work(req, res, {key, deadlineAt}) {
		const parts = await req.toArray();
		const workMs = this.options.workMs?.(req, parts) ?? 20;
		const doneAt = performance.now() + workMs;
		for (;;) {
			const now = performance.now();
			const leaseAt = this.options.keyed ? this.#leaseEnd(key) : Infinity;
			if (res.destroyed) {
				return undefined;
			}

			if (now >= doneAt) {
				return 200;
			}

			if (now >= deadlineAt) {
				return 504;
			}

			if (now >= leaseAt) {
				return 500;
			}

			await sleepUnless(res, Math.min(doneAt, deadlineAt, leaseAt) - now);
		}
	}

	/** When the lease ends under which work on the key runs; a release lets work go on. */
	#leaseEnd(key) {
		const leases = [...this.#held, ...this.#released].filter(
			({from, to}) => from <= key && key <= to,
		);
		return Math.max(-Infinity, ...leases.map(({until}) => until));
	}

	/** Takes a slot, or waits for one; false if the request can't run. */
	async #enter(res, deadlineAt) {
		const {slots, queueLen} = this.options;
		if (this.#running < slots) {
			this.#running++;
			return true;
		}

		if (this.#queue.length >= queueLen) {
			return false;
		}

		await new Promise((resolve) => {
			this.#queue.push(resolve);
		});
		if (res.destroyed || performance.now() >= deadlineAt) {
			this.#leave();
			return false;
		}

		return true;
	}

	/** Frees a slot, or passes it on to the next request that waits. */
	#leave() {
		const next = this.#queue.shift();
		if (next) {
			next();
		} else {
			this.#running--;
		}
	}

	#answerFields(id) {
		const {slots} = this.options;
		return {
			...(id !== undefined && {'x-kingcuproute-request-id': id}),
			'x-kingcuproute-server-stamp': randomBytes(8).toString('hex'),
			'x-kingcuproute-server-load': `${this.#running},${this.#queue.length},${slots}`,
		};
	}

	#decline(res, status, id) {
		if (!res.destroyed) {
			res.writeHead(status, {
				...this.#answerFields(id),
				'x-kingcuproute-not-executed': '1',
				'x-kingcuproute-instance-id': this.name,
			});
			res.end();
		}
	}

	#sendHealth(res) {
		const coldMs = Math.max(0, Math.round(this.coldUntil - performance.now()));
		res.writeHead(this.#state === 'ready' ? 200 : 503, {
			'x-kingcuproute-instance-id': this.name,
			'x-kingcuproute-cold-ms': String(coldMs),
			'x-kingcuproute-server-load':
				this.#answerFields()['x-kingcuproute-server-load'],
		});
		res.end();
	}

	/** A key that the server holds now; undefined if there is none. */
	heldKey() {
		return this.#held.find(({until}) => performance.now() < until)?.from;
	}

	#holds(key) {
		const now = performance.now();
		return this.#held.some(
			({from, to, until}) => from <= key && key <= to && now < until,
		);
	}

	/** The highest generation number seen on one of the keys. */
	#highestFence(from, to) {
		const fences = this.#seen
			.filter((other) => other.from <= to && from <= other.to)
			.map(({fence}) => fence);
		return Math.max(0, ...fences);
	}

	async #order(req, res) {
		const parts = await req.toArray();
		const {from, target: to, fence, holdMs} = JSON.parse(parts.join(''));
		const overlaps = this.#held.filter(
			(other) => other.from <= to && from <= other.to,
		);
		const others = this.#held.filter((other) => !overlaps.includes(other));
		if (req.url.endsWith('/release')) {
			this.#held = [
				...others,
				...overlaps.flatMap((held) => withoutKeys(held, from, to)),
			];
			const works = [...this.#works].filter(
				({key}) => from <= key && key <= to,
			);
			this.#released = [
				...this.#released.filter(({until}) => performance.now() < until),
				...overlaps,
			];
			await Promise.all(works.map(({ended}) => ended));
			res.writeHead(200, {
				'x-kingcuproute-handover': randomBytes(8).toString('hex'),
			});
			res.end();
			return;
		}

		if (this.#highestFence(from, to) > fence) {
			res.writeHead(409);
			res.end();
			return;
		}

		this.#seen = [...this.#seen.slice(-999), {from, to, fence}];
		const until = performance.now() + holdMs;
		this.#held = [
			...others,
			...overlaps.flatMap((held) => withoutKeys(held, from, to)),
			{from, to, fence, until},
		];
		res.writeHead(200);
		res.end();
	}
}

function withoutKeys(held, from, to) {
	return [
		{...held, to: from - 1},
		{...held, from: to + 1},
	].filter((part) => part.from <= part.to);
}

/** Sleeps, but not longer than the response's connection lasts. */
async function sleepUnless(res, ms) {
	await new Promise((resolve) => {
		const timer = setTimeout(resolve, Math.max(0, ms) + handshakeMs);
		res.once('close', () => {
			clearTimeout(timer);
			resolve();
		});
	});
}
