/**
 * Balances this daemon's requests over the backend servers in service: keeps one
 * pool for each service up to date with the configuration and the membership.
 */
import {
	balancePolicy,
	callersOf,
	Clock,
	Random,
	rendezvous,
	subsetOf,
	TwoChoices,
	type PoolRequest,
	type BalancePolicy,
	type Cancel,
	type Millis,
	type Notice,
	type CallerRank,
	type Refusal,
	type Service,
	type Subset,
	type View,
} from '@kingcuproute/core';
import {Mesh} from '@kingcuproute/mesh';
import {type Either} from 'purify-ts';
import {inject, singleton} from 'tsyringe';
import {ConfigTask} from '../fleet/config-task.js';
import {Identity} from '../fleet/identity.js';
import {MembershipTask} from '../fleet/membership-task.js';
import {Log} from '../log/log.js';
import {type Settings} from '../settings/settings.js';
import {Task} from '../task/task.js';
import {Topic} from '../task/topic.js';
import {BalanceMetrics} from './balance-metrics.js';
import {ColdServers} from './cold-servers.js';
import {type PickedServer} from './pick.js';
import {ServerPolls} from './server-polls.js';
import {ServiceBalance} from './service-balance.js';

/** The state of load balancing shown to operators. */
export type BalanceState = {
	readonly ejected: readonly string[];
	readonly ramping: readonly string[];
	/** Number of requests waiting for a server, by service. */
	readonly waiting: Readonly<Record<string, number>>;
};

const tickMs: Millis = 100;
/** Evidence of slow servers is gathered for this long and then reported together. */
const evidenceDelayMs: Millis = 20;
/** A server counts as draining after reporting it for this long, so that one misleading answer moves no slice. */
const minDrainingMs: Millis = 800;
const emptySubset: Subset = {servers: [], connectionsEach: 1};

@singleton()
export class BalanceTask extends Task {
	/** Ejected and ramping servers and queues, as of the last 100 ms. */
	readonly state = new Topic<BalanceState>({
		ejected: [],
		ramping: [],
		waiting: {},
	});

	readonly #policy: BalancePolicy;
	readonly #services = new Map<string, ServiceBalance>();
	readonly #polls: ServerPolls;
	readonly #coldServers: ColdServers;
	readonly #subsets = new Map<string, Subset>();
	#lastPublished = '';
	#cancels: readonly Cancel[] = [];
	#cancelReport: Cancel | undefined;

