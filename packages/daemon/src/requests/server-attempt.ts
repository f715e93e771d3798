/**
 * One attempt with all that is told of it: to the quarantine while it is in flight,
 * to balancing and to the connections once it has ended.
 */
import {
	deadlineField,
	forwardedHeaders,
	judgeAnswer,
	type AttemptEnd,
	type BackendServer,
	type Millis,
} from '@kingcuproute/core';
import {type Dispatcher} from 'undici';
import {outcomeOf} from '../balance/outcome-of.js';
import {type Pick} from '../balance/pick.js';
import {type Admitted} from './admission.js';
import {type Asked, type Means} from './asked.js';
import {Attempt} from './attempt.js';
import {RequestLines} from './request-lines.js';
import {type Route} from './route.js';

/** Where the attempt goes and how long it may take. */
export type ServerAttemptPlan = {
	readonly route: Route;
	readonly pick: Pick;
	readonly timeoutMs: Millis;
	/** Takes the caller for an attempt's answer; false when another has it. */
	readonly claim: (by: ServerAttempt) => boolean;
};

export class ServerAttempt {
	#attempt: Attempt | undefined;

	constructor(
		private readonly means: Means,
		private readonly asked: Asked,
		private readonly admitted: Admitted,
		private readonly plan: ServerAttemptPlan,
	) {}

	get server(): BackendServer {
		return this.plan.pick.server;
	}

	/** Gives up; the server sees its connection close. */
	cancel(): void {
		this.#attempt?.cancel();
	}

	/** Sends the request and sees it to its end. */
	async run(): Promise<AttemptEnd> {
		const {balance, connections, sliceLoad} = this.means;
		const {route, pick} = this.plan;
		const {server} = pick;
		const {key} = this.asked.head;
		if (route.slice !== undefined && key !== undefined) {
			sliceLoad.note(route.service, key, route.slice);
		}

		const dispatcher = connections.to(
			server.address,
			balance.connections(server.service),
		);
		this.#attempt = this.#newAttempt();
		this.#attempt.send(dispatcher);
		const end = await this.#attempt.ended;
		pick.done(outcomeOf(end, this.#attempt.latencyMs));
		await this.#judge(end, dispatcher);
		return end;
	}

	#newAttempt(): Attempt {
		const {clock, settings, connections} = this.means;
		const {id, req, res, deadline} = this.asked;
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
				wholeMs: deadline - clock.now(),
				idleMs: answerIdleMs,
				holdLen: replayLen,
				claim: () => this.plan.claim(this),
				judge: (head) => judgeAnswer(id, method, head),
				endsReset: () => connections.endsReset,
				added: ['x-kingcup-request-id', id],
			},
			res,
			clock,
		);
	}

	#headers(): readonly string[] {
		const {id, req} = this.asked;
		const {route, timeoutMs} = this.plan;
		const {slice, epoch} = route;
		const owned =
			slice === undefined
				? []
				: ['x-kingcup-slice', String(slice), 'x-kingcup-epoch', String(epoch)];
		return [
			...forwardedHeaders(req.rawHeaders),
			'x-kingcup-request-id',
			id,
			deadlineField,
			String(Math.floor(timeoutMs)),
			...owned,
		];
	}

	/** Draws from a lost attempt what it says of the connections and of the server. */
	async #judge(end: AttemptEnd, dispatcher: Dispatcher): Promise<void> {
		const {connections, log, quarantine} = this.means;
		const {server} = this;
		if (end.kind !== 'lost') {
			return;
		}

		if (end.silent && connections.retire(server.address, dispatcher)) {
			new RequestLines(log, this.asked).connectionsRetired(server);
		}

		if (end.reset) {
			await quarantine.lost(this.admitted.fingerprint, server);
		}
	}
}
