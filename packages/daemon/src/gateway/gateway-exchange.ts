/**
 * Handles one caller's request: finds its route and sends it to a backend server.
 * Retries it at another server only where the route allows that and the request
 * either did not run or may safely run again.
 */
import {
	BufferLease,
	takesRequest,
	type AttemptEnd,
	type ListedServer,
	type Millis,
} from '@kingcuproute/core';
import {requestFields} from '@kingcuproute/platform';
import {RequestBody} from '../requests/request-body.js';
import {
	closeIfStopping,
	untilCloseIsRead,
	type CallerExchange,
} from './caller-exchange.js';
import {type ExchangeContext} from './exchange-context.js';
import {findRoute} from './found-route.js';
import {
	endAfterFailure,
	endToReport,
	sendEnd,
	type RequestEnd,
} from './request-end.js';
import {
	mayRepeat,
	mayRetry,
	minAttemptMs,
	type RoutedRequest,
} from './routed-request.js';
import {RequestAdmission} from './request-admission.js';
import {type PickCriteria} from './server-picks.js';
import {holdLen, GatewayAttempt} from './gateway-attempt.js';
import {SuspectRequest} from './suspect-request.js';

/** Reserved for returning the answer to the caller before its time is over. */
const replyMarginMs: Millis = 10;
/** Share of the allowed time that a request may wait while its key moves to another server. */
const ownerWaitShare = 0.3;
const ownerPollMs: Millis = 25;

const tooLate: RequestEnd = {
	reason: 'too-late',
	notRun: true,
	retryAfterMs: 0,
};

export class GatewayExchange {
	#request: RoutedRequest | undefined;
	#attempt: GatewayAttempt | undefined;
	#admission: RequestAdmission | undefined;
	/** By when the caller needs its answer; known once the route is. */
	#until: Millis = Infinity;
	/** The failed attempt that the caller is told of if no other one answers. */
	#reportedEnd: AttemptEnd | undefined;
	#callerGone = false;
	#isRefused = false;
	/** Resolves if the request is refused while it waits. */
	readonly #refused: Promise<RequestEnd>;
	#refuse!: (end: RequestEnd) => void;

