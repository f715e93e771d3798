/** One attempt to have a request answered by a backend server, and what it shows about the server's load. */
import {
	BufferLease,
	connectionShare,
	forwardedHeaders,
	type AnswerHead,
	type AttemptEnd,
	type AnswerVerdict,
	type ListedServer,
	type Millis,
	type RoutedService,
	type RouteRule,
	type SendOutcome,
} from '@kingcuproute/core';
import {
	readAnswerMetadata,
	requestFields,
	type ServerLoad,
} from '@kingcuproute/platform';
import {Attempt} from '../requests/attempt.js';
import {type RequestBody} from '../requests/request-body.js';
import {closeIfStopping, type CallerExchange} from './caller-exchange.js';
import {forwardedFields, type CallerAccess} from './caller-access.js';
import {type ExchangeContext} from './exchange-context.js';

/** Bodies and answers up to this many bytes are held whole: several times the longest uploads of today's sites. */
export const holdLen = 1_048_576;
const answerIdleMs: Millis = 10_000;
/** The lowest HTTP status of a server's own failure. */
const firstServerError = 500;
/** Opening a connection takes far less. */
const lateStartMs: Millis = 250;

/** Headers that each attempt sets itself. */
const ownHeaders: ReadonlySet<string> = new Set([
	requestFields.allowedMs,
	requestFields.expectedServer,
]);

/** What is sent, where to, and by when the caller needs its answer. */
export type GatewayAttemptPlan = {
	readonly id: string;
	readonly rule: RouteRule;
	readonly service: RoutedService;
	/** Set for services divided by key. */
	readonly key: number | undefined;
	/** Version of the configuration that routed the request. */
	readonly version: number;
	readonly access: CallerAccess;
	readonly body: RequestBody;
	readonly bodyLen: number;
	readonly arrivedAt: Millis;
	readonly until: Millis;
	readonly server: ListedServer;
	/** 1 for the request's first attempt. */
	readonly number: number;
};

export class GatewayAttempt {
	#attempt: Attempt | undefined;
	/** The load that the server reported with its answer. */
	#load: ServerLoad | undefined;
	#isMisdirected = false;
	/** Whether the server answers that it failed. */
	#hasFailed = false;
	readonly #lease: BufferLease;

	constructor(
		private readonly context: ExchangeContext,
		private readonly caller: CallerExchange,
		private readonly plan: GatewayAttemptPlan,
	) {
		this.#lease = new BufferLease(context.buffers);
		caller.turn.onceEnded(() => {
			this.#lease.close();
		});
	}

	/** Whether the server has the request, or is about to get it. */
	get isAtServer(): boolean {
		return this.#attempt?.isAtServer ?? false;
	}

	/** Cancels the attempt; the server sees its connection close. */
	cancel(): void {
		this.#attempt?.cancel();
	}

	/** Takes the request back if it waits for a connection to a server that may not get it any more. */
	reconsider(): void {
		if (!this.#mayStart()) {
			this.#attempt?.withdraw();
		}
	}

