/**
 * One attempt at a backend server. Its end is reported to balancing and, if the request
 * was lost, to the quarantine and to the connections of that server.
 */
import {
	BufferLease,
	deadlineField,
	forwardedHeaders,
	checkAnswer,
	type AttemptEnd,
	type BackendServer,
	type Millis,
} from '@kingcuproute/core';
import {type Dispatcher} from 'undici';
import {outcomeOf} from '../balance/outcome-of.js';
import {type PickedServer} from '../balance/pick.js';
import {type Admitted} from './admission.js';
import {type CallerRequest, type Dependencies} from './caller-request.js';
import {Attempt} from './attempt.js';
import {RequestLines} from './request-lines.js';
import {type Route} from './route.js';

/** Where the attempt goes and how long it may take. */
export type ServerAttemptPlan = {
	readonly route: Route;
	readonly pick: PickedServer;
	readonly timeoutMs: Millis;
	/** Claims the caller's response for an attempt's answer; false if another attempt has it. */
	readonly claim: (claimant: ServerAttempt) => boolean;
};

export class ServerAttempt {
	#attempt: Attempt | undefined;

	constructor(
		private readonly deps: Dependencies,
		private readonly request: CallerRequest,
		private readonly admitted: Admitted,
		private readonly plan: ServerAttemptPlan,
	) {}

	get server(): BackendServer {
		return this.plan.pick.server;
	}

	/** Aborts the attempt; the server sees its connection close. */
	cancel(): void {
		this.#attempt?.cancel();
	}

	/** Sends the request; resolves with its end once that is reported. */
	async run(): Promise<AttemptEnd> {
		const {balance, connections, sliceLoad} = this.deps;
		const {route, pick} = this.plan;
		const {server} = pick;
		const {key} = this.request.head;
		if (route.slice !== undefined && key !== undefined) {
			sliceLoad.record(route.service, key, route.slice);
		}

		const dispatcher = connections.to(
			server.address,
			balance.connections(server.service),
		);
		this.#attempt = this.#newAttempt();
		this.#attempt.send(dispatcher);
		const end = await this.#attempt.ended;
		pick.done(outcomeOf(end, this.#attempt.latencyMs));
		await this.#reportLoss(end, dispatcher);
		return end;
	}

	#newAttempt(): Attempt {
		const {clock, settings, connections} = this.deps;
		const {id, req, res, deadline} = this.request;
		const {answerIdleMs, replayLen} = settings.requests;
		const {timeoutMs} = this.plan;
		const method = req.method ?? 'GET';
		return new Attempt(
			{
				id,
				method,
				path: req.url ?? '/',
				headers: this.#headers(),
				body: this.admitted.body.source(),
				timeoutMs,
				answerTimeoutMs: deadline - clock.now(),
				idleMs: answerIdleMs,
				holdLen: replayLen,
				lease: BufferLease.unlimited(),
				mayStart: () => true,
				claim: () => this.plan.claim(this),
				checkAnswer: (head) => checkAnswer(id, method, head),
				endIsReset: () => connections.endIsReset,
				addedHeaders: ['x-kingcup-request-id', id],
			},
			res,
			clock,
		);
	}

	#headers(): readonly string[] {
		const {id, req} = this.request;
		const {route, timeoutMs} = this.plan;
		const {slice, epoch} = route;
		const ownerHeaders =
			slice === undefined
				? []
				: ['x-kingcup-slice', String(slice), 'x-kingcup-epoch', String(epoch)];
		return [
			...forwardedHeaders(req.rawHeaders),
			'x-kingcup-request-id',
			id,
			deadlineField,
			String(Math.floor(timeoutMs)),
			...ownerHeaders,
		];
	}

	/**
	 * After a lost attempt, retires connections that went silent and reports a reset to
	 * the quarantine.
	 */
	async #reportLoss(end: AttemptEnd, dispatcher: Dispatcher): Promise<void> {
		const {connections, log, quarantine} = this.deps;
		const {server} = this;
		if (end.kind !== 'lost') {
			return;
		}

		if (end.silent && connections.retire(server.address, dispatcher)) {
			new RequestLines(log, this.request).connectionsRetired(server);
		}

		if (end.reset) {
			await quarantine.lost(this.admitted.fingerprint, server);
		}
	}
}
