/**
 * A stand-in for the platform's store: objects with revisions, conditional writes, long
 * polls and the header `Store-Era`. It can be away, and come back from a copy.
 */
import {once} from 'node:events';
import {createServer} from 'node:http';

const prefix = '/kingcuproute/objects/';

export class Store {
	address = '';
	/** Called with a text for each thing that an observer should know. */
	record = () => undefined;
	#era = 1;
	#revision = 100;
	#isAway = false;
	#kinds = new Map();
	/** Changes by revision, oldest first. */
	#changes = [];
	#waiting = new Set();
	/** Objects written by the operator and the backend servers, as they wrote them last. */
	#foreign = new Map();
	#server = createServer((req, res) => {
		this.#answer(req, res);
	});

	async start() {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		this.address = `127.0.0.1:${this.#server.address().port}`;
	}

	stop() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** A write by the operator or a backend server. */
	put(kind, name, document) {
		this.#foreign.set(`${kind}/${name}`, {kind, name, document});
		this.#set(kind, name, document);
	}

	/** The present content, for `comeBackFrom`. */
	copy() {
		return {
			revision: this.#revision,
			kinds: structuredClone(this.#kinds),
			changes: structuredClone(this.#changes),
		};
	}

	/** Ends all calls in progress and answers none until `comeBackFrom`. */
	goAway() {
		this.#isAway = true;
		this.#server.closeAllConnections();
	}

	/** Comes back with the content of the copy; the operator and the servers write theirs again. */
	comeBackFrom({revision, kinds, changes}) {
		this.#kinds = kinds;
		this.#changes = changes;
		this.#revision = revision;
		this.#era++;
		this.#waiting.clear();
		this.#isAway = false;
		for (const {kind, name, document} of this.#foreign.values()) {
			this.#set(kind, name, document);
		}
	}

	comeBack() {
		this.#isAway = false;
	}

	object(kind, name) {
		return this.#kinds.get(kind)?.get(name);
	}

	#set(kind, name, document) {
		const objects = this.#kinds.get(kind) ?? new Map();
		this.#kinds.set(kind, objects);
		const known = objects.get(name);
		const {spec, status, ...rest} = document;
		const next = {...rest, spec, status: status ?? known?.status ?? null};
		if (known && isSame(known, next)) {
			return known;
		}

		this.#revision++;
		const object = {
			metadata: {
				name,
				rev: this.#revision,
				createdRev: known?.metadata.createdRev ?? this.#revision,
				finalizers: [],
				deleting: false,
			},
			...next,
		};
		objects.set(name, object);
		this.#changed({kind, removed: false, object});
		return object;
	}

	#changed(change) {
		this.#changes.push({...change, revision: this.#revision});
		for (const notify of this.#waiting) {
			notify();
		}
	}

	async #answer(req, res) {
		if (this.#isAway) {
			req.socket.destroy();
			return;
		}

		const chunks = await req.toArray();
		const {pathname, searchParams} = new URL(req.url, 'http://store');
		const [kind, name] = pathname
			.slice(prefix.length)
			.split('/')
			.map((part) => decodeURIComponent(part));
		const body = chunks.length > 0 ? JSON.parse(chunks.join('')) : undefined;
		if (req.method !== 'GET') {
			this.#write(req.method, {kind, name, body, searchParams}, res);
		} else if (searchParams.has('watch')) {
			this.#watch(kind, searchParams, res);
		} else if (name === undefined) {
			const items = [...(this.#kinds.get(kind)?.values() ?? [])];
			this.#send(res, 200, {
				items,
				more: false,
				storeRevision: this.#revision,
			});
		} else {
			const object = this.object(kind, name);
			this.#send(res, object ? 200 : 404, object ?? {});
		}
	}

	#write(method, {kind, name, body, searchParams}, res) {
		const target = name ?? body?.metadata?.name;
		const held = this.object(kind, target);
		const condition = body?.metadata?.rev ?? searchParams.get('rev');
		const isExpected =
			condition === undefined ||
			condition === null ||
			Number(condition) === held?.metadata.rev;
		let status = 200;
		let answer;
		if (method === 'POST' && held) {
			status = 409;
			answer = held;
		} else if (method !== 'POST' && !held) {
			status = 404;
			answer = {};
		} else if (!isExpected) {
			status = 409;
			answer = held;
		} else if (method === 'DELETE') {
			this.#kinds.get(kind).delete(target);
			this.#revision++;
			this.#changed({kind, removed: true, object: held});
			answer = {};
		} else {
			const {metadata, spec, status: ignored, ...rest} = body;
			answer = this.#set(kind, target, {...rest, spec});
		}

		const rev = answer.metadata?.rev;
		this.record(`store ${method} ${kind}/${target}: ${status}, rev ${rev}`);
		this.#send(res, status, answer);
	}

	#watch(kind, searchParams, res) {
		const since = Number(searchParams.get('watch'));
		if (since > this.#revision) {
			this.#send(res, 410, {});
			return;
		}

		const respond = () => {
			const events = this.#changes
				.filter((change) => change.kind === kind && change.revision > since)
				.map(({removed, object}) => ({removed, object}));
			if (events.length === 0) {
				return false;
			}

			this.#send(res, 200, {events, storeRevision: this.#revision});
			return true;
		};

		if (respond()) {
			return;
		}

		const notify = () => {
			if (respond()) {
				end();
			}
		};

		const timer = setTimeout(
			() => {
				this.#send(res, 200, {events: [], storeRevision: this.#revision});
				end();
			},
			Math.min(30_000, Number(searchParams.get('waitMs') ?? 0)),
		);
		const end = () => {
			clearTimeout(timer);
			this.#waiting.delete(notify);
		};

		this.#waiting.add(notify);
		res.on('close', end);
	}

	#send(res, status, body) {
		if (res.destroyed || res.writableEnded) {
			return;
		}

		res.writeHead(status, {
			'content-type': 'application/json',
			'store-era': String(this.#era),
		});
		res.end(JSON.stringify(body));
	}
}

function isSame(known, next) {
	const {metadata, ...held} = known;
	return JSON.stringify(sorted(held)) === JSON.stringify(sorted(next));
}

function sorted(document) {
	return Object.entries(document).sort(([a], [b]) => (a < b ? -1 : 1));
}