	async run(): Promise<AttemptEnd> {
		const {picks, connections, clock, log, view, warmth, waiting} =
			this.context;
		const {id, rule, service, key, version, until, server, number} = this.plan;
		const now = clock.now();
		const {backendServer, address} = server;
		const leftMs = Math.max(1, until - now);
		const dispatcher = connections.to(
			address,
			connectionShare(service.connections, view.view.value.daemons),
		);
		this.#attempt = this.#createAttempt(leftMs);
		log.routing('request-sent', {
			id,
			service: service.service,
			backendServer,
			number,
			version,
			key,
			fence: picks.fence(service.service, key),
			warmth: warmth.of(service, server),
			load: Number(picks.loads.load(server, now).toFixed(2)),
			domain: server.failureDomain,
			crossMs: Math.round(picks.crossing(this.plan, now).chargeMs),
			leftMs: Math.round(leftMs),
		});
		picks.loads.sent(backendServer);
		this.#attempt.send(dispatcher);
		this.#countMoved(this.plan.bodyLen);
		const end = await this.#attempt.ended;
		this.#logLateStart(this.#attempt);
		const outcome = sendOutcome(end, this.#hasFailed);
		picks.loads.ended(backendServer, outcome, clock.now());
		// A failure may come long before the work is done, and would make the server pass for a fast one.
		if (outcome === 'answered' && this.#load) {
			const {latencyMs} = this.#attempt;
			picks.loads.ran(backendServer, latencyMs, this.#load, clock.now());
			picks.admission.ran(service.service, rule, latencyMs, this.#load);
		}

		if (end.kind === 'declined' && !this.#isMisdirected) {
			picks.admission.declined(server, this.#load);
		}

		waiting.wake(service.service, backendServer);

		if (end.kind !== 'answered') {
			this.#lease.close();
			const message = 'message' in end ? end.message : undefined;
			log.info('attempt-failed', {id, backendServer, end: end.kind, message});
		}

		const mayBeOutdated =
			this.#isMisdirected || end.kind === 'lost' || end.kind === 'unsent';
		if (key !== undefined && mayBeOutdated) {
			view.suspectRangeTables();
		}

		const isUnreached = end.kind === 'unsent' && !end.withdrawn;
		if (isUnreached || (end.kind === 'lost' && end.reset)) {
			warmth.recordReset(server);
		}

		if (end.kind === 'lost' && end.silent) {
			connections.retire(address, dispatcher);
		}

		return end;
	}

	#mayStart(): boolean {
		return this.context.picks.mayStart(this.plan.server);
	}

	/** Requests that waited long for a connection went by a choice of that age. */
	#logLateStart({startMs}: Attempt): void {
		if (startMs >= lateStartMs) {
			const {id, server, number} = this.plan;
			const {backendServer} = server;
			const waitedMs = Math.round(startMs);
			this.context.log.routing('request-started-late', {
				id,
				backendServer,
				number,
				waitedMs,
			});
		}
	}

	#createAttempt(leftMs: Millis): Attempt {
		const {connections, clock} = this.context;
		const {req, res} = this.caller;
		return new Attempt(
			{
				id: this.plan.id,
				method: req.method ?? 'GET',
				path: req.url ?? '/',
				headers: [
					...this.#headersToForward(),
					requestFields.allowedMs,
					String(Math.floor(leftMs)),
					requestFields.expectedServer,
					this.plan.server.backendServer,
				],
				body: this.plan.body.source(),
				timeoutMs: leftMs,
				answerTimeoutMs: leftMs,
				idleMs: answerIdleMs,
				holdLen,
				lease: this.#lease,
				mayStart: () => this.#mayStart(),
				claim: () => {
					closeIfStopping(this.context, this.caller);
					return true;
				},
				checkAnswer: (head) => this.#checkHead(head),
				endIsReset: () => connections.endIsReset,
				addedHeaders: [],
			},
			res,
			clock,
		);
	}

	#checkHead({status, headers}: AnswerHead): AnswerVerdict {
		const {picks, clock, notices} = this.context;
		const {id, server} = this.plan;
		const metadata = readAnswerMetadata(status, headers);
		const {requestId, notRun, misdirected, encoded, load} = metadata;
		this.#isMisdirected = misdirected;
		if (requestId !== id) {
			const message = `answer to request ${requestId ?? 'without an id'}`;
			return {kind: 'unusable', message};
		}

		notices.record(server, metadata);
		if (load) {
			this.#load = load;
			picks.loads.reported(server.backendServer, load, clock.now());
		}

		if (notRun) {
			return {kind: 'declined', retryAfterMs: undefined};
		}

		this.#hasFailed = status >= firstServerError;

		if (encoded) {
			return {kind: 'unusable', message: 'encoded body'};
		}

		const len = Number(headers['content-length'] ?? Number.NaN);
		if (!Number.isFinite(len)) {
			return {kind: 'pass', bodyLen: 0};
		}

		picks.answerLengths.record(this.plan.rule, len);
		this.#countMoved(len);
		return {kind: 'pass', bodyLen: len};
	}

	#countMoved(len: number): void {
		const {metrics, picks} = this.context;
		const {server} = this.plan;
		metrics.bytesMoved(picks.isOwnDomain(server) ? 'own' : 'other', len);
	}

	#headersToForward(): readonly string[] {
		const all = forwardedHeaders(this.caller.req.rawHeaders);
		const kept = all.flatMap((text, index) =>
			index % 2 === 0 && !ownHeaders.has(text.toLowerCase())
				? [text, all[index + 1]]
				: [],
		);
		return forwardedFields(this.plan.access, kept);
	}
}

function sendOutcome(end: AttemptEnd, hasFailed: boolean): SendOutcome {
	if (end.kind === 'unsent' && end.withdrawn) {
		return 'cancelled';
	}

	const {kind} = end;
	switch (kind) {
		case 'answered': {
			return hasFailed ? 'failed' : kind;
		}

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
