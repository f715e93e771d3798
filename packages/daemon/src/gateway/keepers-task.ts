/** Runs a keeper for each service divided by key. */
import {type Clock, type Millis, type Random} from '@kingcuproute/core';
import {
	daemonsKind,
	keepersKind,
	shownError,
	type Deployment,
	type KeyOrders,
	type ObjectStore,
} from '@kingcuproute/platform';
import {inject, singleton} from 'tsyringe';
import {Log} from '../log/log.js';
import {Task} from '../task/task.js';
import {FleetTraffic} from './fleet-traffic.js';
import {KeeperLease} from './keeper-lease.js';
import {KeyKeeper} from './key-keeper.js';
import {KindFollower} from './kind-follower.js';
import {ViewTask} from './view-task.js';

/** Between two tries to register: all daemons try at once after an outage of the store. */
const registerRetryMs: Millis = 1000;
/** As often as daemons report. */
const readTrafficMs: Millis = 1000;
/** Daemons that watch every beat of a keeper, to follow it at once; the others look now and then. */
const standbyCount = 3;

type Kept = {readonly lease: KeeperLease; readonly keeper: KeyKeeper};

@singleton()
export class KeepersTask extends Task {
	readonly #keepers = new Map<string, Kept>();
	readonly #leases: KindFollower;
	readonly #traffic: FleetTraffic;
	#stopped = false;

	constructor(
		@inject(ViewTask) private readonly view: ViewTask,
		@inject('Store') private readonly store: ObjectStore,
		@inject('KeyOrders') private readonly orders: KeyOrders,
		@inject('Deployment') private readonly deployment: Deployment,
		@inject('Clock') private readonly clock: Clock,
		@inject('Random') private readonly random: Random,
		@inject(Log) private readonly log: Log,
	) {
		super();
		this.#traffic = new FleetTraffic(store, clock, log);
		this.#leases = new KindFollower(keepersKind, {
			store,
			clock,
			random,
			log,
		});
	}

	override async start(): Promise<void> {
		void this.#readTraffic();
		this.#leases.objects.subscribe((objects) => {
			for (const [service, {lease}] of this.#keepers) {
				lease.heard(objects?.get(service));
			}

			this.#follow();
		});
		this.view.rangeTableObjects.objects.subscribe((objects) => {
			for (const [service, {keeper}] of this.#keepers) {
				keeper.heard(objects?.get(service));
			}
		});
		this.view.view.subscribe(() => {
			this.#setPace();
			this.#follow();
		});
		this.#leases.start();
		void this.#register();
	}

	override async stop(): Promise<void> {
		this.#stopped = true;
		this.#leases.stop();
		await Promise.all([
			this.#deregister(),
			...[...this.#keepers.values()].map(async ({keeper}) => keeper.stop()),
		]);
	}

	/** Follows the fleet's traffic while this daemon keeps keys. */
	async #readTraffic(): Promise<void> {
		while (!this.#stopped) {
			const isKeeper = this.#isKeeper();
			this.view.followServersClosely(isKeeper);
			if (isKeeper) {
				await this.#traffic.read();
			}

			await this.clock.sleep(readTrafficMs);
		}
	}

	#setPace(): void {
		const slow = !this.#standsBy();
		this.#leases.slow = slow;
		for (const {lease} of this.#keepers.values()) {
			lease.patient = slow;
		}
	}

	/** Whether this daemon is one of those that watch the keepers' beats. */
	#standsBy(): boolean {
		const {vm} = this.deployment;
		const {daemonNames} = this.view.view.value;
		const at = daemonNames.indexOf(vm);
		return (at !== -1 && at < standbyCount) || this.#isKeeper();
	}

	#isKeeper(): boolean {
		return [...this.#keepers.values()].some(({lease}) => lease.isHeld);
	}

	/** Enters this daemon among those that share the backend servers. */
	async #register(): Promise<void> {
		const {vm, failureDomain} = this.deployment;
		while (!this.#stopped) {
			const written = await this.store.write({
				kind: daemonsKind,
				name: vm,
				revision: undefined,
				spec: {failureDomain},
			});
			const error = written.isLeft() ? written.extract() : undefined;
			// The entry of this VM's former run serves as well.
			if (!error || error.kind === 'conflict') {
				return;
			}

			this.log.warn('not-registered', {error: shownError(error)});
			await this.clock.sleep(this.random.jitter(registerRetryMs));
		}
	}

	async #deregister(): Promise<void> {
		const removed = await this.store.remove(daemonsKind, this.deployment.vm);
		removed.ifLeft((error) => {
			this.log.warn('not-deregistered', {error: shownError(error)});
		});
	}

	#follow(): void {
		const {routes, servers} = this.view.view.value;
		if (!routes || !servers || !this.#leases.objects.value) {
			return;
		}

		for (const {service, keyed} of routes.config.services) {
			if (keyed && !this.#keepers.has(service)) {
				this.#keep(service);
			}
		}
	}

	#keep(service: string): void {
		const {store, orders, clock, log, view} = this;
		const listed = () =>
			(view.view.value.servers ?? []).filter((one) => one.service === service);
		const lease = new KeeperLease(service, this.deployment.vm, {
			store,
			clock,
			log,
		});
		const keeper = new KeyKeeper({
			service,
			lease,
			store,
			orders,
			clock,
			log,
			listed,
			servers: () => view.view.value.inService.get(service) ?? [],
			traffic: () => this.#traffic.of(service),
		});
		lease.heard(this.#leases.objects.value?.get(service));
		keeper.heard(view.rangeTableObjects.objects.value?.get(service));
		this.#keepers.set(service, {lease, keeper});
		this.#setPace();
		keeper.start();
	}
}
