/** Chooses the backend server for a request's next attempt, or says why there is none. */
import {
	ColdTokens,
	isHeldBy,
	maxLoad,
	rangeOf,
	ServerLoads,
	type Clock,
	type ColdBounds,
	type ListedServer,
	type Millis,
	type Random,
	type RoutedService,
	type Warmth,
} from '@kingcuproute/core';
import {type Deployment} from '@kingcuproute/platform';
import {Left, Right, type Either} from 'purify-ts';
import {inject, singleton} from 'tsyringe';
import {type RequestEnd} from './request-end.js';
import {
	ServerAdmission,
	type AdmissionRequest,
	type Examined,
} from './server-admission.js';
import {ServerNotices} from './server-notices.js';
import {ViewTask} from './view-task.js';
import {WarmthChecks} from './warmth-checks.js';

/** What the choice of a request's server depends on. */
export type PickCriteria = {
	readonly service: RoutedService;
	/** Set for services divided by key. */
	readonly key: number | undefined;
	/** Servers that the request has been sent to. */
	readonly tried: readonly string[];
	/** The server at which the last attempt failed, and when. */
	readonly lastFailure: {readonly by: string; readonly at: Millis} | undefined;
	/** Set where requests are admitted by target latency and priority. */
	readonly admission?: AdmissionRequest;
	/** Whether nothing is to be sent, so that no part of a cold server's rate is taken. */
	readonly isProbe?: boolean;
};

/** Why no server was chosen. */
export type PickRefusal = RequestEnd & {
	/** Set if the request may wait until a server has room. */
	readonly examined?: Examined;
};

/** The server chosen for an attempt. It has to be asked first whether it is cold, and chosen anew, if that is unknown. */
export type Choice = {
	readonly server: ListedServer;
	readonly warmth: Warmth;
	/** Set where requests wait for room: what made the server eligible. */
	readonly examined?: Examined;
};

/** About the run time of the shortest requests: a slot is likely to be free by then. */
const overloadedRetryMs = 300;
/** A key's holder that declined or lost the request gets it again after this: by then the key may have moved, or a slot is likely to be free. */
const ownerRetryMs: Millis = 250;
/** About the time in which keys move to another server. */
const noOwnerRetryMs = 500;

const noOwner: RequestEnd = {
	reason: 'no-owner',
	notRun: true,
	retryAfterMs: noOwnerRetryMs,
};

@singleton()
export class ServerPicks {
	readonly loads: ServerLoads;
	readonly admission: ServerAdmission;
	readonly #coldTokens: ColdTokens;

	constructor(
		@inject(ViewTask) private readonly view: ViewTask,
		@inject(ServerNotices) private readonly notices: ServerNotices,
		@inject(WarmthChecks) private readonly warmth: WarmthChecks,
		@inject('Deployment') private readonly deployment: Deployment,
		@inject('Clock') private readonly clock: Clock,
		@inject('Random') private readonly random: Random,
	) {
		this.loads = new ServerLoads(random);
		this.admission = new ServerAdmission(
			this.loads,
			view,
			deployment,
			clock,
			random,
		);
		this.#coldTokens = new ColdTokens(random);
		view.view.subscribe(({servers = []}) => {
			const listed = new Set(servers.map(({backendServer}) => backendServer));
			this.loads.keep(listed);
			this.#coldTokens.keep(listed);
		});
	}

	/** The fence of the range that contains the key, as far as this daemon knows. */
	fence(service: string, key: number | undefined): number | undefined {
		const table = this.view.view.value.rangeTables.get(service);
		return table && key !== undefined ? rangeOf(table, key)?.fence : undefined;
	}

	pick(criteria: PickCriteria): Either<PickRefusal, Choice> {
		return criteria.service.keyed
			? this.#pickOwner(criteria)
			: this.#pickAny(criteria);
	}

	/** Why a waiting request has no room; undefined if it is to try now, also to learn why it can't be sent. */
	examine(criteria: PickCriteria): Examined | undefined {
		return this.pick({...criteria, isProbe: true})
			.swap()
			.toMaybe()
			.extract()?.examined;
	}

