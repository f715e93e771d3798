/** Daemons that share the key table, with a store and a mesh in memory, on a clock that the test advances. */
import 'reflect-metadata';
import {
	keyTableName,
	SeededRandom,
	type VersionedObject,
	type KeyRow,
	type Kind,
	type KindValue,
	type Member,
	type Millis,
} from '@kingcuproute/core';
import {
	handOn,
	Mesh,
	type Handler,
	type MeshError,
	type Rpc,
} from '@kingcuproute/mesh';
import {
	Platform,
	type Listing,
	type ListedVm,
	type PlatformError,
	type StopWatch,
} from '@kingcuproute/platform';
import {pino} from 'pino';
import {Left, Right, type Either} from 'purify-ts';
import {CommonSettingsTask} from '../src/fleet/common-settings-task.js';
import {ConfigTask} from '../src/fleet/config-task.js';
import {DutiesTask} from '../src/fleet/duties-task.js';
import {Identity} from '../src/fleet/identity.js';
import {MembershipTask} from '../src/fleet/membership-task.js';
import {Log} from '../src/log/log.js';
import {GoneHolders} from '../src/requests/keys/gone-holders.js';
import {KeptKeys} from '../src/requests/keys/kept-keys.js';
import {KeyTableTask} from '../src/requests/keys/key-table-task.js';
import {parseSettings, type Settings} from '../src/settings/settings.js';
import {ManualClock} from './timers.js';

/** An object listed from the start: a daemon that knows no objects does not create the key table. */
const failureDomainObject: VersionedObject<'failure-domain'> = {
	kind: 'failure-domain',
	name: 'fd-0',
	version: 1,
	value: {failureDomain: 'fd-0', region: 'main', out: false},
};

const unavailable: PlatformError = {
	kind: 'unavailable',
	message: 'not implemented',
};

/** A store that holds the key table and passes every write to all daemons. */
class KeyTableStore extends Platform {
	readonly watchers: ConfigTask[] = [];
	#stored: VersionedObject | undefined;
	#version = 1;

	override async get<K extends Kind>(): Promise<
		Either<PlatformError, VersionedObject<K>>
	> {
		return Left(unavailable);
	}

	override async list(): Promise<Either<PlatformError, Listing>> {
		return Left(unavailable);
	}

	override async create<K extends Kind>(
		kind: K,
		name: string,
		value: KindValue<K>,
	): Promise<Either<PlatformError, VersionedObject<K>>> {
		return this.#write(kind, name, 0, value);
	}

	override async update<K extends Kind>(
		kind: K,
		name: string,
		version: number,
		value: KindValue<K>,
	): Promise<Either<PlatformError, VersionedObject<K>>> {
		return this.#write(kind, name, version, value);
	}

	override async delete(): Promise<Either<PlatformError, VersionedObject>> {
		return Left(unavailable);
	}

	override watch(): StopWatch {
		return () => undefined;
	}

	override async vms(): Promise<Either<PlatformError, readonly ListedVm[]>> {
		return Left(unavailable);
	}

	async #write<K extends Kind>(
		kind: K,
		name: string,
		version: number,
		value: KindValue<K>,
	): Promise<Either<PlatformError, VersionedObject<K>>> {
		await nextTurn();
		if (version !== (this.#stored?.version ?? 0)) {
			return Left({kind: 'conflict', message: 'version is outdated'});
		}

		const stored: VersionedObject<K> = {
			kind,
			name,
			version: ++this.#version,
			value,
		};
		this.#stored = stored;
		setImmediate(() => {
			for (const watcher of this.watchers) watcher.applyObjects([stored]);
		});
		return Right(stored);
	}
}

/** Delivers calls between daemons in one process. */
class MemoryNetwork {
	/** How many of the next transfers of records are lost. */
	lostHandOns = 0;
	/** Called once a daemon has taken records, before the sender knows. */
	onHandOn: ((address: string) => void) | undefined;
	readonly #handlers = new Map<string, unknown>();

	serve<Q, A>(address: string, {path}: Rpc<Q, A>, handler: Handler<Q, A>) {
		this.#handlers.set(`${address} ${path}`, handler);
	}

