/** Runs a keeper for each service divided by key, and registers this daemon with the others. */
import {
	movedKeysShare,
	reportExpiryMs,
	serviceTarget,
	type Clock,
	type Millis,
	type Random,
} from '@kingcuproute/core';
import {
	daemonsKind,
	keepersKind,
	parseKeeper,
	type Deployment,
	type KeyOrders,
	type ObjectStore,
} from '@kingcuproute/platform';
import {inject, singleton} from 'tsyringe';
import {Log} from '../log/log.js';
import {Task} from '../task/task.js';
import {FleetTraffic} from './fleet-traffic.js';
import {GatewayMetrics} from './gateway-metrics.js';
import {KeeperLease} from './keeper-lease.js';
import {KeyKeeper} from './key-keeper.js';
import {KindFollower} from './kind-follower.js';
import {Registration} from './registration.js';
import {RelayedReports} from './relayed-reports.js';
import {ServerNotices} from './server-notices.js';
import {trafficWriteRate} from './traffic-task.js';
import {ViewTask} from './view-task.js';

/** As often as daemons report changed traffic. */
const readTrafficMs: Millis = 1000;
/** While all daemons report through peers, the store is read only in case that one no longer can. */
const readRelayedMs: Millis = 3000;

type KeptService = {readonly lease: KeeperLease; readonly keeper: KeyKeeper};

@singleton()
export class KeepersTask extends Task {
	readonly #keepers = new Map<string, KeptService>();
	readonly #leases: KindFollower;
	readonly #traffic: FleetTraffic;
	readonly #registration: Registration;
	#stopped = false;

	constructor(
		@inject(ViewTask) private readonly view: ViewTask,
		@inject(ServerNotices) private readonly notices: ServerNotices,
		@inject(RelayedReports) private readonly reports: RelayedReports,
		@inject('Store') private readonly store: ObjectStore,
		@inject('KeyOrders') private readonly orders: KeyOrders,
		@inject('Deployment') private readonly deployment: Deployment,
		@inject('Clock') private readonly clock: Clock,
		@inject('Random') random: Random,
		@inject(GatewayMetrics) private readonly metrics: GatewayMetrics,
		@inject(Log) private readonly log: Log,
	) {
		super();
		this.#traffic = new FleetTraffic({
			store,
			clock,
			log,
			relayed: reports,
			expiryMs: () =>
				reportExpiryMs(view.view.value.daemons, trafficWriteRate(deployment)),
		});
		reports.setKeepers({
			services: () => [...this.#keepers.keys()],
			isKept: (service) => this.#keepers.get(service)?.lease.isHeld ?? false,
			addressOf: (service) => this.#keeperAddress(service),
		});
		this.#registration = new Registration({
			deployment,
			store,
			clock,
			random,
			log,
			daemons: view.followers.get(daemonsKind)!,
		});
		this.#leases = new KindFollower(keepersKind, {
			store,
			clock,
			random,
			log,
			checkPace: view.checkPace,
		});
	}

	override async start(): Promise<void> {
		void this.#readTraffic();
		this.#leases.objects.subscribe((objects) => {
			for (const [service, {lease}] of this.#keepers) {
				lease.update(objects?.get(service), this.#leases.revision);
			}

			this.#startKeepers();
		});
		const {rangeTableObjects} = this.view;
		rangeTableObjects.objects.subscribe((objects) => {
			for (const [service, {keeper}] of this.#keepers) {
				keeper.update(objects?.get(service), rangeTableObjects.revision);
			}
		});
		this.view.view.subscribe(() => {
			this.#setPollingPace();
			this.#startKeepers();
		});
		this.#leases.start();
		this.#registration.start();
	}

	override async stop(): Promise<void> {
		this.#stopped = true;
		this.#leases.stop();
		await Promise.all([
			this.#registration.stop(),
			...[...this.#keepers.values()].map(async ({keeper}) => keeper.stop()),
		]);
	}

	/** Reads the fleet's traffic periodically while this daemon is a keeper. */
	async #readTraffic(): Promise<void> {
		let readAt = -Infinity;
		while (!this.#stopped) {
			const isKeeper = this.#isKeeper();
			this.view.followServersClosely(isKeeper);
			const now = this.clock.now();
			const pauseMs = this.#isTrafficRelayed() ? readRelayedMs : 0;
			if (isKeeper && now - readAt >= pauseMs) {
				readAt = now;
				await this.#traffic.read();
			}

			await this.clock.sleep(readTrafficMs);
		}
	}

	/** Whether all daemons report through peers, so that none needs to write to the store. */
	#isTrafficRelayed(): boolean {
		const {reporters} = this.reports;
		const {entries} = this.view.view.value;
		return entries.length > 0 && entries.every(({vm}) => reporters.has(vm));
	}

	#keeperAddress(service: string): string | undefined {
		const lease = this.#leases.objects.value?.get(service);
		const keeper =
			lease && parseKeeper(lease.spec).orDefault({vm: '', beat: 0});
		const {entries} = this.view.view.value;
		return entries.find(({vm}) => vm === keeper?.vm)?.address;
	}

	#setPollingPace(): void {
		const slow = !this.#isStandby();
		this.#leases.slow = slow;
		for (const {lease} of this.#keepers.values()) {
			lease.isUpdatedSlowly = slow;
		}
	}

	/** Whether this daemon watches every beat of the keepers. */
	#isStandby(): boolean {
		const {standbys} = this.view.view.value;
		return standbys.has(this.deployment.vm) || this.#isKeeper();
	}

	#isKeeper(): boolean {
		return [...this.#keepers.values()].some(({lease}) => lease.isHeld);
	}

	#startKeepers(): void {
		const {routes} = this.view.view.value;
		if (!routes || !this.view.isComplete || !this.#leases.objects.value) {
			return;
		}

		for (const {service, keyed} of routes.config.services) {
			if (keyed && !this.#keepers.has(service)) {
				this.#startKeeper(service);
			}
		}
	}

	#startKeeper(service: string): void {
		const {store, orders, clock, log, view} = this;
		const listed = () =>
			(view.view.value.servers ?? []).filter(
				(server) => server.service === service,
			);
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
			servers: () =>
				(view.view.value.inService.get(service) ?? []).filter(
					(server) => !this.notices.leaving.has(server),
				),
			onLeaving: (server) => {
				this.notices.recordLeaving(server);
			},
			traffic: () => this.#traffic.of(service),
			targetMs() {
				const {routes} = view.view.value;
				return routes && serviceTarget(routes.config, service);
			},
			onMoves: (cause, keys) => {
				this.metrics.keysMoved(service, cause, keys);
			},
			movedKeysShare: () =>
				movedKeysShare(this.deployment.movedKeysShare, view.view.value.daemons),
		});
		const {rangeTableObjects} = view;
		lease.update(
			this.#leases.objects.value?.get(service),
			this.#leases.revision,
		);
		keeper.update(
			rangeTableObjects.objects.value?.get(service),
			rangeTableObjects.revision,
		);
		this.#keepers.set(service, {lease, keeper});
		this.#setPollingPace();
		keeper.start();
	}
}
