/**
 * A small stand-in for the platform's store: objects by kind and name, pages, conditional
 * writes and long polls. It keeps its whole history.
 */
import {createServer} from 'node:http';
import {isDeepStrictEqual} from 'node:util';

const prefix = '/kingcuproute/objects/';
const answerMs = 4;
const pageLen = 500;
const maxWaitMs = 30_000;

export class Store {
	#kinds = new Map();
	#changes = [];
	#waiting = new Set();
	#revision = 100;
	#server = createServer((req, res) => {
		this.#answer(req, res);
	});

	/** Listens on loopback; resolves with host and port. */
	async start() {
		await new Promise((resolve) => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${this.#server.address().port}`;
	}

	stop() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** The objects of a kind, by name. */
	objects(kind) {
		if (!this.#kinds.has(kind)) {
			this.#kinds.set(kind, new Map());
		}

		return this.#kinds.get(kind);
	}

	/** Creates or replaces an object; `fields` may have `spec`, `status` and further fields. */
	put(kind, name, fields) {
		const held = this.objects(kind).get(name);
		const {metadata, ...rest} = held ?? {};
		const next = {...rest, ...fields};
		if (held && isDeepStrictEqual(next, rest)) {
			return held;
		}

		this.#revision++;
		const createdRev = metadata?.createdRev ?? this.#revision;
		const object = {
			metadata: {
				name,
				rev: this.#revision,
				createdRev,
				finalizers: [],
				deleting: false,
			},
			...next,
		};
		this.objects(kind).set(name, object);
		this.#change({rev: this.#revision, kind, object, removed: false});
		return object;
	}

	remove(kind, name) {
		const object = this.objects(kind).get(name);
		if (!object) {
			return false;
		}

		this.objects(kind).delete(name);
		this.#revision++;
		this.#change({rev: this.#revision, kind, object, removed: true});
		return true;
	}

	#change(change) {
		this.#changes.push(change);
		for (const notify of this.#waiting) {
			notify();
		}
	}

	async #answer(req, res) {
		const {pathname, searchParams} = new URL(req.url, 'http://store');
		const [kind, name] = pathname
			.slice(prefix.length)
			.split('/')
			.map((part) => decodeURIComponent(part));
		const parts = await req.toArray();
		const text = parts.join('');
		const body = text === '' ? undefined : JSON.parse(text);
		await new Promise((resolve) => {
			setTimeout(resolve, answerMs);
		});
		if (req.method === 'GET' && searchParams.has('watch')) {
			this.#watch(kind, searchParams, res);
		} else if (req.method === 'GET' && name !== undefined) {
			const object = this.objects(kind).get(name);
			send(res, object ? 200 : 404, object ?? {});
		} else if (req.method === 'GET') {
			this.#list(kind, searchParams.get('after') ?? '', res);
		} else {
			this.#write(req.method, [kind, name ?? body?.metadata.name], body, res);
		}
	}

	#list(kind, after, res) {
		const all = [...this.objects(kind).values()]
			.filter(({metadata}) => metadata.name > after)
			.sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
		const items = all.slice(0, pageLen);
		const more = all.length > items.length;
		send(res, 200, {items, more, storeRevision: this.#revision});
	}

	#watch(kind, query, res) {
		const since = Number(query.get('watch'));
		const events = () =>
			this.#changes
				.filter((change) => change.kind === kind && change.rev > since)
				.map(({object, removed}) => ({object, removed}));
		const finish = () => {
			clearTimeout(timer);
			this.#waiting.delete(notify);
			send(res, 200, {events: events(), storeRevision: this.#revision});
		};

		const notify = () => {
			if (events().length > 0) {
				finish();
			}
		};

		const waitMs = Math.min(Number(query.get('waitMs') ?? 0), maxWaitMs);
		const timer = setTimeout(finish, waitMs);
		this.#waiting.add(notify);
		res.once('close', () => {
			clearTimeout(timer);
			this.#waiting.delete(notify);
		});
		notify();
	}

	#write(method, [kind, name], body, res) {
		const held = this.objects(kind).get(name);
		if (method === 'DELETE') {
			send(res, this.remove(kind, name) ? 200 : 404, {});
			return;
		}

		const rev = body?.metadata?.rev;
		if (method === 'PUT' && !held) {
			send(res, 404, {});
		} else if (
			held &&
			(method === 'POST' || (rev !== undefined && rev !== held.metadata.rev))
		) {
			send(res, 409, held);
		} else {
			send(res, 200, this.put(kind, name, {spec: body.spec}));
		}
	}
}

function send(res, status, body) {
	if (!res.destroyed && !res.writableEnded) {
		res.writeHead(status, {'content-type': 'application/json'});
		res.end(JSON.stringify(body));
	}
}
