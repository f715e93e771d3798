/**
 * Balancing of the daemon's requests over the backend servers in service: keeps
 * one pool for each service in step with the configuration and the membership.
 */
import {
	balancePolicy,
	callersOf,
	Clock,
	Random,
	rendezvous,
	subsetOf,
	TwoChoices,
	type Ask,
	type BalancePolicy,
	type Cancel,
	type Millis,
	type Notice,
	type Place,
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
import {type Pick} from './pick.js';
import {ServerPolls} from './server-polls.js';
import {ServiceBalance} from './service-balance.js';

/** What operators see of balancing. */
export type BalanceState = {
	readonly ejected: readonly string[];
	readonly ramping: readonly string[];
	/** Requests that wait for a server, by service. */
	readonly waiting: Readonly<Record<string, number>>;
};

const settleMs: Millis = 100;
const evidenceMs: Millis = 20;
/** One misleading answer moves no slice. */
const drainingMs: Millis = 800;
const noSubset: Subset = {servers: [], connectionsEach: 1};

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
	#shown = '';
	#cancels: readonly Cancel[] = [];
	#cancelTelling: Cancel | undefined;

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
				this.#services.get(service)?.gauges.judged(verdict, clock.now());
			},
		});
	}

	override async start(): Promise<void> {
		const follow = () => {
			this.#follow(this.config.view.value);
		};

		follow();
		this.#cancels = [
			this.config.view.subscribe(follow),
			this.membership.members.subscribe(follow),
			this.membership.known.subscribe(follow),
			this.clock.repeat(settleMs, () => {
				this.#settle();
			}),
		];
		this.#polls.start((server, report) => {
			this.#services
				.get(server.service)
				?.gauges.reported(server.backendServer, report, this.clock.now());
		});
	}

	override async stop(): Promise<void> {
		for (const cancel of this.#cancels) {
			cancel();
		}

		this.#cancelTelling?.();
		this.#polls.stop();
		for (const service of this.#services.values()) {
			service.stop();
		}
	}

	/** A server for the request, maybe after a short wait; a refusal is always not-run. */
	async pick(ask: Ask): Promise<Either<Refusal, Pick>> {
		const name = ask.service.service;
		const picked = await this.#service(name).pick(this.#inSubset(ask));
		picked.ifLeft(({reason}) => {
			this.metrics.refused(name, reason);
		});
		picked.ifRight(({queuedMs}) => {
			this.metrics.queued(name, queuedMs);
		});
		return picked;
	}

	/** How long to wait for an answer before hedging an idempotent request; undefined when there is to be no hedge. */
	hedgeDelay(service: string): Millis | undefined {
		return this.#service(service).hedge.delay();
	}

	/** Takes a hedge from the budget when its delay has passed; false when the budget is spent. */
	spendHedge(service: string): boolean {
		const spent = this.#service(service).hedge.spend();
		if (spent) {
			this.metrics.hedged(service);
		}

		return spent;
	}

	/** Servers of the service that have been saying for a while that they are draining. */
	draining(service: string): readonly string[] {
		return this.#service(service).gauges.draining(this.clock.now(), drainingMs);
	}

	/** Connections that this daemon may have to each server of the service. */
	connections(service: string): number {
		return this.#subsets.get(service)?.connectionsEach ?? 1;
	}

	#inSubset(ask: Ask): Ask {
		const subset = this.#subsets.get(ask.service.service);
		if (ask.keyed || !subset) {
			return ask;
		}

		const candidates = ask.candidates.filter(({backendServer}) =>
			subset.servers.includes(backendServer),
		);
		return candidates.length > 0 ? {...ask, candidates} : ask;
	}

	#service(name: string): ServiceBalance {
		let service = this.#services.get(name);
		if (!service) {
			const balancer = new TwoChoices(this.random, this.#policy);
			service = new ServiceBalance(this.clock, balancer, this.#policy, () => {
				this.#tellSoon();
			});
			this.#services.set(name, service);
		}

		return service;
	}

	#follow(view: View): void {
		for (const service of view.all('service')) {
			this.#followService(view, service);
		}

		this.#polls.follow(
			view
				.all('backend-server')
				.filter(({backendServer, service}) =>
					this.#subsets.get(service)?.servers.includes(backendServer),
				),
		);
	}

	#followService(view: View, service: Service): void {
		const name = service.service;
		const servers = serversInService(view, service);
		const daemons = this.#daemons();
		const {connections, slices} = service;
		const options = {daemons, servers, connections};
		const subset =
			slices > 0
				? {
						servers,
						connectionsEach: eachOf(connections, daemons.length),
					}
				: subsetOf({...options, daemon: this.self.id});
		this.#subsets.set(name, servers.length > 0 ? subset : noSubset);
		const callers = new Map(
			subset.servers.map((server) => [
				server,
				slices > 0 ? daemons : callersOf(server, options),
			]),
		);
		this.#coldServers.setCallers(name, callers);
		const {gauges} = this.#service(name);
		gauges.setPlaces(
			new Map(
				[...callers].map(([server, each]) => [
					server,
					this.#place(server, each),
				]),
			),
		);
		if (view.version > 0) {
			gauges.setServers(servers, this.clock.now());
		}
	}

	/** Every daemon not proved gone: one that is only silent may be sending still, so its part stays its own. */
	#daemons(): readonly string[] {
		const accounts = this.membership.membership.all();
		return accounts.length > 0
			? accounts.map(({member}) => member.id)
			: [this.self.id];
	}

	#place(server: string, callers: readonly string[]): Place {
		const order = rendezvous(server, callers);
		return {
			rank: Math.max(0, order.indexOf(this.self.id)),
			count: Math.max(1, callers.length),
		};
	}

	/** What ends within a while is told together; an idle daemon needs no turn for it. */
	#tellSoon(): void {
		this.#cancelTelling ??= this.clock.after(evidenceMs, () => {
			this.#cancelTelling = undefined;
			this.#tellEvidence();
		});
	}

	#tellEvidence(): void {
		for (const [name, {gauges}] of this.#services) {
			for (const evidence of gauges.takeEvidence()) {
				void this.#coldServers.report(name, evidence);
			}
		}
	}

	#settle(): void {
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
				this.#tell(name, notice);
			}
		}

		this.#publish({ejected, ramping, waiting});
	}

	#publish(state: BalanceState): void {
		const shown = JSON.stringify(state);
		if (shown !== this.#shown) {
			this.#shown = shown;
			this.state.publish(state);
			this.metrics.setServerCounts(state.ejected.length, state.ramping.length);
		}
	}

	#tell(service: string, {kind, ...fields}: Notice): void {
		this.log.info(`server-${kind}`, {service, ...fields});
	}
}

/** Servers of a service that neither they themselves nor their failure domains are out of service. */
function serversInService(view: View, {service}: Service): readonly string[] {
	return view
		.all('backend-server')
		.filter((server) => server.service === service && !server.out)
		.filter(
			({failureDomain}) => !view.get('failure-domain', failureDomain)?.out,
		)
		.map(({backendServer}) => backendServer);
}

function eachOf(connections: number, daemons: number): number {
	return Math.max(1, Math.floor(connections / Math.max(1, daemons)));
}