	#pickOwner(criteria: PickCriteria): Either<PickRefusal, Choice> {
		const {service, key, lastFailure} = criteria;
		const table = this.view.view.value.rangeTables.get(service.service);
		if (key === undefined) {
			return Left({reason: 'bad-request', notRun: true});
		}

		const range = table && rangeOf(table, key);
		const owner = this.#inService(service).find(
			(server) => range && isHeldBy(range, server),
		);
		const failedRecently =
			owner?.backendServer === lastFailure?.by &&
			this.clock.now() - (lastFailure?.at ?? 0) < ownerRetryMs;
		return !owner || failedRecently
			? Left(noOwner)
			: this.#admit(criteria, [owner], noOwner);
	}

	#pickAny(criteria: PickCriteria): Either<PickRefusal, Choice> {
		const {service, tried} = criteria;
		const untried = this.#inService(service).filter(
			({backendServer}) => !tried.includes(backendServer),
		);
		return this.#admit(criteria, untried, {
			reason: tried.length > 0 ? 'declined' : 'no-server',
			notRun: true,
			retryAfterMs: overloadedRetryMs,
		});
	}

	/** Chooses among `serving`; `refusalIfNone` is for the case that none of them may get requests. */
	#admit(
		criteria: PickCriteria,
		serving: readonly ListedServer[],
		refusalIfNone: RequestEnd,
	): Either<PickRefusal, Choice> {
		const {servers, heldMs} = this.notices.candidates(serving);
		if (servers.length > 0) {
			return this.#chooseByLoad(criteria, servers);
		}

		return heldMs === undefined
			? Left(refusalIfNone)
			: Left({
					reason: 'held',
					notRun: true,
					// Spread, so that the callers do not all return when the hold ends.
					retryAfterMs: heldMs + this.random.fraction() * overloadedRetryMs,
				});
	}

	/** Cold servers get requests only if there are no others, and a few a second from all daemons together. */
	#chooseByLoad(
		{service, tried, admission, isProbe = false}: PickCriteria,
		servers: readonly ListedServer[],
	): Either<PickRefusal, Choice> {
		const now = this.clock.now();
		const notCold = servers.filter(
			(server) => this.warmth.of(service, server) !== 'cold',
		);
		const candidates = notCold.length > 0 ? notCold : servers;
		const isRetry = !service.keyed && tried.length > 0;
		if (admission && notCold.length > 0) {
			return this.admission
				.choose(admission, {service, servers: notCold, isRetry})
				.bimap(
					(examined) => ({
						...this.#refusal('overloaded', [examined.server]),
						examined,
					}),
					(examined) => ({
						server: examined.server,
						warmth: this.warmth.of(service, examined.server),
						examined,
					}),
				);
		}

		const server = this.loads.choose(candidates, now, isRetry);
		if (!server) {
			return Left(this.#refusal('overloaded', candidates));
		}

		if (notCold.length > 0) {
			return Right({server, warmth: this.warmth.of(service, server)});
		}

		const bounds = this.#coldBounds(service);
		return !isProbe && this.#coldTokens.take(server.backendServer, bounds, now)
			? Right({server, warmth: 'cold'})
			: Left(this.#refusal('cold', candidates));
	}

	#coldBounds({coldRate: rate}: RoutedService): ColdBounds {
		const {coldFactor, coldSlack} = this.deployment.bounds;
		const excess = rate * (coldFactor - 1) + coldSlack;
		return {rate, excess, daemons: this.view.view.value.daemons};
	}

	/** The refusal of a request that no candidate can take now; names the least loaded one. */
	#refusal(
		reason: 'overloaded' | 'cold',
		candidates: readonly ListedServer[],
	): RequestEnd {
		const now = this.clock.now();
		const loads = candidates.map((server) => this.loads.load(server, now));
		const load = Math.min(...loads);
		const leastLoaded = candidates[loads.indexOf(load)];
		return {
			reason,
			notRun: true,
			retryAfterMs: overloadedRetryMs,
			full: {
				backendServer: leastLoaded.backendServer,
				load: load.toFixed(2),
				maxLoad,
				coldMs: Math.round(this.warmth.coldLeftMs(leastLoaded)),
				candidates: candidates.length,
			},
		};
	}

	#inService({service}: RoutedService): readonly ListedServer[] {
		return this.view.view.value.inService.get(service) ?? [];
	}
}
