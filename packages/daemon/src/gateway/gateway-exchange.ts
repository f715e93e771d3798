/**
 * One caller's request from its header to its end: finds its route, sends it to a
 * backend server, and to another one where that is allowed and repeats nothing that
 * must not repeat.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	drawService,
	forwardedHeaders,
	headerFault,
	type AnswerHead,
	type AttemptEnd,
	type Clock,
	type Judgement,
	type ListedServer,
	type Millis,
	type Random,
	type RoutedService,
	type RouteRule,
	type SendingEnd,
} from '@kingcuproute/core';
import {readMarks, requestFields} from '@kingcuproute/platform';
import {type Log} from '../log/log.js';
import {Attempt} from '../requests/attempt.js';
import {type Budget} from '../requests/budget.js';
import {RequestBody} from '../requests/request-body.js';
import {type ServerConnections} from '../requests/server-connections.js';
import {sendEnd, type RequestEnd} from './request-end.js';
import {type ServerPicks} from './server-picks.js';
import {type ViewTask} from './view-task.js';

export type ExchangeMeans = {
	readonly view: ViewTask;
	readonly picks: ServerPicks;
	readonly connections: ServerConnections;
	readonly budget: Budget;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
};

/** Bodies and answers up to this length are held whole: several times the longest uploads of today's sites. */
const holdLen = 1_048_576;
const answerIdleMs: Millis = 10_000;
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

type Asked = {
	readonly id: string;
	readonly rule: RouteRule;
	readonly service: RoutedService;
	readonly body: RequestBody;
	readonly arrivedAt: Millis;
	/** When the caller has to have its answer. */
	readonly until: Millis;
};

export class GatewayExchange {
	#attempt: Attempt | undefined;
	#gone = false;

	constructor(
		private readonly means: ExchangeMeans,
		private readonly req: IncomingMessage,
		private readonly res: ServerResponse,
	) {
		res.once('close', () => {
			if (!res.writableFinished) {
				this.#gone = true;
				this.#attempt?.cancel();
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
		if (!end) {
			log.routing('request-ended', {id, tookMs, gone: this.#gone});
			return;
		}

		log.routing('request-refused', {id, tookMs, ...end});
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
		return body
			? this.#send({id, rule, service, body, arrivedAt, until})
			: undefined;
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
		const {picks, clock, budget} = this.means;
		const {rule, service, until} = asked;
		const key = this.#key();
		const tried: string[] = [];
		let before: AttemptEnd | undefined;
		let sends = 0;
		while (!this.#gone) {
			const picked = picks.pick({service, key, tried});
			if (picked.isLeft()) {
				const refusal = picked.extract();
				if (refusal.reason === 'no-owner' && this.#mayWait(asked)) {
					await clock.sleep(ownerPollMs);
					continue;
				}

				return before ? endAfter(before, refusal) : refusal;
			}

			const server = picked.unsafeCoerce();
			if (sends > 0) {
				budget.spend();
			}

			sends++;
			tried.push(server.backendServer);
			const end = await this.#attemptAt(asked, server, sends);
			before = end;
			if (end.kind === 'answered') {
				budget.earn();
				return undefined;
			}

			if (end.kind === 'cut' || end.kind === 'cancelled') {
				this.res.destroy();
				return undefined;
			}

			const mayRepeat =
				rule.repeatability === 'safe' ||
				end.kind === 'declined' ||
				end.kind === 'unsent';
			const isWorth =
				sends < rule.maxAttempts &&
				budget.hasOne &&
				until - clock.now() > minSendMs &&
				asked.body.replayable;
			if (!mayRepeat || !isWorth) {
				return endAfter(end, undefined);
			}

			if (service.keyed && end.kind === 'declined') {
				await clock.sleep(ownerPollMs);
			}
		}

		return undefined;
	}

	async #attemptAt(
		{id, service, body, until}: Asked,
		server: ListedServer,
		number: number,
	): Promise<AttemptEnd> {
		const {picks, connections, clock, log, view} = this.means;
		const {backendServer, address} = server;
		const leftMs = Math.max(1, until - clock.now());
		const each = Math.floor(service.connections / view.view.value.daemons);
		const dispatcher = connections.to(address, Math.max(1, each));
		const attempt = new Attempt(
			{
				method: this.req.method ?? 'GET',
				path: this.req.url ?? '/',
				headers: [
					...this.#forwarded(),
					requestFields.allowedMs,
					String(Math.floor(leftMs)),
					requestFields.expectedServer,
					backendServer,
				],
				body: body.source(),
				timeoutMs: leftMs,
				idleMs: answerIdleMs,
				holdLen,
				claim: () => true,
				judge: (head) => this.#judge(id, server, head),
				added: [],
			},
			this.res,
			clock,
		);
		this.#attempt = attempt;
		log.routing('request-sent', {
			id,
			service: service.service,
			backendServer,
			number,
			load: Number(picks.loads.load(server, clock.now()).toFixed(2)),
			leftMs: Math.round(leftMs),
		});
		picks.loads.sent(backendServer);
		attempt.send(dispatcher);
		const end = await attempt.ended;
		picks.loads.ended(backendServer, sendingEnd(end), clock.now());
		if (end.kind !== 'answered') {
			const message = 'message' in end ? end.message : undefined;
			log.info('attempt-failed', {id, backendServer, end: end.kind, message});
		}

		if (end.kind === 'lost' && end.silent) {
			connections.retire(address, dispatcher);
		}

		return end;
	}

	#judge(
		id: string,
		{backendServer}: ListedServer,
		{status, headers}: AnswerHead,
	): Judgement {
		const {picks, clock} = this.means;
		const {requestId, notRun, encoded, load} = readMarks(status, headers);
		if (requestId !== id) {
			const message = `answer to request ${requestId ?? 'without an id'}`;
			return {kind: 'unusable', message};
		}

		if (load) {
			picks.loads.reported(backendServer, load, clock.now());
		}

		if (notRun) {
			return {kind: 'declined', retryAfterMs: undefined};
		}

		if (encoded) {
			return {kind: 'unusable', message: 'encoded body'};
		}

		const len = Number(headers['content-length'] ?? Number.NaN);
		return {kind: 'pass', bodyLen: Number.isFinite(len) ? len : 0};
	}

	#forwarded(): readonly string[] {
		const own = new Set<string>([
			requestFields.allowedMs,
			requestFields.expectedServer,
		]);
		const all = forwardedHeaders(this.req.rawHeaders);
		return all.flatMap((text, index) =>
			index % 2 === 0 && !own.has(text.toLowerCase())
				? [text, all[index + 1]]
				: [],
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

/** What the caller hears after a failed sending, `refusal` being why there is no further one. */
function endAfter(
	end: AttemptEnd,
	refusal: RequestEnd | undefined,
): RequestEnd {
	if (end.kind === 'declined' || end.kind === 'unsent') {
		return refusal ?? {reason: 'declined', notRun: true, retryAfterMs: 300};
	}

	const isSilent = end.kind === 'lost' && end.silent;
	return {reason: isSilent ? 'timeout' : 'lost', notRun: false};
}

function sendingEnd({kind}: AttemptEnd): SendingEnd {
	switch (kind) {
		case 'answered':
		case 'declined':
		case 'cancelled': {
			return kind;
		}

		case 'lost':
		case 'cut':
		case 'unsent': {
			return 'lost';
		}
	}
}
