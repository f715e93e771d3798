/**
 * Carries out the core's decisions about the backend servers that this daemon
 * guards or is successor for. Owns their states and the connections to them.
 */
import {
	Clock,
	Random,
	type Cancel,
	type GuardianAction,
	type GuardianState,
	type GuardianStatus,
	type Millis,
	type Succession,
} from '@kingcuproute/core';
import {Mesh} from '@kingcuproute/mesh';
import {Platform} from '@kingcuproute/platform';
import {Registry} from 'prom-client';
import {inject, singleton} from 'tsyringe';
import {CommonSettingsTask} from '../fleet/common-settings-task.js';
import {ConfigTask} from '../fleet/config-task.js';
import {DutiesTask} from '../fleet/duties-task.js';
import {Identity} from '../fleet/identity.js';
import {MembershipTask} from '../fleet/membership-task.js';
import {Log} from '../log/log.js';
import {ServerHealth} from '../placement/server-health.js';
import {type Settings} from '../settings/settings.js';
import {Task} from '../task/task.js';
import {Topic} from '../task/topic.js';
import {Counterparts} from './counterparts.js';
import {GuardedServers} from './guarded-servers.js';
import {GuardianLog} from './guardian-log.js';
import {GuardianMetrics} from './guardian-metrics.js';
import {KnownPeers} from './known-peers.js';
import {OrderCalls} from './order-calls.js';
import {ReleaseExchange} from './release-exchange.js';
import {TableWriters} from './table-writers.js';

const statusMs: Millis = 250;

@singleton()
export class GuardianTask extends Task {
	/** The servers that this daemon guards or is successor for, and what blocks them. */
	readonly status = new Topic<readonly GuardianStatus[]>([]);
	readonly #servers: GuardedServers;
	readonly #counterparts: Counterparts;
	readonly #metrics: GuardianMetrics;
	readonly #decisions: GuardianLog;
	readonly #calls: OrderCalls;
	readonly #releases: ReleaseExchange;
	readonly #writers: TableWriters;
	readonly #peers: KnownPeers;
	#cancels: readonly Cancel[] = [];

	constructor(
		@inject('Platform') private readonly platform: Platform,
		@inject(ConfigTask) private readonly config: ConfigTask,
		@inject(MembershipTask) private readonly membership: MembershipTask,
		@inject(CommonSettingsTask) private readonly common: CommonSettingsTask,
		@inject(DutiesTask) duties: DutiesTask,
		@inject('Mesh') private readonly mesh: Mesh,
		@inject(Identity) private readonly self: Identity,
		@inject(ServerHealth) private readonly health: ServerHealth,
		@inject('Settings') private readonly settings: Settings,
		@inject('Clock') private readonly clock: Clock,
		@inject('Random') private readonly random: Random,
		@inject(Registry) registry: Registry,
		@inject(Log) private readonly log: Log,
	) {
		super();
		this.#servers = new GuardedServers(self.id, settings.ownership);
		this.#metrics = new GuardianMetrics(registry);
		this.#decisions = new GuardianLog(log, this.#metrics);
		this.#peers = new KnownPeers(self, membership.members, duties.duties);
		this.#writers = this.#makeWriters();
		this.#counterparts = this.#makeCounterparts();
		this.#calls = this.#makeCalls();
		this.#releases = this.#makeReleases();
	}

