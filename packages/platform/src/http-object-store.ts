/** The platform's store over HTTP/1.1. It never retries a call, because only the caller knows whether that is safe. */
import {type Clock, type Millis} from '@kingcuproute/core';
import {Either, Left, Right} from 'purify-ts';
import {type Agent, request} from 'undici';
import {boundedAgent} from './bounded-connections.js';
import {
	unknownName,
	nameOf,
	parseChanges,
	parseObject,
	parsePage,
} from './object-bodies.js';
import {type ObjectError} from './object-error.js';
import {
	ObjectStore,
	type ObjectChanges,
	type ObjectListing,
	type ObjectWrite,
	type StoredObject,
} from './object-store.js';

/** Several hundred times the store's usual latency of 4 ms; a slow store takes a few hundred ms. */
const callTimeoutMs: Millis = 1500;
/** Time that a watch has to answer after its wait is over. */
const watchSlackMs: Millis = 1000;
const connectTimeoutMs: Millis = 1000;
const keepAliveMs: Millis = 4000;
/** A page holds about 500 objects, so this is enough for 100,000 servers; it also stops a list whose `more` is always true. */
const maxPages = 200;
/** Eight times the longest page, since the changes that a watch returns are not divided into pages. */
const maxAnswerLen = 8_388_608;
const maxMessageLen = 200;
const staleQuery: Readonly<Record<string, string>> = {staleOk: '1'};

type Call = {
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly path: string;
	readonly body?: unknown;
	readonly timeoutMs?: Millis;
	/** Whether the store may wait before it answers. */
	readonly isPoll?: boolean;
};

export class HttpObjectStore extends ObjectStore {
	/** Long polls have connections of their own, so that no short call proves itself on one of theirs, or takes it. */
	#polls: Agent;
	#calls: Agent;

	/** `address` is the store's host and port. */
	constructor(
		private readonly address: string,
		private readonly clock: Clock,
	) {
		super();
		this.#polls = openAgent();
		this.#calls = openAgent();
	}

	override async list(
		kind: string,
		stale = false,
	): Promise<Either<ObjectError, ObjectListing>> {
		const objects: StoredObject[] = [];
		const unreadable = new Set<string>();
		const cursors = new Set<string>();
		let revision: number | undefined;
		let path = pathOf(kind, undefined, stale ? staleQuery : {});
		while (cursors.size < maxPages) {
			const page = await this.#call({method: 'GET', path}, parsePage);
			if (page.isLeft()) {
				return Left(page.extract());
			}

			const {items, more, storeRevision} = page.unsafeCoerce();
			for (const item of items) {
				const object = parseObject(item);
				if (object) {
					objects.push(object);
				} else {
					unreadable.add(nameOf(item) ?? unknownName);
				}
			}

			// A watch from the first page's revision reports changes made between two pages.
			revision ??= storeRevision;
			if (!more || items.length === 0) {
				return Right({revision, objects, unreadable: [...unreadable]});
			}

			const after = items.map((item) => nameOf(item)).findLast(Boolean);
			if (after === undefined || cursors.has(after)) {
				break;
			}

			cursors.add(after);
			path = pathOf(kind, undefined, {after, ...(stale && staleQuery)});
		}

		const message = `GET ${path}: no end after ${cursors.size} pages`;
		return Left({kind: 'unreadable', message});
	}

	override async watch(
		kind: string,
		revision: number,
		waitMs: Millis,
		stale = false,
	): Promise<Either<ObjectError, ObjectChanges>> {
		const query = {
			watch: String(revision),
			waitMs: String(waitMs),
			...(stale && staleQuery),
		};
		const call: Call = {
			method: 'GET',
			path: pathOf(kind, undefined, query),
			timeoutMs: waitMs + watchSlackMs,
			isPoll: waitMs > 0,
		};
		return this.#call(call, parseChanges);
	}

