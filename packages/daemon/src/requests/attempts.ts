/**
 * The attempts of one admitted request. Each attempt looks up the route and chooses a
 * server anew; the request's retry state decides what follows its end.
 */
import {
	RetryState,
	decisiveAttempt,
	fold,
	hedgeDelayMs,
	isIdempotent,
	type AttemptEnd,
	type BackendServer,
	type Millis,
	type Refusal,
} from '@kingcuproute/core';
import {outcomeOf} from '../balance/outcome-of.js';
import {type PickedServer} from '../balance/pick.js';
import {type Admitted} from './admission.js';
import {type CallerRequest, type Dependencies} from './caller-request.js';
import {type NoChoice} from './choice.js';
import {Race, type RaceResult} from './race.js';
import {type Reply} from './reply.js';
import {type RequestOutcome} from './request-metrics.js';
import {RequestLines} from './request-lines.js';
import {type Route} from './route.js';

const minOwnerWaitMs: Millis = 100;
/** How often a suspect of a crash looks for a server without another suspect. */
const isolationPollMs: Millis = 20;

export class Attempts {
	#retryState: RetryState;
	#tried: readonly BackendServer[] = [];
	#race: Race | undefined;
	#cancelled = false;
	#outcome: RequestOutcome = 'cancelled';
	readonly #lines: RequestLines;

	constructor(
		private readonly deps: Dependencies,
		private readonly request: CallerRequest,
		private readonly admitted: Admitted,
		private readonly reply: Reply,
	) {
		const {req, head, deadline} = request;
		this.#lines = new RequestLines(deps.log, request);
		this.#retryState = RetryState.begin({
			idempotent: isIdempotent(req.method ?? ''),
			deadline,
			keyed: deps.routing.routing.value.isKeyed(head.service),
		});
	}

	/** Cancels the attempts in flight and starts no more: nobody waits for an answer. */
	cancel(): void {
		this.#cancelled = true;
		this.#race?.cancel();
	}

	/** Resolves once the request is answered, refused, cut or cancelled. */
	async run(): Promise<RequestOutcome> {
		let continues = true;
		while (continues) {
			const routeOrRefusal = this.deps.routing.routing.value.route(
				this.request.head,
			);
			continues = await fold(
				routeOrRefusal,
				async (refusal) => this.#handleNoRoute(refusal),
				async (route) => this.#attempt(route),
			);
			continues &&= !this.#cancelled;
		}

		return this.#outcome;
	}

	/**
	 * Waits for a new route if only the owner is missing, otherwise refuses; true if the
	 * route is to be looked up again.
	 */
	async #handleNoRoute(refusal: Refusal): Promise<boolean> {
		const {clock, settings, routing} = this.deps;
		const {arrivedAt, deadline} = this.request;
		const until = Math.min(deadline, arrivedAt + settings.requests.ownerWaitMs);
		const waitMs = until - clock.now() - minOwnerWaitMs;
		if (refusal.reason === 'no-owner' && waitMs > 0) {
			await routing.changed(waitMs);
			return true;
		}

		await this.#refuse({...refusal, ran: this.#retryState.ran});
		return false;
	}

	async #attempt(route: Route): Promise<boolean> {
		const {head, deadline} = this.request;
		const {choice, routing} = this.deps;
		const picked = await choice.pick({
			route,
			fingerprint: this.admitted.fingerprint,
			customer: head.customer,
			weight: routing.routing.value.contract(head.customer)!.weight,
			deadline,
			tried: this.#tried,
		});
		return fold(
			picked,
			async (refusal) => this.#handleNoServer(refusal),
			async (pick) => this.#runRace(pick, route),
		);
	}

	/**
	 * Waits a moment if every server has another suspect of a crash in flight, otherwise
	 * refuses; true if a server is to be chosen again.
	 */
	async #handleNoServer(refusal: NoChoice): Promise<boolean> {
		const {clock} = this.deps;
		if (
			refusal.isolated &&
			clock.now() + 2 * isolationPollMs < this.request.deadline
		) {
			await clock.sleep(isolationPollMs);
			return true;
		}

		await this.#refuse({...refusal, ran: this.#retryState.ran});
		return false;
	}

	async #runRace(pick: PickedServer, route: Route): Promise<boolean> {
		const {deps, request, admitted} = this;
		if (this.#cancelled) {
			pick.done(outcomeOf({kind: 'cancelled'}, 0));
			return false;
		}

		const number = this.#retryState.attempts + 1;
		const timeoutMs = this.#retryState.attemptMs(deps.clock.now());
		this.#lines.routed(route, pick, number);
		this.#race = new Race(deps, request, admitted, {
			route,
			pick,
			timeoutMs,
			hedgeDelayMs: this.#hedgeDelayMs(route, pick.server, timeoutMs),
			tried: this.#tried,
			number,
		});
		return this.#handleEnd(await this.#race.run());
	}

	#hedgeDelayMs(
		{candidates}: Route,
		server: BackendServer,
		timeoutMs: Millis,
	): Millis | undefined {
		const {balance, quarantine} = this.deps;
		const {body, fingerprint} = this.admitted;
		const tried = new Set(
			[...this.#tried, server].map(({backendServer}) => backendServer),
		);
		return hedgeDelayMs(this.#retryState, {
			delayMs: balance.hedgeDelayMs(this.request.head.service),
			timeoutMs,
			holdsBody: body.isBuffered,
			others: candidates.filter(({backendServer}) => !tried.has(backendServer))
				.length,
			suspect: quarantine.isSuspected(fingerprint),
		});
	}

	/** Retries, refuses or ends the request after a race; true if another attempt follows. */
	async #handleEnd(
		results: readonly [RaceResult, ...RaceResult[]],
	): Promise<boolean> {
		const {budget, clock, routing} = this.deps;
		const {end, server} = decisiveAttempt(results);
		this.#record(results);
		const step = this.#retryState.next(end, {
			now: clock.now(),
			hasBudget: budget.hasRetry,
			replayable: this.admitted.body.replayable,
		});
		switch (step.kind) {
			case 'done': {
				this.#finish(end, server);
				return false;
			}

			case 'refuse': {
				await this.#refuse(step);
				return false;
			}

			case 'again': {
				if (step.usesBudget) {
					budget.recordRetry();
				}

				this.deps.metrics.retried(this.request.head.service);
				this.#lines.retried(server, this.#retryState, end, step.afterMs);
				if (step.afterMs > 0) {
					await routing.changed(step.afterMs);
				}

				return true;
			}
		}
	}

	#record(results: readonly RaceResult[]): void {
		for (const {server, end} of results) {
			this.#tried = [...this.#tried, server];
			this.#retryState = this.#retryState.after(end);
		}

		if (results.length > 1) {
			this.#retryState = this.#retryState.hedged();
		}
	}

	#finish(end: AttemptEnd, server: BackendServer): void {
		const {budget, quarantine} = this.deps;
		if (end.kind === 'answered') {
			this.#outcome = 'answered';
			budget.recordSuccess();
			quarantine.answered(this.admitted.fingerprint, this.request.head.service);
		} else if (end.kind === 'cut') {
			this.#outcome = 'cut';
			this.reply.cut();
			this.#lines.cut(server, end.message);
		} else {
			this.#lines.cancelled(server);
		}
	}

	async #refuse(refusal: Refusal): Promise<void> {
		this.#outcome = await this.reply.refuse(refusal, this.admitted.claimed);
	}
}