	override async start(): Promise<void> {
		const {tickMs, beatMs} = this.settings.ownership;
		this.#applyView();
		this.#cancels = [
			this.config.view.subscribe(() => {
				this.#applyView();
			}),
			this.clock.repeat(tickMs, () => {
				this.#tick();
			}),
			this.clock.repeat(beatMs, () => {
				this.#counterparts.beat();
			}),
			this.clock.repeat(statusMs, () => {
				this.#publishStatus();
			}),
		];
	}

	override async stop(): Promise<void> {
		for (const cancel of this.#cancels) {
			cancel();
		}

		this.#calls.close();
	}

	#applyView(): void {
		this.#servers.applyView(this.config.view.value, this.clock.now());
	}

	#tick(): void {
		const now = this.clock.now();
		this.#peers.update(this.membership.gone.value, now);
		for (const state of this.#servers.all) {
			this.health.update(state, now);
			this.#decide(state.server);
		}
	}

	#decide(server: string): void {
		const state = this.#servers.get(server);
		if (!state || !this.common.agreed.value) {
			return;
		}

		const {service} = state;
		const {heardAt} = this.#counterparts;
		const peers = this.#peers.of(server, this.config.view.value, heardAt);
		const writer = this.#writers.of(service);
		const storeUp = this.config.store.value.up && writer.storeUp;
		const now = this.clock.now();
		for (const action of this.#servers.decide(server, {peers, storeUp}, now)) {
			this.#decisions.logDecision(state, action);
			this.#carryOut(state, action, now);
		}
	}

	#carryOut(
		{service, server}: GuardianState,
		action: GuardianAction,
		now: Millis,
	): void {
		switch (action.kind) {
			case 'read': {
				void this.#calls.send(server, undefined, now);
				break;
			}

			case 'order': {
				void this.#calls.send(server, action.order, now);
				break;
			}

			case 'ask-release': {
				const {of, term, plan} = action;
				void this.#releases.ask({service, server, term}, of, plan);
				break;
			}

			case 'edit': {
				this.#writers.of(service).enqueue(action.edit);
				break;
			}

			case 'publish': {
				this.#publish(action.succession);
				break;
			}

			case 'rank-takeover': {
				break;
			}
		}
	}

	#publish(succession: Succession): void {
		const {server, term} = succession;
		this.config.publish([
			{kind: 'succession', name: server, version: term, value: succession},
		]);
	}

	#makeWriters(): TableWriters {
		const {platform, config, clock, random, log} = this;
		return new TableWriters({
			daemon: this.self.id,
			platform,
			config,
			clock,
			random,
			log,
			onSettled: (edit, outcome) => {
				this.#decisions.logOutcome(edit, outcome);
				this.#servers.applyEvent(edit.server, {kind: 'settled', edit});
			},
		});
	}

	#makeCalls(): OrderCalls {
		const {clock, log, config} = this;
		const {callMs, localAddress} = this.settings.ownership;
		return new OrderCalls({
			options: {callMs, localAddress},
			clock,
			log,
			view: () => config.view.value,
			onAnswer: (server, {taken, ...answer}) => {
				if (taken) {
					this.#metrics.renewals.inc();
				}

				const event = {...answer, taken, now: clock.now()};
				this.#servers.applyEvent(server, {kind: 'answer', ...event});
				this.#decide(server);
			},
		});
	}

	#makeReleases(): ReleaseExchange {
		const {mesh, clock, log, config} = this;
		return new ReleaseExchange({
			self: this.self.id,
			mesh,
			clock,
			log,
			config,
			servers: this.#servers,
			answerTimeoutMs: this.settings.ownership.silenceMs,
			addressOf: (daemon) => this.#peers.addressOf(daemon),
			onConsent: (server) => {
				this.#decide(server);
			},
			onRequest: () => {
				this.#applyView();
			},
		});
	}

	#makeCounterparts(): Counterparts {
		const {mesh, clock} = this;
		return new Counterparts({
			self: this.self.id,
			mesh,
			clock,
			silenceMs: this.settings.ownership.silenceMs,
			addressOf: (daemon) => this.#peers.addressOf(daemon),
			charges: () => this.#servers.charges(),
			grantsLoan: (from, {server, term}) =>
				this.common.agreed.value &&
				this.#servers.grantLoan(server, {from, term}, clock.now()),
			ready: ({server, term}, askedAt) => {
				this.#servers.applyEvent(server, {kind: 'loan', term, askedAt});
			},
		});
	}

	#publishStatus(): void {
		this.#counterparts.forget();
		const status = this.#servers.status(this.clock.now());
		for (const each of status) {
			this.#decisions.logBlocked(each);
		}

		const guarded = status.filter(({rank}) => rank === 0);
		const leased = guarded.filter(({leaseLeftMs}) => leaseLeftMs > 0);
		this.#metrics.leases.set(leased.length);
		const blocked = status.filter((each) => each.blocked !== undefined);
		this.#metrics.blocked.set(blocked.length);
		this.status.publish(status);
	}
}