	override async write({
		kind,
		name,
		revision,
		spec,
	}: ObjectWrite): Promise<Either<ObjectError, StoredObject>> {
		const call: Call =
			revision === undefined
				? {
						method: 'POST',
						path: pathOf(kind),
						body: {metadata: {name}, spec},
					}
				: {
						method: 'PUT',
						path: pathOf(kind, name),
						body: {metadata: {name, rev: revision}, spec},
					};
		return this.#call(call, (body) => {
			const object = parseObject(body);
			if (!object) {
				throw new TypeError('the answer holds no object');
			}

			return object;
		});
	}

	override async remove(
		kind: string,
		name: string,
	): Promise<Either<ObjectError, undefined>> {
		return this.#call(
			{method: 'DELETE', path: pathOf(kind, name)},
			() => undefined,
		);
	}

	/** Closes all connections, so that the process can end. */
	async close(): Promise<void> {
		await Promise.all([this.#polls.destroy(), this.#calls.destroy()]);
	}

	/**
	 * Uses new connections from now on. A short call that gets no answer shows that open
	 * connections may have gone silent: those of long polls are closed, which ends the
	 * polls, and short calls in progress may still be answered.
	 */
	#renewConnections(): void {
		const [polls, calls] = [this.#polls, this.#calls];
		this.#polls = openAgent();
		this.#calls = openAgent();
		void polls.destroy(new Error('another call got no answer'));
		void calls.close();
	}

	async #call<T>(
		call: Call,
		parse: (body: unknown) => T,
	): Promise<Either<ObjectError, T>> {
		const {method, path, body, timeoutMs = callTimeoutMs, isPoll} = call;
		const agent = isPoll ? this.#polls : this.#calls;
		const abort = new AbortController();
		const cancel = this.clock.after(timeoutMs, () => {
			abort.abort(new Error(`no answer in ${timeoutMs} ms`));
			// Connections that have been replaced meanwhile tell nothing of the present ones.
			if (agent === this.#calls) {
				this.#renewConnections();
			}
		});
		try {
			const res = await request(`http://${this.address}${path}`, {
				method,
				headers: {'content-type': 'application/json'},
				body: body === undefined ? null : JSON.stringify(body),
				signal: abort.signal,
				dispatcher: agent,
			});
			const text = await res.body.text();
			return res.statusCode < 300
				? parseAnswer(call, text, parse)
				: Left(errorOfStatus(call, res.statusCode, text));
		} catch (error) {
			const {message} = error as Error;
			return Left({kind: 'unknown', message: `${method} ${path}: ${message}`});
		} finally {
			cancel();
		}
	}
}

function openAgent(): Agent {
	return boundedAgent(maxAnswerLen, {
		connect: {timeout: connectTimeoutMs},
		keepAliveTimeout: keepAliveMs,
		keepAliveMaxTimeout: keepAliveMs,
		headersTimeout: 0,
		bodyTimeout: 0,
	});
}

function parseAnswer<T>(
	{method, path}: Call,
	text: string,
	parse: (body: unknown) => T,
): Either<ObjectError, T> {
	return Either.encase(() =>
		parse(text === '' ? undefined : JSON.parse(text)),
	).mapLeft(({message}) => ({
		kind: 'unreadable',
		message: `${method} ${path}: ${message.slice(0, maxMessageLen)}`,
	}));
}

function pathOf(
	kind: string,
	name?: string,
	query: Readonly<Record<string, string>> = {},
): string {
	const path = ['/kingcuproute/objects', kind, name ?? []]
		.flat()
		.map((part, index) => (index === 0 ? part : encodeURIComponent(part)))
		.join('/');
	const search = new URLSearchParams(query).toString();
	return search === '' ? path : `${path}?${search}`;
}

function errorOfStatus(call: Call, status: number, text: string): ObjectError {
	const message = `${call.method} ${call.path}: status ${status}: ${text.slice(0, maxMessageLen)}`;
	switch (status) {
		case 404: {
			return {kind: 'missing'};
		}

		case 409: {
			return {kind: 'conflict', held: parseObject(tryParseJson(text))};
		}

		case 410: {
			return {kind: 'expired'};
		}

		case 429:
		case 503:
		case 400: {
			return {kind: 'refused', message};
		}

		default: {
			return {kind: 'unknown', message};
		}
	}
}

function tryParseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		// The conflict is reported without the object; the caller reads the object again.
		return undefined;
	}
}
