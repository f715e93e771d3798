/** The daemon's view of the platform's store: routes, backend servers, domains out of service and range tables. */
import {
	CheckPace,
	chooseStandbys,
	eraOf,
	FleetSize,
	fold,
	laterTable,
	LapseHold,
	revisionText,
	RouteTable,
	serversByService,
	type Clock,
	type ListedServer,
	type Millis,
	type PeerEntry,
	type Random,
	type RangeTable,
} from '@kingcuproute/core';
import {
	configKind,
	configName,
	crashReportsKind,
	daemonsKind,
	evacuationsKind,
	isOfItsEra,
	parseDaemon,
	parseListedServer,
	parseRangeTable,
	parseRoutingConfig,
	rangeTablesKind,
	serversKind,
	type Deployment,
} from '@kingcuproute/platform';
import {inject, singleton} from 'tsyringe';
import {Log} from '../log/log.js';
import {Task} from '../task/task.js';
import {Topic} from '../task/topic.js';
import {GatewayMetrics} from './gateway-metrics.js';
import {KindFollower, type Objects} from './kind-follower.js';
import {ObjectReader} from './object-reader.js';
import {readingFields, type Reading} from './reading.js';
import {RelayedStore} from './relayed-store.js';
import {StoreContact} from './store-contact.js';

/** All state that routing reads, as of the newest change. */
export type GatewayView = {
	readonly routes: RouteTable | undefined;
	/** Undefined until they have been read once. */
	readonly servers: readonly ListedServer[] | undefined;
	/** The servers in failure domains in service, by service. Some may be leaving. */
	readonly inService: ReadonlyMap<string, readonly ListedServer[]>;
	/** The failure domains out of service. */
	readonly domainsOut: ReadonlySet<string>;
	readonly rangeTables: ReadonlyMap<string, RangeTable>;
	/** Number of daemons that share the backend servers; at least one. */
	readonly daemons: number;
	/** The daemons that have registered, as far as their entries can be read. */
	readonly entries: readonly PeerEntry[];
	/** The VMs of the daemons that watch every beat of the keepers. */
	readonly standbys: ReadonlySet<string>;
};

/**
 * For how long changes of servers are gathered, as a share of the time within which
 * daemons have to stop using a leaving server. Servers come, warm up and leave a few at a
 * time, and each change costs the store a call from every daemon.
 */
const gatherServersShare = 0.3;
/**
 * For how long changes of range tables are gathered: as long as a keeper waits between two
 * plans. A request that goes to a former owner meanwhile is declined there, which ends the
 * pause.
 */
const gatherTablesMs: Millis = 2000;
/** The shortest such pause: as long as a keeper gathers moves. */
const minGatherTablesMs: Millis = 250;
/** Several daemons report a crash at about the same time. */
const gatherReportsMs: Millis = 1000;
/** Entries that no call has confirmed for this long are not current: a long poll is checked, and the check answered or given up, within it. */
const maxCurrentMs: Millis = 6500;

const emptyView: GatewayView = {
	routes: undefined,
	servers: undefined,
	inService: new Map(),
	domainsOut: new Set(),
	rangeTables: new Map(),
	daemons: 1,
	entries: [],
	standbys: new Set(),
};

@singleton()
export class ViewTask extends Task {
	readonly view = new Topic<GatewayView>(emptyView);
	readonly rangeTableObjects: KindFollower;
	readonly crashReportObjects: KindFollower;
	/** By kind of object. */
	readonly followers: ReadonlyMap<string, KindFollower>;
	/** For the followers of this daemon, also those of other tasks. */
	readonly checkPace: CheckPace;
	readonly #servers: KindFollower;
	readonly #config: KindFollower;
	readonly #revokeMs: Millis;
	readonly #gatherServersMs: Millis;
	#evacuated: ReadonlySet<string> = new Set();
	/** The era in which the entries of servers were last read. */
	#serversEra: number | undefined;
	readonly #lapseHold = new LapseHold();
	readonly #fleetSize = new FleetSize();
	readonly #reader: ObjectReader;

