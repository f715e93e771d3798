/**
 * The platform's store over HTTP/1.1. It never retries a call, because only the caller knows
 * whether that is safe. The store compares the numbers of revisions alone, which it gives out
 * again after it has been restored from a copy; here each has its era, so that no call goes on
 * from a revision of a former era.
 */
import {
	eraOf,
	numberOf,
	type Clock,
	type Millis,
	type StoreEra,
} from '@kingcuproute/core';
import {Either, Left, Right} from 'purify-ts';
import {type Agent, request} from 'undici';
import {boundedAgent} from './bounded-connections.js';
import {
	unknownName,
	nameOf,
	parseChanges,
	parseObject,
	parsePage,
	type Page,
} from './object-bodies.js';
import {type ObjectError} from './object-error.js';
import {
	ObjectStore,
	type ObjectChanges,
	type ObjectListing,
	type ObjectWrite,
	type StoredObject,
} from './object-store.js';
import {eraField, StoreEras} from './store-eras.js';

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
/** Errors that say what the store holds, and so belong to an era. */
const contentErrors: ReadonlySet<number> = new Set([404, 409, 410]);
/** With these the store has done nothing. */
const refusals: ReadonlySet<number> = new Set([400, 429, 503]);
const staleQuery: Readonly<Record<string, string>> = {staleOk: '1'};

type Call = {
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly path: string;
	readonly body?: unknown;
	readonly timeoutMs?: Millis;
	/** Whether the store may wait before it answers. */
	readonly isPoll?: boolean;
};

type Answer = {
	readonly status: number;
	readonly text: string;
	readonly era: number;
};

export class HttpObjectStore extends ObjectStore {
	/** Long polls have connections of their own, so that no short call proves itself on one of theirs, or takes it. */
	#polls: Agent;
	#calls: Agent;
	readonly #eras: StoreEras;

