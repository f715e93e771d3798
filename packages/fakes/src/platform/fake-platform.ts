/**
 * A stand-in for the platform: the object API over HTTP, a list of VMs that changes
 * with a lag, faults on demand, and counts of the calls made to it.
 *
 * GET /v1/objects; GET, POST, PUT, DELETE /v1/objects/KIND/NAME (if-match: VERSION);
 * GET /v1/watch?since=VERSION; GET /v1/vms; PUT /v1/vms/VM; DELETE /v1/vms/VM;
 * PUT /faults; GET /calls.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {json} from 'node:stream/consumers';
import {Listener} from '../listener.js';
import {sendJson} from '../send-json.js';
import {faultsSchema, noFaults, type Faults} from './faults.js';
import {Store, type Outcome, type StoredObject} from './store.js';

const heartbeatMs = 500;

type ListedVm = {
	readonly vm: string;
	readonly failureDomain: string;
	readonly address: string;
	readonly state: string;
};

/** Calls to the platform since it started. */
export type CallCounts = {reads: number; writes: number; watches: number};

export class FakePlatform {
	readonly store = new Store();
	readonly calls: CallCounts = {reads: 0, writes: 0, watches: 0};
	#faults: Faults = noFaults;
	#vms: readonly ListedVm[] = [];
	#laggingVms: readonly ListedVm[] = [];
	readonly #watches = new Set<ServerResponse>();
	readonly #listener = new Listener((req, res) => {
		void this.#answer(req, res);
	});

	/** Listens on loopback; returns the port. */
	async listen(port = 0): Promise<number> {
		return this.#listener.listen(port);
	}

	async close(): Promise<void> {
		return this.#listener.close();
	}

	/** Changes the faults in force; a fault that is not named stays as it is. */
	changeFaults(change: Partial<Faults>): void {
		this.#faults = {...this.#faults, ...change};
		if (this.#faults.outage) {
			for (const res of this.#watches) {
				res.destroy();
			}
		}
	}

	/** Adds a VM to the list, or changes its entry, after the lag. */
	listVm(vm: ListedVm): void {
		this.#setVms([...this.#vms.filter((other) => other.vm !== vm.vm), vm]);
	}

	/** Removes a VM from the list, after the lag. */
	unlistVm(vm: string): void {
		this.#setVms(this.#vms.filter((other) => other.vm !== vm));
	}

	#setVms(vms: readonly ListedVm[]): void {
		this.#vms = vms;
		setTimeout(() => {
			this.#laggingVms = vms;
		}, this.#faults.vmLagMs).unref();
	}

	async #answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
		try {
			const url = new URL(req.url ?? '/', 'http://platform');
			const path = url.pathname
				.split('/')
				.slice(1)
				.map((part) => decodeURIComponent(part));
			if (path[0] !== 'v1') {
				await this.#answerControl(path, req, res);
				return;
			}

			await this.#delay();
			if (this.#faults.outage) {
				sendJson(res, 503, {message: 'outage'});
			} else
				switch (path[1]) {
					case 'objects': {
						await this.#answerObjects(path.slice(2), req, res);

						break;
					}

					case 'watch': {
						this.#watch(Number(url.searchParams.get('since')), res);

						break;
					}

					case 'vms': {
						await this.#answerVms(path[2], req, res);

						break;
					}

					default: {
						sendJson(res, 404, {message: 'no such path'});
					}
				}
		} catch (error) {
			sendJson(res, 400, {message: String(error)});
		}
	}

	async #delay(): Promise<void> {
		const {delayMs} = this.#faults;
		if (delayMs > 0) {
			await new Promise((resolve) => {
				setTimeout(resolve, delayMs);
			});
		}
	}

	async #answerControl(
		path: readonly string[],
		req: IncomingMessage,
		res: ServerResponse,
	): Promise<void> {
		if (path[0] === 'faults' && req.method === 'PUT') {
			this.changeFaults(faultsSchema.partial().parse(await json(req)));
			sendJson(res, 200, this.#faults);
		} else if (path[0] === 'calls') {
			sendJson(res, 200, this.calls);
		} else {
			sendJson(res, 404, {message: 'no such path'});
		}
	}

	async #answerObjects(
		path: readonly string[],
		req: IncomingMessage,
		res: ServerResponse,
	): Promise<void> {
		const [kind, name] = path;
		if (req.method === 'GET') {
			this.calls.reads++;
			if (kind === undefined || name === undefined) {
				sendJson(res, 200, {
					version: this.store.version,
					objects: this.store.list(),
				});
				return;
			}

			const object = this.store.get(kind, name);
			sendJson(res, object ? 200 : 404, object ?? {message: 'no such object'});
			return;
		}

		this.calls.writes++;
		const outcome = await this.#write(kind, name, req);
		if (this.#faults.loseAnswers) {
			res.destroy();
		} else {
			sendJson(
				res,
				outcome.status,
				'object' in outcome ? outcome.object : {message: 'conflict or missing'},
			);
		}
	}

	async #write(
		kind: string,
		name: string,
		req: IncomingMessage,
	): Promise<Outcome> {
		const version = Number(req.headers['if-match']);
		if (req.method === 'DELETE') {
			return this.store.delete(kind, name, version);
		}

		const value = await json(req);
		return req.method === 'POST'
			? this.store.create(kind, name, value)
			: this.store.update(kind, name, version, value);
	}

	#watch(since: number, res: ServerResponse): void {
		this.calls.watches++;
		const missed = this.store.since(since);
		if (!missed) {
			sendJson(res, 410, {message: 'version no longer kept'});
			return;
		}

		res.writeHead(200, {'content-type': 'application/x-ndjson'});
		const send = (object: StoredObject) => {
			res.write(JSON.stringify(object) + '\n');
		};

		for (const object of missed) {
			send(object);
		}

		res.write('\n');
		const unsubscribe = this.store.listen(send);
		const beat = setInterval(() => res.write('\n'), heartbeatMs);
		this.#watches.add(res);
		res.on('close', () => {
			unsubscribe();
			clearInterval(beat);
			this.#watches.delete(res);
		});
	}

	async #answerVms(
		vm: string | undefined,
		req: IncomingMessage,
		res: ServerResponse,
	): Promise<void> {
		if (vm === undefined) {
			this.calls.reads++;
			sendJson(res, 200, this.#laggingVms);
		} else if (req.method === 'DELETE') {
			this.unlistVm(vm);
			sendJson(res, 200, {});
		} else {
			this.listVm({...((await json(req)) as ListedVm), vm});
			sendJson(res, 200, {});
		}
	}
}
