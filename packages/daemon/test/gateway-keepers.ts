/** Daemons that keep the keys of one service, over a store and backend servers in memory, on a clock that a test moves. */
import {
	type KeyRange,
	type KeyTraffic,
	type ListedServer,
	type Millis,
} from '@kingcuproute/core';
import {
	KeyOrders,
	ObjectStore,
	type Addressee,
	type ObjectError,
	type ObjectWrite,
	type OrderEnd,
	type StoredObject,
} from '@kingcuproute/platform';
import {Left, Right, type Either} from 'purify-ts';
import {KeeperLease} from '../src/gateway/keeper-lease.js';
import {KeyKeeper} from '../src/gateway/key-keeper.js';
import {Log} from '../src/log/log.js';
import {Timers} from './timers.js';

type Rev = {readonly revision: number; readonly spec: unknown};

/** Objects in memory, with conditional writes; a watch is replaced by calls of `heard`. */
class MemoryStore extends ObjectStore {
	readonly objects = new Map<string, Rev>();
	/** Daemons that do not reach the store. */
	readonly cut = new Set<string>();
	/** Daemons whose writes are done and get no answer. */
	readonly unanswered = new Set<string>();
	/** How long a write that is done waits for its answer. */
	answerMs: Millis = 0;
	#revision = 1;

	constructor(
		private readonly vm: string,
		private readonly timers: Timers,
		private readonly shared?: MemoryStore,
	) {
		super();
	}

	override async list(kind: string) {
		const objects = [...this.#all()]
			.filter(([path]) => path.startsWith(`${kind}/`))
			.map(([path, held]) => stored(path, held));
		return Right({revision: 0, objects});
	}

	override async watch(): Promise<Either<ObjectError, never>> {
		return Left({kind: 'expired'});
	}

	override async write({kind, name, revision, spec}: ObjectWrite) {
		const owner = this.shared ?? this;
		if (owner.cut.has(this.vm)) {
			return Left<ObjectError>({kind: 'unknown', message: 'cut off'});
		}

		const path = `${kind}/${name}`;
		const held = owner.objects.get(path);
		if (held?.revision !== revision) {
			return Left<ObjectError>({
				kind: 'conflict',
				held: held && stored(path, held),
			});
		}

		const next = owner.put(path, spec);
		await this.timers.sleep(owner.answerMs);
		return owner.unanswered.has(this.vm)
			? Left<ObjectError>({kind: 'unknown', message: 'no answer'})
			: Right(stored(path, next));
	}

	put(path: string, spec: unknown): Rev {
		this.#revision++;
		const next = {revision: this.#revision, spec};
		this.objects.set(path, next);
		return next;
	}

	override async remove() {
		return Right(undefined);
	}

	#all() {
		return (this.shared ?? this).objects;
	}
}

function stored(path: string, {revision, spec}: Rev): StoredObject {
	const name = path.slice(path.indexOf('/') + 1);
	return {name, revision, spec, status: undefined, rest: {}};
}

type FencedKeys = Pick<KeyRange, 'from' | 'to' | 'fence'>;

type Hold = FencedKeys & {readonly until: Millis};

/**
 * Backend servers that keep what they are granted and refuse a grant once they have
 * seen a higher fence on one of its keys; a silent one answers nothing and keeps its
 * leases.
 */
class HoldingServers extends KeyOrders {
	readonly holds = new Map<string, Hold[]>();
	/** Servers that leave grants unanswered and carry them out after this time. */
	readonly late = new Map<string, Millis>();
	readonly silent = new Set<string>();
	/** Servers that take grants and do not answer them. */
	readonly unanswered = new Set<string>();
	/** How long a server takes to answer a release. */
	readonly releaseMs = new Map<string, Millis>();
	/** What runs at an address in place of the server of that name. */
	readonly replaced = new Map<string, string>();
	/** Grants taken, by address: their fences stay seen when the keys are gone. */
	readonly #taken = new Map<string, FencedKeys[]>();

	constructor(private readonly timers: Timers) {
		super();
	}