	constructor(
		@inject(ConfigTask) private readonly config: ConfigTask,
		@inject(MembershipTask) private readonly membership: MembershipTask,
		@inject(Identity) private readonly self: Identity,
		@inject(BalanceMetrics) private readonly metrics: BalanceMetrics,
		@inject('Settings') settings: Settings,
		@inject('Clock') private readonly clock: Clock,
		@inject('Random') private readonly random: Random,
		@inject(Log) private readonly log: Log,
		@inject('Mesh') mesh: Mesh,
	) {
		super();
		const {hedgeShare, maxQueueLen, pollMs, maxPolls} = settings.balance;
		this.#policy = {...balancePolicy, hedgeShare, maxQueueLen};
		this.#polls = new ServerPolls({pollMs, maxPolls}, clock, random);
		this.#coldServers = new ColdServers({
			mesh,
			membership,
			self,
			clock,
			policy: this.#policy,
			onVerdict: (service, verdict) => {
				this.#services.get(service)?.gauges.applyVerdict(verdict, clock.now());
			},
		});
	}

	override async start(): Promise<void> {
		const update = () => {
			this.#update(this.config.view.value);
		};

		update();
		this.#cancels = [
			this.config.view.subscribe(update),
			this.membership.members.subscribe(update),
			this.membership.knownCount.subscribe(update),
			this.clock.repeat(tickMs, () => {
				this.#tick();
			}),
		];
		this.#polls.start((server, report) => {
			this.#services
				.get(server.service)
				?.gauges.recordReport(server.backendServer, report, this.clock.now());
		});
	}

	override async stop(): Promise<void> {
		for (const cancel of this.#cancels) {
			cancel();
		}

		this.#cancelReport?.();
		this.#polls.stop();
		for (const service of this.#services.values()) {
			service.stop();
		}
	}

	/** Picks a server for the request, possibly after a short wait. A refused request has not been run. */
	async pick(request: PoolRequest): Promise<Either<Refusal, PickedServer>> {
		const name = request.service.service;
		const picked = await this.#service(name).pick(this.#limitToSubset(request));
		picked.ifLeft(({reason}) => {
			this.metrics.refused(name, reason);
		});
		picked.ifRight(({queuedMs}) => {
			this.metrics.queued(name, queuedMs);
		});
		return picked;
	}

	/** How long to wait for an answer before hedging an idempotent request; undefined if it is not to be hedged. */
	hedgeDelayMs(service: string): Millis | undefined {
		return this.#service(service).hedge.delay();
	}

	/** Takes a hedge from the budget once its delay has passed; false if the budget is used up. */
	spendHedge(service: string): boolean {
		const spent = this.#service(service).hedge.spend();
		if (spent) {
			this.metrics.hedged(service);
		}

		return spent;
	}

	/** Servers of the service that have reported draining for at least `minDrainingMs`. */
	draining(service: string): readonly string[] {
		return this.#service(service).gauges.draining(
			this.clock.now(),
			minDrainingMs,
		);
	}

	/** Servers of the service that get no requests for a while after failures. */
	ejected(service: string): readonly string[] {
		return this.#service(service).gauges.ejected(this.clock.now());
	}

	/** Connections that this daemon may have to each server of the service. */
	connections(service: string): number {
		return this.#subsets.get(service)?.connectionsEach ?? 1;
	}

	#limitToSubset(request: PoolRequest): PoolRequest {
		const subset = this.#subsets.get(request.service.service);
		if (request.keyed || !subset) {
			return request;
		}

		const candidates = request.candidates.filter(({backendServer}) =>
			subset.servers.includes(backendServer),
		);
		return candidates.length > 0 ? {...request, candidates} : request;
	}

	#service(name: string): ServiceBalance {
		let service = this.#services.get(name);
		if (!service) {
			const balancer = new TwoChoices(this.random, this.#policy);
			service = new ServiceBalance(this.clock, balancer, this.#policy, () => {
				this.#scheduleEvidenceReport();
			});
			this.#services.set(name, service);
		}

		return service;
	}

	#update(view: View): void {
		for (const service of view.all('service')) {
			this.#updateService(view, service);
		}

		this.#polls.setServers(
			view
				.all('backend-server')
				.filter(({backendServer, service}) =>
					this.#subsets.get(service)?.servers.includes(backendServer),
				),
		);
	}

	#updateService(view: View, service: Service): void {
		const name = service.service;
		const servers = serversInService(view, service);
		const daemons = this.#daemons();
		const {connections, slices} = service;
		const options = {daemons, servers, connections};
		const subset =
			slices > 0
				? {
						servers,
						connectionsEach: connectionsPerDaemon(connections, daemons.length),
					}
				: subsetOf({...options, daemon: this.self.id});
		this.#subsets.set(name, servers.length > 0 ? subset : emptySubset);
		const callers = new Map(
			subset.servers.map((server) => [
				server,
				slices > 0 ? daemons : callersOf(server, options),
			]),
		);
		this.#coldServers.setCallers(name, callers);
		const {gauges} = this.#service(name);
		gauges.setCallerRanks(
			new Map(
				[...callers].map(([server, daemonIds]) => [
					server,
					this.#callerRank(server, daemonIds),
				]),
			),
		);
		if (view.version > 0) {
			gauges.setServers(servers, this.clock.now());
		}
	}

	/** Ids of all daemons not proved gone. A daemon that is only silent may still be sending, so it keeps its share of connections. */
	#daemons(): readonly string[] {
		const accounts = this.membership.membership.all();
		return accounts.length > 0
			? accounts.map(({member}) => member.id)
			: [this.self.id];
	}

	#callerRank(server: string, callers: readonly string[]): CallerRank {
		const order = rendezvous(server, callers);
		return {
			rank: Math.max(0, order.indexOf(this.self.id)),
			count: Math.max(1, callers.length),
		};
	}

	/** Schedules one report for all requests that end in the meantime. Nothing is scheduled while the daemon is idle. */
	#scheduleEvidenceReport(): void {
		this.#cancelReport ??= this.clock.after(evidenceDelayMs, () => {
			this.#cancelReport = undefined;
			this.#reportEvidence();
		});
	}

	#reportEvidence(): void {
		for (const [name, {gauges}] of this.#services) {
			for (const evidence of gauges.takeEvidence()) {
				void this.#coldServers.report(name, evidence);
			}
		}
	}

	#tick(): void {
		const now = this.clock.now();
		const ejected: string[] = [];
		const ramping: string[] = [];
		const waiting: Record<string, number> = {};
		for (const [name, service] of this.#services) {
			service.tick();
			ejected.push(...service.gauges.ejected(now));
			ramping.push(...service.gauges.ramping());
			if (service.waiting > 0) {
				waiting[name] = service.waiting;
			}

			for (const notice of service.gauges.takeNotices()) {
				this.#logNotice(name, notice);
			}
		}

		this.#publish({ejected, ramping, waiting});
	}

	#publish(state: BalanceState): void {
		const serialized = JSON.stringify(state);
		if (serialized !== this.#lastPublished) {
			this.#lastPublished = serialized;
			this.state.publish(state);
			this.metrics.setServerCounts(state.ejected.length, state.ramping.length);
		}
	}

	#logNotice(service: string, {kind, ...fields}: Notice): void {
		this.log.info(`server-${kind}`, {service, ...fields});
	}
}

/** Servers of a service that are in service, and whose failure domains are too. */
function serversInService(view: View, {service}: Service): readonly string[] {
	return view
		.all('backend-server')
		.filter((server) => server.service === service && !server.out)
		.filter(
			({failureDomain}) => !view.get('failure-domain', failureDomain)?.out,
		)
		.map(({backendServer}) => backendServer);
}

function connectionsPerDaemon(connections: number, daemons: number): number {
	return Math.max(1, Math.floor(connections / Math.max(1, daemons)));
}
