/**
 * One caller's request from its header to its end: finds its route, sends it to a
 * backend server, and to another one where that is allowed and repeats nothing that
 * must not repeat.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	drawService,
	headerFault,
	ranAfter,
	type AttemptEnd,
	type ListedServer,
	type Millis,
	type RoutedService,
	type RouteRule,
} from '@kingcuproute/core';
import {requestFields} from '@kingcuproute/platform';
import {RequestBody} from '../requests/request-body.js';
import {type ExchangeMeans} from './exchange-means.js';
import {sendEnd, type RequestEnd} from './request-end.js';
import {type Wanted} from './server-picks.js';
import {holdLen, Sending} from './sending.js';

/** What a caller allows that does not say. */
const usualAllowedMs: Millis = 5000;
/** So that the answer is with the caller before its time is over. */
const returnMs: Millis = 10;
/** Less is not worth a sending: connecting and running take longer. */
const minSendMs: Millis = 20;
/** How long a request may wait for keys that change hands, as a part of its time. */
const ownerWaitShare = 0.3;
const configRetryMs: Millis = 500;
const ownerPollMs: Millis = 25;
/** Turns of the event loop in which the end of a connection is read, the connection closed, and that told of. */
const turnsToEnd = 4;
/** About one run of the shortest requests: a slot is likely to be free by then. */
const declinedRetryMs: Millis = 300;

type Asked = {
	readonly id: string;
	readonly rule: RouteRule;
	readonly service: RoutedService;
	/** For a service divided by key. */
	readonly key: number | undefined;
	readonly body: RequestBody;
	readonly arrivedAt: Millis;
	/** When the caller has to have its answer. */
	readonly until: Millis;
	/** Of the configuration by which it is routed. */
	readonly version: number;
};

export class GatewayExchange {
	#asked: Asked | undefined;
	#sending: Sending | undefined;
	#gone = false;

	constructor(
		private readonly means: ExchangeMeans,
		private readonly req: IncomingMessage,
		private readonly res: ServerResponse,
	) {
		res.once('close', () => {
			if (!res.writableFinished) {
				this.#gone = true;
				this.#sending?.cancel();
			}
		});
	}

	async run(): Promise<void> {
		const arrivedAt = this.means.clock.now();
		const id = this.#field(requestFields.requestId) ?? '';
		const end = await this.#route(id, arrivedAt);
		if (!this.req.complete) {
			RequestBody.drop(this.req);
		}

		const {log, clock} = this.means;
		const tookMs = Math.round(clock.now() - arrivedAt);
		const {service, key, version} = this.#asked ?? {};
		const fields = {id, service: service?.service, key, version, tookMs};
		if (!end) {
			log.routing('request-ended', {...fields, gone: this.#gone});
			return;
		}

		log.routing('request-refused', {...fields, ...end});
		sendEnd(this.res, end);
	}

	async #route(id: string, arrivedAt: Millis): Promise<RequestEnd | undefined> {
		const {view, random} = this.means;
		const {routes, servers} = view.view.value;
		if (!routes || !servers) {
			return {
				reason: 'no-config',
				notRun: true,
				retryAfterMs: configRetryMs,
			};
		}

		const {rawHeaders, httpVersion, headers, url = '/'} = this.req;
		if (headerFault(rawHeaders, httpVersion) !== undefined || id === '') {
			return {reason: 'bad-request', notRun: true};
		}

		const rule = routes.rule(headers.host ?? '', url);
		const service = rule && routes.service(drawService(rule, random));
		if (!rule || !service) {
			return {reason: 'no-route', notRun: true};
		}

		const {bodyLen} = routes.config.limits;
		if (Number(headers['content-length'] ?? 0) > bodyLen) {
			return {reason: 'too-large', notRun: true};
		}

		const allowedMs = Number(
			this.#field(requestFields.allowedMs) ?? usualAllowedMs,
		);
		if (!(allowedMs > 0)) {
			return {reason: 'bad-request', notRun: true};
		}

		const until = arrivedAt + Math.min(allowedMs, rule.timeoutMs) - returnMs;
		const body = await this.#body(bodyLen);
		if (!body) {
			return undefined;
		}

		await untilEndIsRead();
		const key = service.keyed ? this.#key() : undefined;
		const {version} = routes.config;
		this.#asked = {id, rule, service, key, body, arrivedAt, until, version};
		return this.#send(this.#asked);
	}

	/** The body, whole where it is not too long; undefined once the caller is gone. */
	async #body(maxLen: number): Promise<RequestBody | undefined> {
		try {
			return await RequestBody.read(this.req, holdLen, maxLen);
		} catch (error) {
			// The caller broke its request off: there is nobody to answer.
			this.means.log.info('body-cut', {error: String(error)});
			this.#gone = true;
			return undefined;
		}
	}

