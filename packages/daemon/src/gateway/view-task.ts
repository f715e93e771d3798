/** What the daemon knows from the platform's store: routes, backend servers, domains out of service, range tables. */
import {
	fold,
	LapseHold,
	RouteTable,
	serversInService,
	type Checked,
	type Clock,
	type Fault,
	type ListedServer,
	type Millis,
	type Random,
	type RangeTable,
} from '@kingcuproute/core';
import {
	configKind,
	configName,
	daemonsKind,
	evacuationsKind,
	parseDaemon,
	parseListedServer,
	parseRangeTable,
	parseRoutingConfig,
	rangeTablesKind,
	serversKind,
	type ObjectStore,
	type StoredObject,
} from '@kingcuproute/platform';
import {inject, singleton} from 'tsyringe';
import {Log} from '../log/log.js';
import {Task} from '../task/task.js';
import {Topic} from '../task/topic.js';
import {KindFollower, type Objects} from './kind-follower.js';

/** Everything that routing reads, as of the newest change. */
export type GatewayView = {
	readonly routes: RouteTable | undefined;
	/** Undefined until they were read once. */
	readonly servers: readonly ListedServer[] | undefined;
	/** Those that may be given work, by service. */
	readonly inService: ReadonlyMap<string, readonly ListedServer[]>;
	readonly rangeTables: ReadonlyMap<string, RangeTable>;
	/** Daemons that share the backend servers; at least one. */
	readonly daemons: number;
	/** The VMs of those that have registered, in order. */
	readonly daemonNames: readonly string[];
};

/**
 * Servers come, warm up and leave a few at a time, and each change costs the store a
 * call of every daemon. A quarter of the shortest time in which leaving servers have to
 * be heard of.
 */
const gatherServersMs: Millis = 500;

const nothing: GatewayView = {
	routes: undefined,
	servers: undefined,
	inService: new Map(),
	rangeTables: new Map(),
	daemons: 1,
	daemonNames: [],
};

@singleton()
export class ViewTask extends Task {
	readonly view = new Topic<GatewayView>(nothing);
	readonly rangeTableObjects: KindFollower;
	readonly #servers: KindFollower;
	readonly #followers: readonly KindFollower[];
	#evacuated: ReadonlySet<string> = new Set();
	readonly #hold = new LapseHold();
	/** Object and revision of what could not be read, so that each is logged once. */
	readonly #unreadable = new Map<string, number>();

	constructor(
		@inject('Store') store: ObjectStore,
		@inject('Clock') private readonly clock: Clock,
		@inject('Random') random: Random,
		@inject(Log) private readonly log: Log,
	) {
		super();
		const follow = (kind: string) =>
			new KindFollower(kind, {store, clock, random, log});
		const [config, servers, evacuations, rangeTables, daemons] = [
			configKind,
			serversKind,
			evacuationsKind,
			rangeTablesKind,
			daemonsKind,
		].map((kind) => follow(kind));
		this.rangeTableObjects = rangeTables;
		this.#servers = servers;
		servers.gatherMs = gatherServersMs;
		// A daemon more or less changes the others' parts by little.
		daemons.slow = true;
		this.#followers = [config, servers, evacuations, rangeTables, daemons];
		config.objects.subscribe((objects) => {
			this.#configure(objects);
		});
		servers.objects.subscribe((objects) => {
			const listed = this.#read(serversKind, objects, parseListedServer);
			const {lastFailureAt} = servers;
			this.#list(this.#hold.heard(listed, lastFailureAt, clock.now()));
		});
		evacuations.objects.subscribe((objects) => {
			this.#evacuate(new Set(objects?.keys()));
		});
		rangeTables.objects.subscribe((objects) => {
			const tables = this.#read(rangeTablesKind, objects, ({name, spec}) =>
				parseRangeTable(spec).map((table) => [name, table] as const),
			);
			// A service whose table another writer spoilt keeps the last one.
			const {rangeTables: known} = this.view.value;
			this.#set({rangeTables: new Map([...known, ...tables])});
		});
		daemons.objects.subscribe((objects) => {
			const daemonNames = this.#read(daemonsKind, objects, ({name, spec}) =>
				parseDaemon(spec).map(() => name),
			).sort();
			this.#set({daemons: Math.max(1, daemonNames.length), daemonNames});
		});
	}

	/** Says whether changes of backend servers are heard of one by one: whoever keeps their keys acts on them. */
	followServersClosely(closely: boolean): void {
		this.#servers.gatherMs = closely ? 0 : gatherServersMs;
	}

	override async start(): Promise<void> {
		for (const follower of this.#followers) {
			follower.start();
		}
	}

	override async stop(): Promise<void> {
		for (const follower of this.#followers) {
			follower.stop();
		}
	}

	#configure(objects: Objects | undefined): void {
		const held = objects?.get(configName);
		if (!held) {
			return;
		}

		fold(
			parseRoutingConfig(held.spec),
			(faults) => {
				this.#complain(configKind, held, faults);
			},
			(config) => {
				const {routes} = this.view.value;
				if (routes && config.version <= routes.config.version) {
					return;
				}

				const {version, rules} = config;
				const {revision} = held;
				this.log.info('config-in-force', {
					version,
					revision,
					routes: rules.length,
				});
				this.#set({routes: new RouteTable(config)});
			},
		);
	}

	#evacuate(evacuated: ReadonlySet<string>): void {
		const failureDomains = [...evacuated].join(',');
		this.log.info('domains-out', {failureDomains});
		this.#evacuated = evacuated;
		this.#set({inService: this.#inService(this.view.value.servers ?? [])});
	}

	#list(servers: readonly ListedServer[]): void {
		this.#set({servers, inService: this.#inService(servers)});
		const {until, held} = this.#hold;
		if (until === undefined) {
			return;
		}

		const forMs = Math.round(until - this.clock.now());
		this.log.info('lapsed-servers-kept', {servers: held.join(','), forMs});
		this.clock.after(forMs, () => {
			this.#list(this.#hold.servers(this.clock.now()));
		});
	}

	#inService(servers: readonly ListedServer[]) {
		return serversInService(servers, this.#evacuated);
	}

	#read<T>(
		kind: string,
		objects: Objects | undefined,
		parse: (object: StoredObject) => Checked<T>,
	): T[] {
		const values: T[] = [];
		for (const object of objects?.values() ?? []) {
			fold(
				parse(object),
				(faults) => {
					this.#complain(kind, object, faults);
				},
				(value) => {
					values.push(value);
				},
			);
		}

		return values;
	}

	#complain(
		kind: string,
		{name, revision}: StoredObject,
		faults: readonly Fault[],
	): void {
		const object = `${kind}/${name}`;
		if (this.#unreadable.get(object) !== revision) {
			this.#unreadable.set(object, revision);
			const [{path, message}] = faults;
			this.log.warn('object-unreadable', {object, revision, path, message});
		}
	}

	#set(news: Partial<GatewayView>): void {
		this.view.publish({...this.view.value, ...news});
	}
}
