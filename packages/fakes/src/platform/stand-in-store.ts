/** A small stand-in for the platform's store, by its published protocol: objects, pages, conditions, long polls. */
import {
	createServer,
	type IncomingMessage,
	type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';

type Held = {
	metadata: {name: string; rev: number};
	spec: unknown;
	status: unknown;
};

/** An object as JSON text, which need not be sound. */
type Stored = {
	readonly name: string;
	readonly rev: number;
	readonly text: string;
};

type Change = {
	readonly rev: number;
	readonly kind: string;
	readonly removed: boolean;
	readonly object: Stored;
};

const prefix = '/kingcuproute/objects/';

export class StandInStore {
	/** Objects on one page of a list. */
	pageLen = 2;
	/** Set to answer every call with this status. */
	failing: number | undefined;
	/** Changes before this revision are forgotten. */
	forgottenTo = 0;
	readonly #kinds = new Map<string, Map<string, Stored>>();
	readonly #changes: Change[] = [];
	readonly #waiting = new Set<() => void>();
	#rev = 1;
	readonly #server = createServer((req, res) => {
		void this.#take(req, res);
	});

	/** Resolves with its host and port. */
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

	put(kind: string, name: string, spec: unknown, status?: unknown): void {
		this.putText(kind, name, (rev) =>
			JSON.stringify({metadata: {name, rev}, spec, status}),
		);
	}

	/** Stores the text that `textOf` makes of the revision, as it is: another writer may leave anything. */
	putText(kind: string, name: string, textOf: (rev: number) => string): void {
		const objects = this.#kinds.get(kind) ?? new Map<string, Stored>();
		this.#kinds.set(kind, objects);
		this.#rev++;
		const object = {name, rev: this.#rev, text: textOf(this.#rev)};
		objects.set(name, object);
		this.#changed({rev: this.#rev, kind, removed: false, object});
	}

	remove(kind: string, name: string): boolean {
		const object = this.#kinds.get(kind)?.get(name);
		if (!object) {
			return false;
		}

		this.#kinds.get(kind)!.delete(name);
		this.#rev++;
		this.#changed({rev: this.#rev, kind, removed: true, object});
		return true;
	}

	#changed(change: Change): void {
		this.#changes.push(change);
		for (const tell of this.#waiting) {
			tell();
		}
	}

	async #take(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {pathname, searchParams} = new URL(req.url!, 'http://store');
		const [kind, name] = pathname
			.slice(prefix.length)
			.split('/')
			.map((part) => decodeURIComponent(part));
		const parts = await req.toArray();
		const text = parts.join('');
		const body = text === '' ? undefined : (JSON.parse(text) as Held);
		if (this.failing !== undefined) {
			send(res, this.failing, 'failing');
		} else if (req.method === 'GET' && searchParams.has('watch')) {
			this.#watch(kind, searchParams, res);
		} else if (req.method === 'GET') {
			this.#list(kind, searchParams.get('after') ?? '', res);
		} else {
			this.#write(req.method!, [kind, name ?? body?.metadata.name], body, res);
		}
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
		if (since < this.forgottenTo) {
			send(res, 410, 'gone');
			return;
		}

		const news = () =>
			this.#changes.filter((one) => one.kind === kind && one.rev > since);
		const answer = () => {
			const events = news()
				.map(
					({object, removed}) =>
						`{"object":${object.text},"removed":${removed}}`,
				)
				.join(',');
			sendText(res, 200, `{"events":[${events}],"storeRevision":${this.#rev}}`);
		};

		if (news().length > 0) {
			answer();
			return;
		}

		const tell = () => {
			if (news().length > 0) {
				finish();
			}
		};

		const finish = () => {
			clearTimeout(timer);
			this.#waiting.delete(tell);
			answer();
		};

		const timer = setTimeout(finish, Number(query.get('waitMs')));
		this.#waiting.add(tell);
		res.once('close', () => {
			clearTimeout(timer);
			this.#waiting.delete(tell);
		});
	}

	#write(
		method: string,
		[kind, name]: readonly string[],
		body: Held | undefined,
		res: ServerResponse,
	): void {
		const held = this.#kinds.get(kind)?.get(name);
		if (method === 'DELETE') {
			send(res, this.remove(kind, name) ? 200 : 404, {});
			return;
		}

		const isHeld = method === 'POST' ? !held : held !== undefined;
		if (method === 'PUT' && !held) {
			send(res, 404, {});
			return;
		}

		if (!isHeld || (held && body?.metadata.rev !== held.rev)) {
			sendText(res, 409, held?.text ?? '');
			return;
		}

		this.put(kind, name, body?.spec);
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