	constructor(
		private readonly context: ExchangeContext,
		private readonly caller: CallerExchange,
	) {
		this.#refused = new Promise((resolve) => {
			this.#refuse = resolve;
		});
		const {res, turn} = caller;
		turn.onceEnded(() => {
			if (!res.writableFinished) {
				this.#callerGone = true;
				this.#attempt?.cancel();
				this.#admission?.withdraw();
			}
		});
	}

	async run(): Promise<void> {
		const arrivedAt = this.context.clock.now();
		const id = this.#header(requestFields.requestId) ?? '';
		const end = await Promise.race([this.#route(id, arrivedAt), this.#refused]);
		const {req, res} = this.caller;
		if (!req.complete) {
			RequestBody.drop(req);
		}

		const {log, clock, metrics} = this.context;
		const tookMs = Math.round(clock.now() - arrivedAt);
		const {service, access, key, version} = this.#request ?? {};
		const fields = {
			id,
			service: service?.service,
			customer: access?.customer?.name,
			key,
			version,
			tookMs,
		};
		if (!end) {
			const outcome = this.#callerGone ? 'gone' : 'answered';
			metrics.requestEnded(service?.service, outcome, tookMs);
			log.routing('request-ended', {...fields, gone: this.#callerGone});
			return;
		}

		metrics.requestEnded(service?.service, end.reason, tookMs);
		const {full, ...refusal} = end;
		log.routing('request-refused', {...fields, ...refusal, ...full});
		closeIfStopping(this.context, this.caller);
		sendEnd(res, end);
	}

	/**
	 * Refuses the request if it waits in this daemon, for whatever, and could be cut by the
	 * end of the process. A request that a server has goes on.
	 */
	refuseIfWaiting(): void {
		const refusal = this.#refusalBeforeSending();
		if (refusal && !this.#attempt?.isAtServer) {
			this.#endNow(refusal);
		}
	}

	/** To be called when the view changes: a server that was chosen may no longer be in service. */
	reconsider(): void {
		this.#attempt?.reconsider();
	}

	/**
	 * Ends the request because the process does. What a server has may have run; an answer
	 * that has begun is cut off.
	 */
	endWithProcess(): void {
		this.#endNow({
			reason: 'stopping',
			notRun: !this.#attempt?.isAtServer,
			retryAfterMs: 0,
		});
	}

	#endNow(end: RequestEnd): void {
		this.#isRefused = true;
		this.#attempt?.cancel();
		this.#admission?.withdraw();
		this.#refuse(this.#endWith(end));
	}

	async #route(id: string, arrivedAt: Millis): Promise<RequestEnd | undefined> {
		const {req, turn} = this.caller;
		const found = findRoute(this.context, req, id);
		if (found.isLeft()) {
			return found.extract();
		}

		const {rule, service, access, allowedMs, maxBodyLen, version} =
			found.unsafeCoerce();
		const until =
			arrivedAt + Math.min(allowedMs, rule.timeoutMs) - replyMarginMs;
		this.#until = until;
		this.#refuseWhenLate();
		const body = await this.#readBody(maxBodyLen);
		if (!body) {
			return undefined;
		}

		await untilCloseIsRead();
		if (!(await turn.whenMayStart(rule.repeatability))) {
			return undefined;
		}

		const key = service.keyed ? this.#readKey() : undefined;
		this.#request = {
			id,
			rule,
			service,
			access,
			priority: access.priority,
			key,
			body,
			bodyLen: Number(req.headers['content-length'] ?? body.first.length),
			arrivedAt,
			allowedMs,
			until,
			version,
		};
		return this.#sendWithinQuota(this.#request);
	}

	/** Ends the wait for the body, or for the requests before this one, when no time is left for an attempt. */
	#refuseWhenLate(): void {
		const {clock} = this.context;
		const leftMs = this.#until - clock.now();
		const cancel = clock.after(leftMs - minAttemptMs, () => {
			if (!this.#attempt) {
				this.#endNow(tooLate);
			}
		});
		this.caller.turn.onceEnded(cancel);
	}

	/** Reads the body, or its first part if it is long; undefined if the caller has left. */
	async #readBody(maxLen: number): Promise<RequestBody | undefined> {
		try {
			const lease = new BufferLease(this.context.buffers);
			this.caller.turn.onceEnded(() => {
				lease.close();
			});
			return await RequestBody.read(this.caller.req, {
				replayLen: holdLen,
				maxLen,
				lease,
			});
		} catch (error) {
			// The caller aborted its request: there is nobody to answer.
			this.context.log.info('body-cut', {error: String(error)});
			this.#callerGone = true;
			return undefined;
		}
	}

	async #sendWithinQuota(
		request: RoutedRequest,
	): Promise<RequestEnd | undefined> {
		const admitted = this.context.quotas.admit(request.access.customer);
		if (admitted.isLeft()) {
			return admitted.extract();
		}

		const end = await this.#sendUntilAnswered(request);
		const hasNotRun = end?.notRun ?? this.#attempt === undefined;
		if (hasNotRun) {
			admitted.unsafeCoerce().refund();
		}

		return end;
	}

	async #sendUntilAnswered(
		request: RoutedRequest,
	): Promise<RequestEnd | undefined> {
		const {clock, budgets, traffic, warmth, quarantine} = this.context;
		const {rule, service, key, body, bodyLen, arrivedAt} = request;
		const suspect = new SuspectRequest(quarantine, this.caller.req, {
			key,
			body,
		});
		const budget = budgets.of(service.service);
		if (service.keyed && key !== undefined) {
			traffic.of(service.service).record(key, clock.now());
		}

		const caller = this.caller.req.socket.remoteAddress ?? '';
		const admission = new RequestAdmission(this.context, {...request, caller});
		this.#admission = admission;
		const tried: string[] = [];
		let lastFailure: PickCriteria['lastFailure'];
		while (!this.#callerGone && !this.#isRefused) {
			const early = this.#refusalBeforeSending() ?? suspect.refusal;
			if (early) {
				return this.#endWith(early);
			}

			const criteria = {
				rule,
				service,
				bodyLen,
				arrivedAt,
				key,
				tried,
				lastFailure,
			};
			const placed = admission.place(criteria);
			// Without a wait the request is sent before another one can choose by the same loads.
			const picked = placed instanceof Promise ? await placed : placed;
			if (picked.isLeft()) {
				const refusal = picked.extract();
				if (await this.#waitForOwner(request, refusal)) {
					continue;
				}

				return this.#endWith(refusal);
			}

			const choice = picked.unsafeCoerce();
			if (choice === 'again') {
				continue;
			}

			const {server} = choice;
			if (choice.warmth === 'unknown') {
				await warmth.check(service, server);
				continue;
			}

			const {backendServer} = server;
			const failure = this.#failureIfLast(request, backendServer, tried);
			if (failure) {
				return failure;
			}

			tried.push(backendServer);
			const end = await this.#attemptAt(server, request, tried.length);
			if (this.#isRefused) {
				return undefined;
			}

			if (end.kind === 'unsent' && end.withdrawn) {
				tried.pop();
				continue;
			}

			suspect.recordEnd(server, end);
			if (end.kind === 'answered') {
				budget.recordSuccess();
				return undefined;
			}

			if (end.kind === 'cut' || end.kind === 'cancelled') {
				this.caller.res.destroy();
				return undefined;
			}

			this.#reportedEnd = endToReport(this.#reportedEnd, end);
			if (!mayRepeat(this.context, request, end, tried)) {
				return endAfterFailure(this.#reportedEnd, undefined);
			}

			lastFailure = {by: backendServer, at: clock.now()};
		}

		return undefined;
	}

	/** What the caller is told if a retry at `next` is not allowed; counts the retry otherwise. */
	#failureIfLast(
		request: RoutedRequest,
		next: string,
		tried: readonly string[],
	): RequestEnd | undefined {
		if (!this.#reportedEnd) {
			return undefined;
		}

		if (!mayRetry(this.context, request, next, tried)) {
			return endAfterFailure(this.#reportedEnd, undefined);
		}

		this.context.budgets.of(request.service.service).recordRetry();
		return undefined;
	}

	/** What the caller is told if `refusal` keeps the request from being sent, or sent again. */
	#endWith(refusal: RequestEnd): RequestEnd {
		return this.#reportedEnd
			? endAfterFailure(this.#reportedEnd, refusal)
			: refusal;
	}

	/** Why the request can't be answered in the time that it or this daemon has left. */
	#refusalBeforeSending(): RequestEnd | undefined {
		const {clock, stopPlan} = this.context;
		const until = this.#until;
		const now = clock.now();
		const plan = stopPlan();
		if (plan && !takesRequest(plan, until, now)) {
			return {reason: 'stopping', notRun: true, retryAfterMs: 0};
		}

		return until - now < minAttemptMs ? tooLate : undefined;
	}

	async #attemptAt(
		server: ListedServer,
		request: RoutedRequest,
		number: number,
	): Promise<AttemptEnd> {
		const plan = {...request, server, number};
		this.#attempt = new GatewayAttempt(this.context, this.caller, plan);
		return this.#attempt.run();
	}

	/** Waits a little for the key of a refused request to find an owner; false if it can't wait, or was refused for another reason. */
	async #waitForOwner(
		{arrivedAt, until}: RoutedRequest,
		{reason}: RequestEnd,
	): Promise<boolean> {
		if (reason !== 'no-owner') {
			return false;
		}

		const {clock, view} = this.context;
		view.suspectRangeTables();
		if (clock.now() - arrivedAt >= (until - arrivedAt) * ownerWaitShare) {
			return false;
		}

		await clock.sleep(ownerPollMs);
		return true;
	}

	#readKey(): number | undefined {
		const text = this.#header(requestFields.key);
		return text !== undefined && /^\d+$/.test(text) ? Number(text) : undefined;
	}

	#header(name: string): string | undefined {
		const value = this.caller.req.headers[name];
		return typeof value === 'string' ? value : undefined;
	}
}
