/** The daemon as it runs on the platform. Creates its tasks and starts and stops them in order. */
import {randomInt} from 'node:crypto';
import {isDeepStrictEqual} from 'node:util';
import {
	fold,
	SeededRandom,
	type Validated,
	type Clock,
	type Random,
} from '@kingcuproute/core';
import {
	HttpHealthChecks,
	HttpKeyOrders,
	HttpObjectStore,
	SystemClock,
	type Deployment,
	type HealthChecks,
	type KeyOrders,
	type ObjectStore,
} from '@kingcuproute/platform';
import {container} from 'tsyringe';
import {Log} from '../log/log.js';
import {logUnexpectedErrors} from '../log/unexpected-errors.js';
import {LoopDelay} from '../task/loop-delay.js';
import {CustomerQuotas} from './customer-quotas.js';
import {CallLog} from './call-log.js';
import {type FleetReports} from './fleet-reports.js';
import {GatewayEntryTask} from './gateway-entry-task.js';
import {GatewayMetrics} from './gateway-metrics.js';
import {KeepersTask} from './keepers-task.js';
import {ObservedStore} from './observed-store.js';
import {RelayedReports} from './relayed-reports.js';
import {RelayedStore} from './relayed-store.js';
import {RelayTask} from './relay-task.js';
import {StoreContact} from './store-contact.js';
import {TrafficTask} from './traffic-task.js';
import {ViewTask} from './view-task.js';

const maxSeed = 2 ** 31;

export class Gateway {
	readonly #entry: GatewayEntryTask;
	readonly #keepers: KeepersTask;
	readonly #view: ViewTask;
	readonly #traffic: TrafficTask;
	readonly #relay: RelayTask;
	readonly #quotas: CustomerQuotas;
	readonly #log: Log;
	readonly #loopDelay: LoopDelay;
	readonly #callLog: CallLog;

	constructor(private readonly deployment: Deployment) {
		const child = container.createChildContainer();
		const clock = new SystemClock();
		const {vm, failureDomain} = deployment;
		this.#log = Log.to(
			{level: 'info', routingSample: 1},
			{vm},
			undefined,
			clock,
		);
		child.registerInstance('Deployment', deployment);
		child.registerInstance<Clock>('Clock', clock);
		const random = new SeededRandom(randomInt(maxSeed));
		child.registerInstance<Random>('Random', random);
		child.registerInstance(Log, this.#log);
		const metrics = child.resolve(GatewayMetrics);
		const contact = child.resolve(StoreContact);
		const store = new ObservedStore(
			new HttpObjectStore(deployment.store.address, clock),
			metrics,
			contact,
		);
		child.registerInstance<ObjectStore>('Store', store);
		child.registerInstance(
			RelayedStore,
			new RelayedStore({
				store,
				contact,
				clock,
				random,
				metrics,
				log: this.#log,
				startsStale: deployment.peer !== undefined,
			}),
		);
		child.registerInstance<HealthChecks>(
			'HealthChecks',
			new HttpHealthChecks(clock),
		);
		child.registerInstance<KeyOrders>('KeyOrders', new HttpKeyOrders(clock));
		child.register<FleetReports>('FleetReports', {
			useFactory: (resolver) => resolver.resolve(RelayedReports),
		});
		this.#view = child.resolve(ViewTask);
		this.#quotas = child.resolve(CustomerQuotas);
		this.#entry = child.resolve(GatewayEntryTask);
		this.#keepers = child.resolve(KeepersTask);
		this.#traffic = child.resolve(TrafficTask);
		this.#relay = child.resolve(RelayTask);
		this.#loopDelay = LoopDelay.watch(clock, this.#log);
		this.#callLog = CallLog.watch(clock, this.#log, metrics);
		this.#log.info('starting', {failureDomain});
	}

	async start(): Promise<void> {
		await this.#entry.start();
		await this.#relay.start();
		await this.#quotas.start();
		await this.#view.start();
		await this.#keepers.start();
		await this.#traffic.start();
		logUnexpectedErrors(this.#log);
	}

	/** Logs which settings of a changed settings file differ; they take effect at the next start. */
	logChangedSettings(settings: Validated<Deployment>): void {
		fold(
			settings,
			([{path, message}]) => {
				this.#log.warn('settings-refused', {path, message});
			},
			(next) => {
				const changed = Object.entries(next)
					.filter(([name, value]) => {
						const current = this.deployment[name as keyof Deployment];
						return !isDeepStrictEqual(current, value);
					})
					.map(([name]) => name);
				this.#log.info('settings-read', {changed: changed.join(',')});
			},
		);
	}

	/** Gives up its duties at once, and keeps answering callers until none are left. */
	async stop(): Promise<void> {
		this.#log.info('stopping');
		await Promise.all([this.#keepers.stop(), this.#entry.stop()]);
		await this.#traffic.stop();
		await this.#quotas.stop();
		await this.#view.stop();
		await this.#relay.stop();
		this.#loopDelay.stop();
		this.#callLog.stop();
		this.#log.info('stopped');
	}
}
