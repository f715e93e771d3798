/** A small stand-in for the platform's store with its published protocol: objects, pages, conditional writes, long polls, restores from a copy. */
import {
	createServer,
	type IncomingMessage,
	type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {isDeepStrictEqual} from 'node:util';

type ObjectDocument = {
	metadata: {name: string; rev: number};
	spec: unknown;
	status: unknown;
};

/** An object as text, which need not be valid JSON. */
type StoredText = {
	readonly name: string;
	readonly rev: number;
	readonly text: string;
};

type Change = {
	readonly rev: number;
	readonly kind: string;
	readonly removed: boolean;
	readonly object: StoredText;
};

/** The store's content at one moment. */
export type StoreCopy = {
	readonly rev: number;
	readonly kinds: ReadonlyMap<string, ReadonlyMap<string, StoredText>>;
	readonly changes: readonly Change[];
};

/** An object that an operator or a backend server has written. */
type ForeignObject = {
	readonly kind: string;
	readonly name: string;
	readonly spec: unknown;
	readonly status: unknown;
};

const prefix = '/kingcuproute/objects/';

export class StandInStore {
	/** Maximum number of objects on one page of a list. */
	pageLen = 2;
	/** If set, every call is answered with this status. */
	failing: number | undefined;
	/** How many of the next calls for a kind of objects are answered with 503. */
	readonly failures = new Map<string, number>();
	/** A watch from a revision before this one is answered with 410. */
	forgottenTo = 0;
	/** Sent with each answer; undefined in a store that names no eras. */
	era: number | undefined;
	#kinds = new Map<string, Map<string, StoredText>>();
	#changes: Change[] = [];
	/** As operators and backend servers wrote them last. */
	readonly #foreign = new Map<string, ForeignObject>();
	readonly #waiting = new Set<() => void>();
	#isAway = false;
	#rev = 1;
	readonly #server = createServer((req, res) => {
		void this.#answer(req, res);
	});

	/** Listens on loopback; returns host:port. */
	async start(): Promise<string> {
		await new Promise<void>((resolve) => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	stop(): void {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Writes an object as operators and backend servers do. */
	put(kind: string, name: string, spec: unknown, status?: unknown): void {
		this.#foreign.set(`${kind}/${name}`, {kind, name, spec, status});
		this.#set(kind, name, spec, status);
	}

	/** The present content, for `restore`. */
	copy(): StoreCopy {
		return {
			rev: this.#rev,
			kinds: new Map(
				[...this.#kinds].map(([kind, map]) => [kind, new Map(map)]),
			),
			changes: [...this.#changes],
		};
	}

	/** Ends all calls, and answers none until `restore` or `comeBack`. */
	goAway(): void {
		this.#isAway = true;
		this.#server.closeAllConnections();
	}

	comeBack(): void {
		this.#isAway = false;
	}

	/** Comes back with the content of a copy, in the next era; operators and backend servers write again what they wrote since. */
	restore({rev, kinds, changes}: StoreCopy): void {
		this.#rev = rev;
		this.#kinds = new Map(
			[...kinds].map(([kind, map]) => [kind, new Map(map)]),
		);
		this.#changes = [...changes];
		this.#waiting.clear();
		this.era = (this.era ?? 0) + 1;
		this.#isAway = false;
		for (const {kind, name, spec, status} of this.#foreign.values()) {
			const {text} = this.#kinds.get(kind)?.get(name) ?? {};
			const held = text && (JSON.parse(text) as ObjectDocument);
			if (
				!held ||
				!isDeepStrictEqual([held.spec, held.status], [spec, status])
			) {
				this.#set(kind, name, spec, status);
			}
		}
	}

	/** Lets `restore` not write the object again, as if its writer had ended, or were late. */
	forget(kind: string, name: string): void {
		this.#foreign.delete(`${kind}/${name}`);
	}

	/** An object as the store holds it. */
	specOf(kind: string, name: string): unknown {
		const {text} = this.#kinds.get(kind)?.get(name) ?? {};
		return text && (JSON.parse(text) as ObjectDocument).spec;
	}

	/** Stores the text that `textOf` returns for the new revision unchecked, as another writer may store anything. */
	putText(kind: string, name: string, textOf: (rev: number) => string): void {
		const objects = this.#kinds.get(kind) ?? new Map<string, StoredText>();
		this.#kinds.set(kind, objects);
		this.#rev++;
		const object = {name, rev: this.#rev, text: textOf(this.#rev)};
		objects.set(name, object);
		this.#addChange({rev: this.#rev, kind, removed: false, object});
	}

	/** Sets the state in a backend server's entry to draining. */
	markDraining(name: string): void {
		const kind = 'servers';
		const {text} = this.#kinds.get(kind)!.get(name)!;
		const {spec, status} = JSON.parse(text) as ObjectDocument;
		this.put(kind, name, spec, {
			...(status as Record<string, unknown>),
			state: 'draining',
		});
	}

	remove(kind: string, name: string): boolean {
		this.#foreign.delete(`${kind}/${name}`);
		const object = this.#kinds.get(kind)?.get(name);
		if (!object) {
			return false;
		}

		this.#kinds.get(kind)!.delete(name);
		this.#rev++;
		this.#addChange({rev: this.#rev, kind, removed: true, object});
		return true;
	}

	#set(kind: string, name: string, spec: unknown, status?: unknown): void {
		this.putText(kind, name, (rev) =>
			JSON.stringify({metadata: {name, rev}, spec, status}),
		);
	}

	#addChange(change: Change): void {
		this.#changes.push(change);
		for (const notify of this.#waiting) {
			notify();
		}
	}

	async #answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {pathname, searchParams} = new URL(req.url!, 'http://store');
		const [kind, name] = pathname
			.slice(prefix.length)
			.split('/')
			.map((part) => decodeURIComponent(part));
		const parts = await req.toArray();
		const text = parts.join('');
		const body = text === '' ? undefined : (JSON.parse(text) as ObjectDocument);
		if (this.#isAway) {
			req.socket.destroy();
			return;
		}

		if (this.era !== undefined) {
			res.setHeader('store-era', this.era);
		}

		if (this.failing !== undefined) {
			send(res, this.failing, 'failing');
		} else if (this.#takeFailure(kind)) {
			send(res, 503, 'failing');
		} else if (req.method === 'GET' && searchParams.has('watch')) {
			this.#watch(kind, searchParams, res);
		} else if (req.method === 'GET' && name !== undefined) {
			const object = this.#kinds.get(kind)?.get(name);
			sendText(res, object ? 200 : 404, object?.text ?? '{}');
		} else if (req.method === 'GET') {
			this.#list(kind, searchParams.get('after') ?? '', res);
		} else {
			this.#write(req.method!, [kind, name ?? body?.metadata.name], body, res);
		}
	}

	#takeFailure(kind: string): boolean {
		const left = this.failures.get(kind) ?? 0;
		this.failures.set(kind, Math.max(0, left - 1));
		return left > 0;
	}

	#list(kind: string, after: string, res: ServerResponse): void {
		const all = [...(this.#kinds.get(kind)?.values() ?? [])]
			.filter(({name}) => name > after)
			.sort((a, b) => (a.name < b.name ? -1 : 1));
		const items = all.slice(0, this.pageLen);
		const more = all.length > items.length;
		const texts = items.map(({text}) => text).join(',');
		const rest = `"more":${more},"storeRevision":${this.#rev}`;
		sendText(res, 200, `{"items":[${texts}],${rest}}`);
	}

	#watch(kind: string, query: URLSearchParams, res: ServerResponse): void {
		const since = Number(query.get('watch'));
		if (since < this.forgottenTo || since > this.#rev) {
			send(res, 410, 'gone');
			return;
		}

		const changes = () =>
			this.#changes.filter(
				(change) => change.kind === kind && change.rev > since,
			);
		const answer = () => {
			const events = changes()
				.map(
					({object, removed}) =>
						`{"object":${object.text},"removed":${removed}}`,
				)
				.join(',');
			sendText(res, 200, `{"events":[${events}],"storeRevision":${this.#rev}}`);
		};

		if (changes().length > 0) {
			answer();
			return;
		}

		const notify = () => {
			if (changes().length > 0) {
				finish();
			}
		};

		const finish = () => {
			clearTimeout(timer);
			this.#waiting.delete(notify);
			answer();
		};

		const timer = setTimeout(finish, Number(query.get('waitMs')));
		this.#waiting.add(notify);
		res.once('close', () => {
			clearTimeout(timer);
			this.#waiting.delete(notify);
		});
	}

	#write(
		method: string,
		[kind, name]: readonly string[],
		body: ObjectDocument | undefined,
		res: ServerResponse,
	): void {
		const stored = this.#kinds.get(kind)?.get(name);
		if (method === 'DELETE') {
			send(res, this.remove(kind, name) ? 200 : 404, {});
			return;
		}

		const isAllowed = method === 'POST' ? !stored : stored !== undefined;
		if (method === 'PUT' && !stored) {
			send(res, 404, {});
			return;
		}

		if (!isAllowed || (stored && body?.metadata.rev !== stored.rev)) {
			sendText(res, 409, stored?.text ?? '');
			return;
		}

		this.#set(kind, name, body?.spec);
		sendText(res, 200, this.#kinds.get(kind)!.get(name)!.text);
	}
}

function send(res: ServerResponse, status: number, body: unknown): void {
	sendText(res, status, JSON.stringify(body));
}

function sendText(res: ServerResponse, status: number, text: string): void {
	res.writeHead(status, {'content-type': 'application/json'});
	res.end(text);
}
