/**
 * Chooses the server of an attempt: it prefers servers that were not tried yet, keeps
 * a request suspected of a crash away from servers with another suspect in flight, and
 * leaves the choice among the rest to balancing.
 */
import {
	attemptCandidates,
	type BackendServer,
	type Millis,
	type Refusal,
} from '@kingcuproute/core';
import {Left, Right, type Either} from 'purify-ts';
import {type BalanceTask} from '../balance/balance-task.js';
import {type PickedServer} from '../balance/pick.js';
import {type QuarantineTask} from './quarantine/quarantine-task.js';
import {type Route} from './route.js';

/** The request that needs a server, and the servers already tried for it. */
export type PickOptions = {
	readonly route: Route;
	readonly fingerprint: string;
	readonly customer: string;
	readonly weight: number;
	readonly deadline: Millis;
	readonly tried: readonly BackendServer[];
};

const isolationRetryMs: Millis = 1000;

/**
 * No server now; `isolated` if every server that could be used has another suspect of a
 * crash in flight, which may end soon.
 */
export type NoChoice = Refusal & {readonly isolated: boolean};

const noIsolatedServer: NoChoice = {
	isolated: true,
	reason: 'overloaded',
	ran: 'not-run',
	message:
		'every server has another request in flight that is suspected of a crash',
	retryAfterMs: isolationRetryMs,
};

export class Choice {
	constructor(
		private readonly balance: BalanceTask,
		private readonly quarantine: QuarantineTask,
	) {}

	/** The server for one attempt, possibly after a short wait in balancing's queue. */
	async pick(options: PickOptions): Promise<Either<NoChoice, PickedServer>> {
		const {route, fingerprint, customer, weight, deadline, tried} = options;
		const keyed = route.slice !== undefined;
		const candidates = attemptCandidates(route.candidates, {
			tried,
			ejected: keyed ? [] : this.balance.ejected(route.service.service),
			isAllowed: (server) => this.quarantine.mayGoTo(fingerprint, server),
		});
		if (candidates.length === 0) {
			return Left(noIsolatedServer);
		}

		const picked = await this.balance.pick({
			service: route.service,
			candidates,
			keyed,
			customer,
			weight,
			deadlineAt: deadline,
			avoid: tried.map(({backendServer}) => backendServer),
		});
		return picked
			.mapLeft((refusal) => ({...refusal, isolated: false}))
			.chain((pick) => this.#register(fingerprint, pick));
	}

	/**
	 * Registers the attempt, after checking again in the same step that no other suspect
	 * has gone to the server since.
	 */
	#register(
		fingerprint: string,
		pick: PickedServer,
	): Either<NoChoice, PickedServer> {
		const {server} = pick;
		if (!this.quarantine.mayGoTo(fingerprint, server)) {
			pick.done({kind: 'cancelled', latencyMs: 0});
			return Left(noIsolatedServer);
		}

		const endTracking = this.quarantine.trackAttempt(fingerprint, server);
		return Right({
			...pick,
			done(outcome) {
				endTracking();
				pick.done(outcome);
			},
		});
	}
}