	async #send(asked: Asked): Promise<RequestEnd | undefined> {
		const {picks, clock, budgets, traffic} = this.means;
		const {service, key} = asked;
		const budget = budgets.of(service.service);
		if (service.keyed && key !== undefined) {
			traffic.of(service.service).asked(key, clock.now());
		}

		const tried: string[] = [];
		let before: AttemptEnd | undefined;
		let failed: Wanted['failed'];
		while (!this.#gone) {
			const picked = picks.pick({service, key, tried, failed});
			if (picked.isLeft()) {
				const refusal = picked.extract();
				if (refusal.reason === 'no-owner' && this.#mayWait(asked)) {
					await clock.sleep(ownerPollMs);
					continue;
				}

				return before ? endAfter(before, refusal) : refusal;
			}

			const server = picked.unsafeCoerce();
			if (before) {
				if (!this.#mayGoOn(asked, server.backendServer, tried)) {
					return endAfter(before, undefined);
				}

				budget.spend();
			}

			tried.push(server.backendServer);
			const end = await this.#sendTo(server, asked, tried.length);
			if (end.kind === 'answered') {
				budget.earn();
				return undefined;
			}

			if (end.kind === 'cut' || end.kind === 'cancelled') {
				this.res.destroy();
				return undefined;
			}

			// Once it may have run, a later sending that did not says nothing of that.
			before = before && ranAfter(before) !== 'not-run' ? before : end;
			const mayRepeat =
				asked.rule.repeatability === 'safe' || ranAfter(end) === 'not-run';
			if (!mayRepeat || !this.#mayGoOn(asked, server.backendServer, tried)) {
				return endAfter(before, undefined);
			}

			failed = {by: server.backendServer, at: clock.now()};
		}

		return undefined;
	}

	async #sendTo(
		server: ListedServer,
		asked: Asked,
		number: number,
	): Promise<AttemptEnd> {
		const plan = {...asked, server, number};
		this.#sending = new Sending(this.means, this.req, this.res, plan);
		return this.#sending.run();
	}

	/** Whether the request is sent once more, to `next`; the holder of its key may have it again. */
	#mayGoOn(
		{rule, service, until, body}: Asked,
		next: string,
		tried: readonly string[],
	): boolean {
		const {budgets, clock} = this.means;
		const servers = new Set([...tried, next]).size;
		return (
			servers <= rule.maxAttempts &&
			budgets.of(service.service).hasOne &&
			until - clock.now() > minSendMs &&
			body.replayable
		);
	}

	#mayWait({arrivedAt, until}: Asked): boolean {
		const {clock} = this.means;
		return clock.now() - arrivedAt < (until - arrivedAt) * ownerWaitShare;
	}

	#key(): number | undefined {
		const text = this.#field(requestFields.key);
		return text !== undefined && /^\d+$/.test(text) ? Number(text) : undefined;
	}

	#field(name: string): string | undefined {
		const value = this.req.headers[name];
		return typeof value === 'string' ? value : undefined;
	}
}

/**
 * Lets the event loop read on: where a daemon has fallen behind, the end of a caller's
 * connection waits just behind its request.
 */
async function untilEndIsRead(): Promise<void> {
	for (let turn = 0; turn < turnsToEnd; turn++) {
		await new Promise(setImmediate);
	}
}

/** What the caller hears after a failed sending, `refusal` being why there is no further one. */
function endAfter(
	end: AttemptEnd,
	refusal: RequestEnd | undefined,
): RequestEnd {
	if (ranAfter(end) === 'not-run') {
		return (
			refusal ?? {
				reason: 'declined',
				notRun: true,
				retryAfterMs: declinedRetryMs,
			}
		);
	}

	const isSilent = end.kind === 'lost' && end.silent;
	return {reason: isSilent ? 'timeout' : 'lost', notRun: false};
}