	override async grant(
		server: Addressee,
		{from, to, fence, leaseMs}: Parameters<KeyOrders['grant']>[1],
		timeoutMs: Millis,
	): Promise<OrderEnd> {
		const untaken = await this.#untaken(server, timeoutMs);
		if (untaken) {
			return untaken;
		}

		const {address} = server;
		const hold = {from, to, fence, until: this.timers.now() + leaseMs};
		const lateMs = this.late.get(address);
		if (lateMs !== undefined) {
			this.timers.after(lateMs, () => this.#take(address, hold));
			await this.timers.sleep(timeoutMs);
			return {kind: 'unknown', message: 'no answer'};
		}

		if (!this.#take(address, hold)) {
			return {kind: 'outdated'};
		}

		if (this.unanswered.has(address)) {
			await this.timers.sleep(timeoutMs);
			return {kind: 'unknown', message: 'no answer'};
		}

		return {kind: 'taken', handover: undefined};
	}

	override async release(
		server: Addressee,
		{from, to}: Parameters<KeyOrders['release']>[1],
		timeoutMs: Millis,
	): Promise<OrderEnd> {
		const untaken = await this.#untaken(server, timeoutMs);
		if (untaken) {
			return untaken;
		}

		const {address} = server;
		await this.timers.sleep(this.releaseMs.get(address) ?? 0);
		this.holds.set(address, this.#rest(address, from, to));
		return {kind: 'taken', handover: `from ${address}`};
	}

	/** Servers that hold `key` now. */
	holding(key: number): readonly string[] {
		const now = this.timers.now();
		return [...this.holds]
			.filter(([, holds]) =>
				holds.some(
					({from, to, until}) => from <= key && key <= to && now < until,
				),
			)
			.map(([address]) => address);
	}

	/** Why a server does not take an order; undefined where it does. */
	async #untaken(
		{address, backendServer}: Addressee,
		timeoutMs: Millis,
	): Promise<OrderEnd | undefined> {
		if (this.silent.has(address)) {
			await this.timers.sleep(timeoutMs);
			return {kind: 'unknown', message: 'no answer'};
		}

		const there = this.replaced.get(address) ?? backendServer;
		return there === backendServer ? undefined : {kind: 'ended'};
	}

	/** False where a higher fence was seen on one of the keys. */
	#take(address: string, hold: Hold): boolean {
		const {from, to, fence} = hold;
		const taken = this.#taken.get(address) ?? [];
		if (
			taken.some((one) => one.from <= to && from <= one.to && one.fence > fence)
		) {
			return false;
		}

		this.#taken.set(address, [...taken, {from, to, fence}]);
		this.holds.set(address, [...this.#rest(address, from, to), hold]);
		return true;
	}

	#rest(address: string, from: number, to: number): Hold[] {
		return (this.holds.get(address) ?? []).flatMap((hold) =>
			to < hold.from || from > hold.to
				? [hold]
				: [
						{...hold, to: from - 1},
						{...hold, from: to + 1},
					].filter((part) => part.from <= part.to),
		);
	}
}

function server(backendServer: string): ListedServer {
	return {
		backendServer,
		startedAt: 1,
		service: 's',
		address: backendServer,
		failureDomain: 'a',
		slots: 3,
		draining: false,
		coldMs: 0,
	};
}

/** Daemons that keep the keys of one service of `servers`, each told what the store holds. */
export function fleet(vms: readonly string[], names: readonly string[]) {
	const timers = new Timers();
	const shared = new MemoryStore('', timers);
	const orders = new HoldingServers(timers);
	let servers = names.map((name) => server(name));
	let listed = servers;
	let traffic: KeyTraffic = {rates: new Map(), runMs: new Map()};
	const log = Log.to({level: 'silent', routingSample: 1}, {});
	const daemons = vms.map((vm) => {
		const store = new MemoryStore(vm, timers, shared);
		const lease = new KeeperLease('s', vm, {store, clock: timers, log});
		const keeper = new KeyKeeper({
			service: 's',
			lease,
			store,
			orders,
			clock: timers,
			log,
			servers: () => servers,
			listed: () => listed,
			traffic: () => traffic,
		});
		keeper.start();
		return {vm, lease, keeper};
	});
	const tell = () => {
		for (const {vm, lease, keeper} of daemons) {
			if (!shared.cut.has(vm)) {
				lease.heard(held('kingcuproute-keepers/s'));
				keeper.heard(held('kingcuproute-range-tables/s'));
			}
		}
	};

	const held = (path: string) => {
		const found = shared.objects.get(path);
		return found && stored(path, found);
	};

	return {
		timers,
		orders,
		daemons,
		cut: shared.cut,
		unanswered: shared.unanswered,
		shared,
		put: (path: string, spec: unknown) => shared.put(path, spec),
		list(next: readonly string[], leaving: readonly string[] = []) {
			servers = next.map((name) => server(name));
			listed = [...servers, ...leaving.map((name) => server(name))];
		},
		see(next: KeyTraffic) {
			traffic = next;
		},
		/** Lets time pass and checks at each step what must always hold. */
		async pass(ms: Millis, check: () => void) {
			for (let passed = 0; passed < ms; passed += 50) {
				await timers.pass(50);
				tell();
				check();
			}
		},
	};
}

export const someKeys = [0, 1, 20_000, 30_000, 33_000, 50_000, 60_000, 65_535];