	/** `address` is the store's host and port. */
	constructor(
		private readonly address: string,
		private readonly clock: Clock,
	) {
		super();
		this.#polls = openAgent();
		this.#calls = openAgent();
		this.#eras = new StoreEras(clock, () => {
			this.#endPolls(new Error('the store has entered a later era'));
		});
	}

	override get era(): StoreEra {
		return this.#eras.newest;
	}

	override async list(
		kind: string,
		stale = false,
	): Promise<Either<ObjectError, ObjectListing>> {
		const objects: StoredObject[] = [];
		const unreadable = new Set<string>();
		const cursors = new Set<string>();
		let first: Page | undefined;
		let path = pathOf(kind, undefined, stale ? staleQuery : {});
		while (cursors.size < maxPages) {
			const page = await this.#call({method: 'GET', path}, parsePage);
			if (page.isLeft()) {
				return Left(page.extract());
			}

			const {items, more, era} = page.unsafeCoerce();
			// A watch from the first page's revision reports changes made between two pages.
			first ??= page.unsafeCoerce();
			if (era !== first.era) {
				const message = `GET ${path}: a later era than the first page's`;
				return Left({kind: 'unknown', message});
			}

			for (const item of items) {
				const object = parseObject(item, era);
				if (object) {
					objects.push(object);
				} else {
					unreadable.add(nameOf(item) ?? unknownName);
				}
			}

			if (!more || items.length === 0) {
				return Right({
					revision: first.revision,
					objects,
					unreadable: [...unreadable],
				});
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
		const era = eraOf(revision);
		if (era < this.era.number) {
			return Left({kind: 'expired'});
		}

		const query = {
			watch: String(numberOf(revision)),
			waitMs: String(waitMs),
			...(stale && staleQuery),
		};
		const call: Call = {
			method: 'GET',
			path: pathOf(kind, undefined, query),
			timeoutMs: waitMs + watchSlackMs,
			isPoll: waitMs > 0,
		};
		const changes = await this.#call(call, parseChanges);
		const isOfOtherEra = changes
			.map(({revision: reached}) => eraOf(reached) !== era)
			.orDefault(era < this.era.number);
		return isOfOtherEra ? Left({kind: 'expired'}) : changes;
	}

	override async write({
		kind,
		name,
		revision,
		spec,
	}: ObjectWrite): Promise<Either<ObjectError, StoredObject>> {
		const era = revision === undefined ? undefined : eraOf(revision);
		if (era !== undefined && era < this.era.number) {
			return this.#conflictOf(kind, name);
		}

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
						body: {metadata: {name, rev: numberOf(revision)}, spec},
					};
		const written = await this.#call(call, parseWritten);
		return written.chain((object) =>
			era !== undefined && era < eraOf(object.revision)
				? Left({kind: 'conflict', held: object})
				: Right(object),
		);
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

	/** The failure of a write on a condition that no object can meet any more. */
	async #conflictOf(
		kind: string,
		name: string,
	): Promise<Either<ObjectError, never>> {
		const call: Call = {method: 'GET', path: pathOf(kind, name)};
		const held = await this.#call(call, parseWritten);
		return held.chain((object) => Left({kind: 'conflict', held: object}));
	}

	/** Ends the long polls in progress; later ones use new connections. */
	#endPolls(error: Error): void {
		const polls = this.#polls;
		this.#polls = openAgent();
		void polls.destroy(error);
	}

	/**
	 * Uses new connections from now on. A short call that gets no answer shows that open
	 * connections may have gone silent: those of long polls are closed, which ends the
	 * polls, and short calls in progress may still be answered.
	 */
	#renewConnections(): void {
		const calls = this.#calls;
		this.#calls = openAgent();
		this.#endPolls(new Error('another call got no answer'));
		void calls.close();
	}

	async #call<T>(
		call: Call,
		parse: (body: unknown, era: number) => T,
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
			const {statusCode: status, headers} = res;
			return status < 300 || contentErrors.has(status)
				? this.#eras
						.read(headers[eraField])
						.mapLeft(({message}) => eraError(call, status, message))
						.chain((era) => readAnswer(call, {status, text, era}, parse))
				: Left(failureOf(call, status, text));
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

function readAnswer<T>(
	call: Call,
	answer: Answer,
	parse: (body: unknown, era: number) => T,
): Either<ObjectError, T> {
	const {method, path} = call;
	const {status, text, era} = answer;
	if (status >= 300) {
		return Left(errorOfStatus(call, answer));
	}

	return Either.encase(() =>
		parse(text === '' ? undefined : JSON.parse(text), era),
	).mapLeft(({message}) => ({
		kind: 'unreadable',
		message: `${method} ${path}: ${message.slice(0, maxMessageLen)}`,
	}));
}

function parseWritten(body: unknown, era: number): StoredObject {
	const object = parseObject(body, era);
	if (!object) {
		throw new TypeError('the answer holds no object');
	}

	return object;
}

/** The answer can't be placed in an era, or is of a former one. */
function eraError(call: Call, status: number, fault: string): ObjectError {
	const message = `${call.method} ${call.path}: status ${status}: ${fault}`;
	return {kind: 'unknown', message};
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

/** What an error says of the store's content. */
function errorOfStatus(call: Call, {status, text, era}: Answer): ObjectError {
	switch (status) {
		case 404: {
			return {kind: 'missing'};
		}

		case 409: {
			return {kind: 'conflict', held: parseObject(tryParseJson(text), era)};
		}

		case 410: {
			return {kind: 'expired'};
		}

		default: {
			return failureOf(call, status, text);
		}
	}
}

function failureOf(call: Call, status: number, text: string): ObjectError {
	const message = `${call.method} ${call.path}: status ${status}: ${text.slice(0, maxMessageLen)}`;
	return {kind: refusals.has(status) ? 'refused' : 'unknown', message};
}

function tryParseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		// The conflict is reported without the object; the caller reads the object again.
		return undefined;
	}
}
