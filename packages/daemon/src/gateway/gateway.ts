/** The daemon as it runs on the platform: its parts, started and stopped in order. */
import {randomInt} from 'node:crypto';
import {SeededRandom, type Clock, type Random} from '@kingcuproute/core';
import {
	HttpKeyOrders,
	HttpObjectStore,
	SystemClock,
	type Deployment,
	type KeyOrders,
	type ObjectStore,
} from '@kingcuproute/platform';
import {container} from 'tsyringe';
import {Log} from '../log/log.js';
import {GatewayEntryTask} from './gateway-entry-task.js';
import {KeepersTask} from './keepers-task.js';
import {TrafficTask} from './traffic-task.js';
import {ViewTask} from './view-task.js';

const maxSeed = 2 ** 31;

export class Gateway {
	readonly #entry: GatewayEntryTask;
	readonly #keepers: KeepersTask;
	readonly #view: ViewTask;
	readonly #traffic: TrafficTask;
	readonly #log: Log;

	constructor(deployment: Deployment) {
		const parts = container.createChildContainer();
		const clock = new SystemClock();
		const {vm, failureDomain} = deployment;
		this.#log = Log.to({level: 'info', routingSample: 1}, {vm});
		parts.registerInstance('Deployment', deployment);
		parts.registerInstance<Clock>('Clock', clock);
		parts.registerInstance<Random>(
			'Random',
			new SeededRandom(randomInt(maxSeed)),
		);
		parts.registerInstance(Log, this.#log);
		parts.registerInstance<ObjectStore>(
			'Store',
			new HttpObjectStore(deployment.store.address, clock),
		);
		parts.registerInstance<KeyOrders>('KeyOrders', new HttpKeyOrders(clock));
		this.#view = parts.resolve(ViewTask);
		this.#entry = parts.resolve(GatewayEntryTask);
		this.#keepers = parts.resolve(KeepersTask);
		this.#traffic = parts.resolve(TrafficTask);
		this.#log.info('starting', {failureDomain});
	}

	async start(): Promise<void> {
		await this.#entry.start();
		await this.#view.start();
		await this.#keepers.start();
		await this.#traffic.start();
	}

	/** Gives its duties away at once, and answers callers until they are gone. */
	async stop(): Promise<void> {
		this.#log.info('stopping');
		await Promise.all([this.#keepers.stop(), this.#entry.stop()]);
		await this.#traffic.stop();
		await this.#view.stop();
		this.#log.info('stopped');
	}
}
