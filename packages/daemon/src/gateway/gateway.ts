/** The daemon as it runs on the platform: its parts, started and stopped in order. */
import {randomInt} from 'node:crypto';
import {isDeepStrictEqual} from 'node:util';
import {
	fold,
	SeededRandom,
	type Checked,
	type Clock,
	type Random,
} from '@kingcuproute/core';
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

	constructor(private readonly deployment: Deployment) {
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

	/** Takes in a settings file that has changed. What differs is logged and holds from the next start. */
	reread(settings: Checked<Deployment>): void {
		fold(
			settings,
			([{path, message}]) => {
				this.#log.warn('settings-refused', {path, message});
			},
			(next) => {
				const changed = Object.entries(next)
					.filter(([name, value]) => {
						const held = this.deployment[name as keyof Deployment];
						return !isDeepStrictEqual(held, value);
					})
					.map(([name]) => name);
				this.#log.info('settings-read', {changed: changed.join(',')});
			},
		);
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