	async call<Q, A>(
		address: string,
		{path}: Rpc<Q, A>,
		question: Q,
	): Promise<Either<MeshError, A>> {
		await nextTurn();
		const handler = this.#handlers.get(`${address} ${path}`) as
			Handler<Q, A> | undefined;
		const isHandOn = path === handOn.path;
		const isLost = isHandOn && this.lostHandOns-- > 0;
		if (!handler || isLost) {
			return Left({kind: 'unreachable', message: 'no answer'});
		}

		const answer = await handler(question);
		if (isHandOn) {
			this.onHandOn?.(address);
		}

		return Right(answer);
	}
}

class MemoryMesh extends Mesh {
	constructor(
		private readonly wires: MemoryNetwork,
		private readonly address: string,
	) {
		super();
	}

	override async call<Q, A>(address: string, rpc: Rpc<Q, A>, question: Q) {
		return this.wires.call(address, rpc, question);
	}

	override serve<Q, A>(rpc: Rpc<Q, A>, handler: Handler<Q, A>): void {
		this.wires.serve(this.address, rpc, handler);
	}
}

/** The parts of one daemon that keep keys. */
export class TestDaemon {
	readonly member: Member;
	readonly config: ConfigTask;
	readonly kept: KeptKeys;
	readonly keyTable: KeyTableTask;
	readonly #membership: MembershipTask;
	readonly #duties: DutiesTask;

	constructor(
		index: number,
		store: KeyTableStore,
		wires: MemoryNetwork,
		clock: ManualClock,
	) {
		const settings = settingsOf(`vm-${index}`, `fd-${index}`);
		const self = new Identity(settings.vm, settings.failureDomain, '1');
		self.setListenAddress(`${settings.vm}:1`);
		const mesh = new MemoryMesh(wires, self.address);
		const log = new Log(pino({level: 'silent'}));
		const random = new SeededRandom(index);
		const config = new ConfigTask(clock, log);
		const membership = new MembershipTask(
			mesh,
			self,
			settings,
			clock,
			random,
			log,
		);
		const duties = new DutiesTask(config, membership, log);
		const common = new CommonSettingsTask(config, store, settings, clock, log);
		this.member = self.member();
		this.config = config;
		this.kept = new KeptKeys(mesh, settings, clock);
		this.keyTable = new KeyTableTask(
			store,
			mesh,
			config,
			membership,
			common,
			duties,
			self,
			this.kept,
			new GoneHolders(store, config, membership, clock),
			settings,
			clock,
			log,
		);
		this.#membership = membership;
		this.#duties = duties;
		store.watchers.push(config);
		common.agreed.publish(true);
		config.setStoreUp(true);
		config.applyListing(1, [failureDomainObject]);
	}

	/** Sets the members that the daemon takes to be alive. */
	setMembers(members: readonly Member[]): void {
		this.#membership.members.publish(members);
		this.#duties.duties.publish({...this.#duties.duties.value, members});
	}
}

export type TestDaemons = {
	readonly daemons: readonly TestDaemon[];
	readonly clock: ManualClock;
	readonly wires: MemoryNetwork;
};

/**
 * Makes `count` daemons, each in its own failure domain, starts the first `started`, and
 * waits until these hold their key parts and may grant.
 */
export async function startDaemons(
	count: number,
	settledMs: Millis,
	started = count,
): Promise<TestDaemons> {
	const clock = new ManualClock();
	const store = new KeyTableStore();
	const wires = new MemoryNetwork();
	const daemons = Array.from(
		{length: count},
		(_, index) => new TestDaemon(index, store, wires, clock),
	);
	const first = daemons.slice(0, started);
	for (const daemon of first) {
		daemon.setMembers(first.map(({member}) => member));
		await daemon.keyTable.start();
	}

	await clock.advance(settledMs);
	return {daemons, clock, wires};
}

/** The row of a part in the key table as this daemon knows it. */
export function rowOf({config}: TestDaemon, part: number): KeyRow {
	const table = config.view.value.get('key-table', keyTableName)!;
	return table.rows[part];
}

async function nextTurn(): Promise<void> {
	await new Promise(setImmediate);
}

function settingsOf(vm: string, failureDomain: string): Settings {
	const listener = {host: '127.0.0.1', port: 0};
	return parseSettings({
		vm,
		failureDomain,
		platform: {origin: 'http://127.0.0.1:1'},
		entry: listener,
		mesh: listener,
		operator: listener,
	}).unsafeCoerce();
}