	constructor(
		@inject(RelayedStore) private readonly store: RelayedStore,
		@inject(StoreContact) private readonly contact: StoreContact,
		@inject('Deployment') {bounds}: Deployment,
		@inject('Clock') private readonly clock: Clock,
		@inject('Random') random: Random,
		@inject(GatewayMetrics) metrics: GatewayMetrics,
		@inject(Log) private readonly log: Log,
	) {
		super();
		this.#reader = new ObjectReader(metrics, log);
		this.checkPace = CheckPace.within(bounds.outdatedMs);
		const {checkPace} = this;
		const follow = (kind: string) =>
			new KindFollower(kind, {store, clock, random, log, checkPace});
		const [config, servers, evacuations, rangeTables, daemons, crashReports] = [
			configKind,
			serversKind,
			evacuationsKind,
			rangeTablesKind,
			daemonsKind,
			crashReportsKind,
		].map((kind) => follow(kind));
		this.rangeTableObjects = rangeTables;
		this.crashReportObjects = crashReports;
		crashReports.slow = true;
		crashReports.gatherMs = gatherReportsMs;
		this.#servers = servers;
		this.#config = config;
		this.#revokeMs = bounds.revokeMs;
		this.#gatherServersMs = bounds.drainMs * gatherServersShare;
		servers.gatherMs = this.#gatherServersMs;
		rangeTables.gatherMs = gatherTablesMs;
		rangeTables.minGatherMs = minGatherTablesMs;
		// One daemon more or less changes the other daemons' shares only a little.
		daemons.slow = true;
		this.followers = new Map([
			[configKind, config],
			[serversKind, servers],
			[evacuationsKind, evacuations],
			[rangeTablesKind, rangeTables],
			[daemonsKind, daemons],
			[crashReportsKind, crashReports],
		]);
		config.objects.subscribe((objects) => {
			this.#updateConfig(objects);
		});
		servers.objects.subscribe((objects) => {
			const listed = this.#reader.readAll(
				serversKind,
				objects,
				parseListedServer,
			);
			this.#noteRestore(servers.revision);
			const {returnedAt} = contact.absence;
			this.#updateServers(
				this.#lapseHold.update(listed, returnedAt, clock.now()),
			);
		});
		evacuations.objects.subscribe((objects) => {
			this.#updateEvacuated(new Set(objects?.keys()));
		});
		rangeTables.objects.subscribe((objects) => {
			const tables = this.#reader.readAll(rangeTablesKind, objects, (object) =>
				parseRangeTable(object.spec).map(
					(table) => [object.name, table, isOfItsEra(object)] as const,
				),
			);
			// A service whose table was overwritten with an invalid one keeps the last valid table.
			const {rangeTables: known} = this.view.value;
			const next = tables.map(([service, table, isPresent]) => {
				const before = known.get(service);
				return [
					service,
					isPresent || !before ? table : laterTable(before, table),
				] as const;
			});
			this.#update({rangeTables: new Map([...known, ...next])});
		});
		daemons.objects.subscribe((objects) => {
			const entries = this.#reader.readAll(
				daemonsKind,
				objects,
				({name, spec}) =>
					parseDaemon(spec).map((entry) => ({vm: name, ...entry})),
			);
			// An entry that can't be read still stands for a daemon that needs its share.
			const count = objects?.size ?? 0;
			this.#update({
				daemons: this.#fleetSize.update(count, clock.now()),
				entries,
				standbys: chooseStandbys(entries),
			});
		});
	}

	/**
	 * Whether all that routing rests on has been read once. Until then a failure domain out
	 * of service would pass for one in service, and this daemon for the only one.
	 */
	get isComplete(): boolean {
		return (
			this.view.value.routes !== undefined &&
			[...this.followers.values()].every(
				({objects}) => objects.value !== undefined,
			)
		);
	}

	/** When a call for the entries of backend servers last failed; -Infinity if none has. */
	get serversFailedAt(): Millis {
		return this.#servers.lastFailureAt;
	}

	/** How the entries of backend servers were last read. */
	get serversReading(): Reading {
		return this.#servers.reading;
	}

	/** When an answered call last showed that the entries of backend servers are current; -Infinity if none has. */
	get serversReadAt(): Millis {
		return this.#servers.lastSuccessAt;
	}

	/**
	 * Whether the entries of backend servers show their present state. No longer once a
	 * call to the store has failed: whether this daemon or the store is cut off, the
	 * entries of servers may have changed.
	 */
	get isServersCurrent(): boolean {
		const {lastSuccessAt} = this.#servers;
		return (
			lastSuccessAt > this.contact.lastFailureAt &&
			this.clock.now() - lastSuccessAt < maxCurrentMs
		);
	}

	/**
	 * Whether API keys may have been revoked long enough ago without this daemon's
	 * knowledge that it must accept none: a call to the store has failed since the
	 * configuration was last confirmed, and the settings bound that time.
	 */
	get mayKeysBeOutdated(): boolean {
		const {lastSuccessAt} = this.#config;
		return (
			this.contact.lastFailureAt > lastSuccessAt &&
			this.clock.now() - lastSuccessAt > this.#revokeMs
		);
	}

	/** To be called when a key has no owner in the range tables, or its owner did not answer a request or does not hold it. */
	suspectRangeTables(): void {
		this.rangeTableObjects.hurry();
		this.store.hurry(rangeTablesKind);
	}

	/** Sets whether changes of backend servers arrive without delay: the keeper of their keys acts on each. */
	followServersClosely(closely: boolean): void {
		this.#servers.gatherMs = closely ? 0 : this.#gatherServersMs;
		this.store.setDirect(serversKind, closely);
	}

	override async start(): Promise<void> {
		for (const follower of this.followers.values()) {
			follower.start();
		}
	}

	override async stop(): Promise<void> {
		for (const follower of this.followers.values()) {
			follower.stop();
		}
	}

	/** Notes whether entries have been read as of a later era than before. */
	#noteRestore(revision = 0): void {
		const era = eraOf(revision);
		if (this.#serversEra !== undefined && era > this.#serversEra) {
			this.contact.absence.restored(this.clock.now());
			this.log.warn('store-restored', {revision: revisionText(revision)});
		}

		this.#serversEra = era;
	}

	#updateConfig(objects: Objects | undefined): void {
		const object = objects?.get(configName);
		if (!object) {
			return;
		}

		fold(
			parseRoutingConfig(object.spec),
			(faults) => {
				this.#reader.logUnreadable(configKind, object, faults);
			},
			({config, faults}) => {
				const {routes} = this.view.value;
				if (routes && config.version <= routes.config.version) {
					return;
				}

				this.#reader.logReplacedParts(configKind, object, faults);

				const {version, rules} = config;
				const revision = revisionText(object.revision);
				this.log.info('config-in-force', {
					version,
					revision,
					routes: rules.length,
					...readingFields(this.#config.reading, this.clock.now()),
				});
				this.#update({routes: new RouteTable(config)});
			},
		);
	}

	#updateEvacuated(evacuated: ReadonlySet<string>): void {
		const failureDomains = [...evacuated].join(',');
		this.log.info('domains-out', {failureDomains});
		this.#evacuated = evacuated;
		this.#update({
			domainsOut: evacuated,
			inService: this.#inService(this.view.value.servers ?? []),
		});
	}

	#updateServers(servers: readonly ListedServer[]): void {
		this.#update({servers, inService: this.#inService(servers)});
		const {until, held} = this.#lapseHold;
		if (until === undefined) {
			return;
		}

		const forMs = Math.round(until - this.clock.now());
		this.log.info('lapsed-servers-kept', {servers: held.join(','), forMs});
		this.clock.after(forMs, () => {
			this.#updateServers(this.#lapseHold.servers(this.clock.now()));
		});
	}

	#inService(servers: readonly ListedServer[]) {
		return serversByService(servers, this.#evacuated);
	}

	#update(changes: Partial<GatewayView>): void {
		this.view.publish({...this.view.value, ...changes});
	}
}
