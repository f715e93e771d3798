/**
 * One attempt, and a hedge: a second attempt at another server if the first is late.
 * The caller gets the answer whose headers arrive first; the other attempt is cancelled
 * and nothing of its answer is passed on.
 */
import {
	type AttemptEnd,
	type BackendServer,
	type Millis,
} from '@kingcuproute/core';
import {outcomeOf} from '../balance/outcome-of.js';
import {type PickedServer} from '../balance/pick.js';
import {type Admitted} from './admission.js';
import {type CallerRequest, type Dependencies} from './caller-request.js';
import {RequestLines} from './request-lines.js';
import {type Route} from './route.js';
import {ServerAttempt} from './server-attempt.js';

/** The first attempt, and when the hedge is sent. */
export type RacePlan = {
	readonly route: Route;
	readonly pick: PickedServer;
	/** How long the race may last without the headers of an answer, in ms. */
	readonly timeoutMs: Millis;
	/** Undefined if no hedge may be sent. */
	readonly hedgeDelayMs: Millis | undefined;
	/** Servers tried before this race. */
	readonly tried: readonly BackendServer[];
	/** The number of the first attempt, from 1. */
	readonly number: number;
};

/** The server of an attempt and how the attempt ended. */
export type RaceResult = {
	readonly server: BackendServer;
	readonly end: AttemptEnd;
};

export class Race {
	readonly #running = new Set<ServerAttempt>();
	readonly #lines: RequestLines;
	#winner: ServerAttempt | undefined;
	#cancelled = false;

	constructor(
		private readonly deps: Dependencies,
		private readonly request: CallerRequest,
		private readonly admitted: Admitted,
		private readonly plan: RacePlan,
	) {
		this.#lines = new RequestLines(deps.log, request);
	}

	/** Cancels both attempts: nobody waits for an answer. */
	cancel(): void {
		this.#cancelled = true;
		for (const attempt of this.#running) {
			attempt.cancel();
		}
	}

	/** Resolves once every attempt has ended. */
	async run(): Promise<readonly [RaceResult, ...RaceResult[]]> {
		const {pick, timeoutMs, hedgeDelayMs} = this.plan;
		let hedge: Promise<RaceResult | undefined> | undefined;
		const cancelHedge =
			hedgeDelayMs === undefined
				? undefined
				: this.deps.clock.after(hedgeDelayMs, () => {
						hedge = this.#hedge(hedgeDelayMs);
					});
		const first = await this.#send(pick, timeoutMs);
		cancelHedge?.();
		const second = await hedge;
		return second ? [first, second] : [first];
	}

	/** Sends the hedge if another server is free now and the hedge budget allows it. */
	async #hedge(afterMs: Millis): Promise<RaceResult | undefined> {
		const {balance, metrics} = this.deps;
		const {pick, route, timeoutMs, number} = this.plan;
		const {service} = this.request.head;
		const other = this.#isOpen ? await this.#pickOther() : undefined;
		if (!other) {
			return undefined;
		}

		if (!this.#isOpen || !balance.spendHedge(service)) {
			other.done(outcomeOf({kind: 'cancelled'}, 0));
			return undefined;
		}

		this.#lines.hedged(pick.server, other.server, afterMs);
		this.#lines.routed(route, other, number + 1);
		const result = await this.#send(other, timeoutMs - afterMs);
		if (result.end.kind === 'answered') {
			metrics.hedgeWon(service);
		}

		return result;
	}

	/** Another server that is free now: a hedge does not wait in the queue. */
	async #pickOther(): Promise<PickedServer | undefined> {
		const {choice, clock, routing} = this.deps;
		const {route, pick, tried} = this.plan;
		const {customer} = this.request.head;
		const contract = routing.routing.value.contract(customer);
		const picked = await choice.pick({
			route,
			fingerprint: this.admitted.fingerprint,
			customer,
			weight: contract?.weight ?? 1,
			deadline: clock.now(),
			tried: [...tried, pick.server],
		});
		return picked.toMaybe().extract();
	}

	/** Whether no attempt has won yet and one is in flight. */
	get #isOpen(): boolean {
		return !this.#cancelled && !this.#winner && this.#running.size > 0;
	}

	async #send(pick: PickedServer, timeoutMs: Millis): Promise<RaceResult> {
		const {deps, request, admitted} = this;
		const attempt = new ServerAttempt(deps, request, admitted, {
			route: this.plan.route,
			pick,
			timeoutMs,
			claim: (claimant) => this.#claim(claimant),
		});
		this.#running.add(attempt);
		const end = await attempt.run();
		this.#running.delete(attempt);
		return {server: pick.server, end};
	}

	#claim(claimant: ServerAttempt): boolean {
		this.#winner ??= claimant;
		if (this.#winner !== claimant) {
			return false;
		}

		for (const attempt of this.#running) {
			if (attempt !== claimant) {
				attempt.cancel();
			}
		}

		return true;
	}
}
