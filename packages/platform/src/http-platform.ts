/**
 * The object API over HTTP. A write that gets no answer fails as `unknown` and is
 * never retried here; a read that gets no answer fails as `unavailable`.
 */
import {
	type Clock,
	type VersionedObject,
	type Kind,
	type KindValue,
	type Millis,
} from '@kingcuproute/core';
import {Left, Right, type Either} from 'purify-ts';
import {Agent, request} from 'undici';
import {type PlatformError} from './platform-error.js';
import {
	Platform,
	type ListedVm,
	type Listing,
	type StopWatch,
	type WatchEvent,
} from './platform.js';
import {openWatch} from './http-watch.js';
import {parseHeld, parseListing, parseVms} from './wire.js';

const callTimeoutMs: Millis = 1500;
const connectTimeoutMs: Millis = 500;
const keepAliveMs: Millis = 4000;

type Call = {
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly path: string;
	readonly version?: number;
	readonly body?: unknown;
};

/** Address and timeout of the object API. */
export type HttpPlatformOptions = {
	/** Origin of the API, such as http://127.0.0.1:8080. */
	readonly origin: string;
	readonly timeoutMs?: Millis;
};

/** The object API reached over HTTP/1.1. */
export class HttpPlatform extends Platform {
	readonly #agent = new Agent({
		connect: {timeout: connectTimeoutMs},
		keepAliveTimeout: keepAliveMs,
		keepAliveMaxTimeout: keepAliveMs,
	});

	constructor(
		private readonly options: HttpPlatformOptions,
		private readonly clock: Clock,
	) {
		super();
	}

	override async get<K extends Kind>(
		kind: K,
		name: string,
	): Promise<Either<PlatformError, VersionedObject<K>>> {
		return this.#call(
			{method: 'GET', path: objectPath(kind, name)},
			(body) => parseHeld(body) as VersionedObject<K>,
		);
	}

	override async list(): Promise<Either<PlatformError, Listing>> {
		return this.#call({method: 'GET', path: '/v1/objects'}, parseListing);
	}

	override async create<K extends Kind>(
		kind: K,
		name: string,
		value: KindValue<K>,
	) {
		const call: Call = {
			method: 'POST',
			path: objectPath(kind, name),
			body: value,
		};
		return this.#call(call, (body) => parseHeld(body) as VersionedObject<K>);
	}

	override async update<K extends Kind>(
		kind: K,
		name: string,
		version: number,
		value: KindValue<K>,
	) {
		const call: Call = {
			method: 'PUT',
			path: objectPath(kind, name),
			version,
			body: value,
		};
		return this.#call(call, (body) => parseHeld(body) as VersionedObject<K>);
	}

	override async delete(kind: Kind, name: string, version: number) {
		return this.#call(
			{method: 'DELETE', path: objectPath(kind, name), version},
			parseHeld,
		);
	}

	override watch(
		since: number,
		onEvent: (event: WatchEvent) => void,
	): StopWatch {
		return openWatch({origin: this.options.origin, since, onEvent}, this.clock);
	}

	override async vms(): Promise<Either<PlatformError, readonly ListedVm[]>> {
		return this.#call({method: 'GET', path: '/v1/vms'}, parseVms);
	}

	/** Closes idle connections, so that the process can end. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #call<T>(
		call: Call,
		parse: (body: unknown) => T,
	): Promise<Either<PlatformError, T>> {
		const abort = new AbortController();
		const cancel = this.clock.after(
			this.options.timeoutMs ?? callTimeoutMs,
			() => {
				abort.abort();
			},
		);
		try {
			const res = await request(
				this.options.origin + call.path,
				this.#request(call, abort.signal),
			);
			const text = await res.body.text();
			return res.statusCode < 300
				? Right(parse(JSON.parse(text)))
				: Left(errorOfStatus(call, res.statusCode, text));
		} catch (error) {
			return Left(errorOfFailedCall(call, error));
		} finally {
			cancel();
		}
	}

	#request(call: Call, signal: AbortSignal) {
		const headers: Record<string, string> = {
			'content-type': 'application/json',
		};
		if (call.version !== undefined) {
			headers['if-match'] = String(call.version);
		}

		const body = call.body === undefined ? null : JSON.stringify(call.body);
		return {
			method: call.method,
			headers,
			body,
			signal,
			dispatcher: this.#agent,
		};
	}
}

function objectPath(kind: Kind, name: string): string {
	return `/v1/objects/${kind}/${encodeURIComponent(name)}`;
}

function errorOfStatus(
	call: Call,
	status: number,
	text: string,
): PlatformError {
	const message = `${call.method} ${call.path}: status ${status}: ${text.slice(0, 200)}`;
	if (status === 404) {
		return {kind: 'missing', message};
	}

	if (status === 409 || status === 412) {
		return {kind: 'conflict', message};
	}

	if (status === 410) {
		return {kind: 'expired', message};
	}

	return status < 500
		? {kind: 'invalid', message}
		: {kind: 'unavailable', message};
}

function errorOfFailedCall(call: Call, error: unknown): PlatformError {
	const message = `${call.method} ${call.path}: ${error instanceof Error ? error.message : String(error)}`;
	const neverSent = (error as {code?: string}).code === 'ECONNREFUSED';
	return call.method === 'GET' || neverSent
		? {kind: 'unavailable', message}
		: {kind: 'unknown', message};
}
