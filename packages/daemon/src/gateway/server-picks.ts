/** Chooses the backend server for a request's next attempt, or says why there is none. */
import {
	AnswerLengths,
	ColdTokens,
	crossingCharge,
	defaultMsPerKb,
	maxLoad,
	rangeOf,
	ServerIndex,
	ServerLoads,
	type Clock,
	type ColdBounds,
	type DomainCrossing,
	type ListedServer,
	type Millis,
	type Random,
	type RoutedService,
	type RouteRule,
	type ServerSample,
	type Warmth,
} from '@kingcuproute/core';
import {type Deployment} from '@kingcuproute/platform';
import {Left, Right, type Either} from 'purify-ts';
import {inject, singleton} from 'tsyringe';
import {FleetReports} from './fleet-reports.js';
import {type RequestEnd} from './request-end.js';
import {
	ServerAdmission,
	type AdmissionRequest,
	type Examined,
} from './server-admission.js';
import {ServerNotices} from './server-notices.js';
import {ViewTask, type GatewayView} from './view-task.js';
import {WarmthChecks} from './warmth-checks.js';

/** What the choice of a request's server depends on. */
export type PickCriteria = {
	readonly rule: RouteRule;
	readonly service: RoutedService;
	/** Length of the request's body, as far as it is known. */
	readonly bodyLen: number;
	readonly arrivedAt: Millis;
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

/** Servers weighed for a request. More choose hardly better, as a daemon's picture of each is a moment old. */
const sampleSize = 16;
/** Servers weighed if all of the first sample are full, cold, held or leaving. */
const largeSampleSize = 64;

const noOwner: RequestEnd = {
	reason: 'no-owner',
	notRun: true,
	retryAfterMs: noOwnerRetryMs,
};

@singleton()
export class ServerPicks {
	readonly loads: ServerLoads;
	readonly answerLengths = new AnswerLengths();
	readonly admission: ServerAdmission;
	readonly #coldTokens: ColdTokens;
	readonly #index: ServerIndex;

	constructor(
		@inject(ViewTask) private readonly view: ViewTask,
		@inject(ServerNotices) private readonly notices: ServerNotices,
		@inject(WarmthChecks) private readonly warmth: WarmthChecks,
		@inject('Deployment') private readonly deployment: Deployment,
		@inject('Clock') private readonly clock: Clock,
		@inject('Random') private readonly random: Random,
		@inject('FleetReports') reports: FleetReports,
	) {
		this.loads = new ServerLoads(random, (service) =>
			reports.runTimes(service),
		);
		this.admission = new ServerAdmission(
			this.loads,
			view,
			deployment,
			clock,
			random,
		);
		this.#coldTokens = new ColdTokens(random);
		this.#index = new ServerIndex(deployment.failureDomain);
		let known: GatewayView | undefined;
		view.view.subscribe((current) => {
			this.#follow(current, known);
			known = current;
		});
	}

	/** The fence of the range that contains the key, as far as this daemon knows. */
	fence(service: string, key: number | undefined): number | undefined {
		const table = this.view.view.value.rangeTables.get(service);
		return table && key !== undefined ? rangeOf(table, key)?.fence : undefined;
	}

	/** What sending the request to another failure domain is charged. */
	crossing(
		{
			rule,
			bodyLen,
			arrivedAt,
		}: Pick<PickCriteria, 'rule' | 'bodyLen' | 'arrivedAt'>,
		now: Millis,
	): DomainCrossing {
		const {failureDomain, crossDomainMsPerKb} = this.deployment;
		const {daemons} = this.view.view.value;
		const transfer = {
			requestLen: bodyLen,
			answerLen: this.answerLengths.mean(rule),
			slackMs: arrivedAt + rule.targetMs - now,
		};
		const msPerKb = crossDomainMsPerKb ?? defaultMsPerKb(daemons);
		return {
			ownDomain: failureDomain,
			chargeMs: crossingCharge(transfer, msPerKb),
		};
	}

	/** Whether the server is in this daemon's failure domain. */
	isOwnDomain({failureDomain}: ListedServer): boolean {
		return failureDomain === this.deployment.failureDomain;
	}

	pick(criteria: PickCriteria): Either<PickRefusal, Choice> {
		return criteria.service.keyed
			? this.#pickOwner(criteria)
			: this.#pickAny(criteria);
	}

	/** Whether a request for which the server was chosen some time ago may be sent to it now. */
	mayStart(server: ListedServer): boolean {
		return this.#index.has(server) && this.notices.mayStart(server);
	}

	/** Why a waiting request has no room; undefined if it is to try now, also to learn why it can't be sent. */
	examine(criteria: PickCriteria): Examined | undefined {
		return this.pick({...criteria, isProbe: true})
			.swap()
			.toMaybe()
			.extract()?.examined;
	}

	#follow(current: GatewayView, known: GatewayView | undefined): void {
		const {servers = [], domainsOut} = current;
		if (servers === known?.servers && domainsOut === known?.domainsOut) {
			return;
		}

		this.#index.update(servers, domainsOut);
		const listed = new Set(servers.map(({backendServer}) => backendServer));
		this.loads.keep(listed);
		this.#coldTokens.keep(listed);
	}

	#pickOwner(criteria: PickCriteria): Either<PickRefusal, Choice> {
		const {service, key, lastFailure} = criteria;
		const table = this.view.view.value.rangeTables.get(service.service);
		if (key === undefined) {
			return Left({reason: 'bad-request', notRun: true});
		}

		const range = table && rangeOf(table, key);
		const owner = range && this.#index.owner(service.service, range);
		const failedRecently =
			owner?.backendServer === lastFailure?.by &&
			this.clock.now() - (lastFailure?.at ?? 0) < ownerRetryMs;
		return !owner || failedRecently
			? Left(noOwner)
			: this.#admit(criteria, {servers: [owner], isWhole: true}, noOwner);
	}

	/** Chooses from a small sample of the servers, and only if that has none to be preferred from a larger one. */
	#pickAny(criteria: PickCriteria): Either<PickRefusal, Choice> {
		const first = this.#pickFromSample(criteria, sampleSize);
		return first ?? this.#pickFromSample(criteria, largeSampleSize)!;
	}

	/** Undefined if servers outside the sample may be better ones. */
	#pickFromSample(
		criteria: PickCriteria,
		size: number,
	): Either<PickRefusal, Choice> | undefined {
		const {service, tried} = criteria;
		const {chargeMs} = this.crossing(criteria, this.clock.now());
		const {servers, isWhole} = this.#index.sample(
			service.service,
			size,
			chargeMs > 0,
			this.random,
		);
		const isLast = isWhole || size === largeSampleSize;
		const untried =
			tried.length > 0
				? servers.filter(({backendServer}) => !tried.includes(backendServer))
				: servers;
		const picked = this.#admit(
			criteria,
			{servers: untried, isWhole: isLast},
			{
				reason: tried.length > 0 ? 'declined' : 'no-server',
				notRun: true,
				retryAfterMs: overloadedRetryMs,
			},
		);
		const isGood = picked.isRight() && !this.#isLeaving(picked.unsafeCoerce());
		return isLast || isGood ? picked : undefined;
	}

	#isLeaving({server}: Choice): boolean {
		return this.notices.leaving.has(server);
	}

	/** Chooses among `sample`; `refusalIfNone` is for the case that none of them may get requests. */
	#admit(
		criteria: PickCriteria,
		sample: ServerSample,
		refusalIfNone: RequestEnd,
	): Either<PickRefusal, Choice> {
		const {servers, heldMs} = this.notices.candidates(sample.servers);
		if (servers.length > 0) {
			return this.#chooseByLoad(criteria, {...sample, servers});
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
		criteria: PickCriteria,
		{servers, isWhole}: ServerSample,
	): Either<PickRefusal, Choice> {
		const {service, tried, admission, isProbe = false} = criteria;
		const now = this.clock.now();
		const notCold = servers.filter(
			(server) => this.warmth.of(service, server) !== 'cold',
		);
		const candidates = notCold.length > 0 ? notCold : servers;
		const isRetry = !service.keyed && tried.length > 0;
		const crossing = this.crossing(criteria, now);
		if (admission && notCold.length > 0) {
			return this.admission
				.choose(admission, {service, servers: notCold, isRetry, crossing})
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

		const server = this.loads.choose(candidates, now, isRetry, crossing);
		if (!server) {
			return Left(this.#refusal('overloaded', candidates));
		}

		if (notCold.length > 0) {
			return Right({server, warmth: this.warmth.of(service, server)});
		}

		if (!isWhole) {
			return Left(this.#refusal('cold', candidates));
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
}
