/** Daemons that keep the keys of one service, with a store and backend servers in memory, on a clock that the test advances. */
import {
	type FencedKeys,
	type KeyTraffic,
	type ListedServer,
	type Millis,
} from '@kingcuproute/core';
import {
	KeyOrders,
	type OrderTarget,
	type OrderOutcome,
} from '@kingcuproute/platform';
import {KeeperLease} from '../src/gateway/keeper-lease.js';
import {KeyKeeper} from '../src/gateway/key-keeper.js';
import {Log} from '../src/log/log.js';
import {MemoryStore, storedObject} from './memory-store.js';
import {RunClock} from './run-clock.js';
import {ManualClock} from './timers.js';

const log = Log.to({level: 'silent', routingSample: 1}, {});
/** How much slower the clocks of the servers run. */
const slowClockFactor = 1.02;

type ServerLease = FencedKeys & {readonly until: Millis};

/**
 * Backend servers that hold leases on keys and refuse a grant once they have accepted a
 * higher fence on one of its keys.
 */
class FencingServers extends KeyOrders {
	/** Leases by server address, expired ones included. */
	readonly leases = new Map<string, ServerLease[]>();
	/** Servers that leave grants unanswered, and the delay after which they carry them out. */
	readonly late = new Map<string, Millis>();
	/** Servers that answer nothing and keep their leases. */
	readonly silent = new Set<string>();
	/** Servers that announce in their answers that they are leaving. */
	readonly leaving = new Set<string>();
	/** Servers that refuse connections. */
	readonly refusing = new Set<string>();
	/** How long orders to a server take to arrive. */
	readonly orderDelayMs = new Map<string, Millis>();
	/** Accepted grants whose fence was not above all fences that other servers had accepted for the same keys. */
	readonly fenceViolations: string[] = [];
	/** Servers that carry orders out without answering them. */
	readonly unanswered = new Set<string>();
	/** Number of releases sent so far. */
	releases = 0;
	/** How long a server takes to carry out a release. */
	readonly releaseDelayMs = new Map<string, Millis>();
	/** The server that runs at an address in place of the former one. */
	readonly replacedBy = new Map<string, string>();
	/** Accepted grants by address. Their fences count even after the keys have been released. */
	readonly #accepted = new Map<string, FencedKeys[]>();
	/** The same, over all runs at an address. */
	readonly #acceptedByAnyRun = new Map<string, FencedKeys[]>();
	readonly #crashes = new Map<string, number>();

	constructor(private readonly manualClock: ManualClock) {
		super();
	}

	override async grant(
		server: OrderTarget,
		{from, to, fence, leaseMs}: Parameters<KeyOrders['grant']>[1],
		timeoutMs: Millis,
	): Promise<OrderOutcome> {
		const refusal = await this.#refusalOf(server, timeoutMs);
		if (refusal) {
			return refusal;
		}

		const {address} = server;
		const until = this.manualClock.now() + leaseMs * slowClockFactor;
		const lease = {from, to, fence, until};
		const lateMs = this.late.get(address);
		if (lateMs !== undefined) {
			const run = this.#crashes.get(address);
			this.manualClock.after(lateMs, () => {
				if (this.#crashes.get(address) === run) {
					this.#accept(address, lease);
				}
			});
			await this.manualClock.sleep(timeoutMs);
			return {kind: 'unknown', message: 'no answer'};
		}

		if (!this.#accept(address, lease)) {
			return {kind: 'outdated'};
		}

		if (this.unanswered.has(address)) {
			await this.manualClock.sleep(timeoutMs);
			return {kind: 'unknown', message: 'no answer'};
		}

		return {
			kind: 'taken',
			handover: undefined,
			leaving: this.leaving.has(address),
		};
	}

	override async release(
		server: OrderTarget,
		{from, to}: Parameters<KeyOrders['release']>[1],
		timeoutMs: Millis,
	): Promise<OrderOutcome> {
		this.releases++;
		const refusal = await this.#refusalOf(server, timeoutMs);
		if (refusal) {
			return refusal;
		}

		const {address} = server;
		await this.manualClock.sleep(this.releaseDelayMs.get(address) ?? 0);
		this.leases.set(address, this.#leasesWithout(address, from, to));
		if (this.unanswered.has(address)) {
			await this.manualClock.sleep(timeoutMs);
			return {kind: 'unknown', message: 'no answer'};
		}

		return {
			kind: 'taken',
			handover: `from ${address}`,
			leaving: this.leaving.has(address),
		};
	}

	/** Addresses of the servers that hold `key` now. */
	holdersOf(key: number): readonly string[] {
		const now = this.manualClock.now();
		return [...this.leases]
			.filter(([, leases]) =>
				leases.some(
					({from, to, until}) => from <= key && key <= to && now < until,
				),
			)
			.map(([address]) => address);
	}

	/** Describes keys that have more than one holder now; undefined if there are none. */
	doublyHeldKeys(): string | undefined {
		const held = this.#currentLeases();
		for (const [index, lease] of held.entries()) {
			const next = held.at(index + 1);
			if (next && next.from <= lease.to) {
				return `${describe(lease)} and ${describe(next)} at ${this.manualClock.now()}`;
			}
		}

		return undefined;
	}

	/** Number of keys that are held now. */
	heldKeyCount(): number {
		let count = 0;
		for (const {from, to} of this.#currentLeases()) {
			count += to - from + 1;
		}

		return count;
	}

	/** Ends a server's run: its leases and the fences that it has accepted are lost. */
	crash(address: string): void {
		this.leases.delete(address);
		this.#accepted.delete(address);
		this.#crashes.set(address, (this.#crashes.get(address) ?? 0) + 1);
	}

	/** The leases that have not expired, sorted by key. */
	#currentLeases() {
		const now = this.manualClock.now();
		return [...this.leases]
			.flatMap(([address, leases]) =>
				leases.map((lease) => ({...lease, address})),
			)
			.filter(({until}) => now < until)
			.sort((a, b) => a.from - b.from);
	}

	/** Delays the order, and returns why it does not reach the server; undefined if it does. */
	async #refusalOf(
		{address, backendServer}: OrderTarget,
		timeoutMs: Millis,
	): Promise<OrderOutcome | undefined> {
		if (this.refusing.has(address)) {
			return {kind: 'unknown', message: 'refused', neverSent: true};
		}

		const delayMs = this.orderDelayMs.get(address);
		if (delayMs !== undefined) {
			await this.manualClock.sleep(delayMs);
		}

		if (this.silent.has(address)) {
			await this.manualClock.sleep(timeoutMs);
			return {kind: 'unknown', message: 'no answer'};
		}

		const running = this.replacedBy.get(address) ?? backendServer;
		return running === backendServer ? undefined : {kind: 'ended'};
	}

	/** Accepts a grant; false if a higher fence was accepted for one of its keys. */
	#accept(address: string, lease: ServerLease): boolean {
		const {from, to, fence} = lease;
		const accepted = this.#accepted.get(address) ?? [];
		if (
			accepted.some((former) => overlaps(former, lease) && former.fence > fence)
		) {
			return false;
		}

		this.#accepted.set(address, [...accepted, {from, to, fence}]);
		this.#recordFences(address, lease);
		this.leases.set(address, [
			...this.#leasesWithout(address, from, to),
			lease,
		]);
		return true;
	}

	/** Records the grant, and a violation if another server has accepted one of its keys with as high a fence. */
	#recordFences(address: string, lease: ServerLease): void {
		for (const [other, earlier] of this.#acceptedByAnyRun) {
			const above = earlier.find(
				(former) => overlaps(former, lease) && former.fence >= lease.fence,
			);
			if (above && other !== address && this.manualClock.now() < lease.until) {
				const taken = describe({...lease, address});
				this.fenceViolations.push(
					`${taken} after ${describe({...above, address: other})}`,
				);
			}
		}

		const {from, to, fence} = lease;
		const earlier = this.#acceptedByAnyRun.get(address) ?? [];
		const isNew = earlier.every(
			(former) =>
				former.fence !== fence || former.from !== from || former.to !== to,
		);
		if (isNew) {
			this.#acceptedByAnyRun.set(address, [...earlier, {from, to, fence}]);
		}
	}

	#leasesWithout(address: string, from: number, to: number): ServerLease[] {
		return (this.leases.get(address) ?? []).flatMap((lease) =>
			to < lease.from || from > lease.to
				? [lease]
				: [
						{...lease, to: from - 1},
						{...lease, from: to + 1},
					].filter((part) => part.from <= part.to),
		);
	}
}

function overlaps(a: FencedKeys, b: FencedKeys): boolean {
	return a.from <= b.to && b.from <= a.to;
}

function describe(lease: FencedKeys & {readonly address: string}): string {
	const {address, from, to, fence} = lease;
	return `${address}: ${from} to ${to} by ${fence}`;
}

/** Sends the orders of one run of a daemon; their results arrive only while the run is not frozen or ended. */
class RunOrders extends KeyOrders {
	constructor(
		private readonly servers: FencingServers,
		private readonly clock: RunClock,
	) {
		super();
	}

	override async grant(...order: Parameters<KeyOrders['grant']>) {
		const end = await this.servers.grant(...order);
		await this.clock.whenRunning();
		return end;
	}

	override async release(...order: Parameters<KeyOrders['release']>) {
		const end = await this.servers.release(...order);
		await this.clock.whenRunning();
		return end;
	}
}

/** Start time and address of a run of a server. */
export type ServerRun = Pick<ListedServer, 'startedAt' | 'address'>;

export function listedServer(
	backendServer: string,
	run?: ServerRun,
): ListedServer {
	return {
		backendServer,
		startedAt: run?.startedAt ?? 1,
		address: run?.address ?? backendServer,
		service: 's',
		failureDomain: 'a',
		slots: 3,
		draining: false,
		coldMs: 0,
	};
}

/** Starts a daemon on each of `vms`, which keep the keys of one service with the servers `names`. The store is in `era`. */
export function startFleet(
	vms: readonly string[],
	names: readonly string[],
	era = 0,
) {
	const manualClock = new ManualClock();
	const shared = new MemoryStore('', new RunClock(manualClock));
	for (let count = 0; count < era; count++) {
		shared.restore(shared.copy());
	}

	const orders = new FencingServers(manualClock);
	/** Servers that have told a daemon that they are leaving. */
	const announced = new Set<string>();
	let servers = names.map((name) => listedServer(name));
	let listed = servers;
	let traffic: KeyTraffic = {rates: new Map(), runMs: new Map()};
	/** The store as seen by a daemon that hears from it now for the first time. */
	const connect = (vm: string, clock: RunClock) => {
		const store = new MemoryStore(vm, clock, shared);
		store.hear();
		return store;
	};

	const startDaemon = (
		vm: string,
		clock = new RunClock(manualClock),
		store = connect(vm, clock),
	) => {
		const lease = new KeeperLease('s', vm, {store, clock, log});
		const keeper = new KeyKeeper({
			service: 's',
			lease,
			store,
			orders: new RunOrders(orders, clock),
			clock,
			log,
			servers: () =>
				servers.filter(({address}) => !announced.has(`${vm} ${address}`)),
			onLeaving({address}) {
				announced.add(`${vm} ${address}`);
			},
			listed: () => listed,
			traffic: () => traffic,
			targetMs: () => undefined,
			movedKeysShare: () => Infinity,
			onMoves: () => undefined,
		});
		keeper.start();
		return {vm, clock, store, lease, keeper};
	};

	/** VMs that read the range table through a watcher that does not answer. */
	const lagging = new Set<string>();
	const daemons = vms.map((vm) => startDaemon(vm));
	const publishStore = () => {
		for (const {vm, clock, store, lease, keeper} of daemons) {
			if (clock.isRunning && !shared.cut.has(vm)) {
				store.hear();
				lease.update(stored('kingcuproute-keepers/s'), shared.revision);
				if (!lagging.has(vm)) {
					keeper.update(stored('kingcuproute-range-tables/s'), shared.revision);
				}
			}
		}
	};

	const stored = (path: string) => {
		const version = shared.objects.get(path);
		return version && storedObject(path, version);
	};

	return {
		manualClock,
		orders,
		daemons,
		cut: shared.cut,
		lagging,
		unanswered: shared.unanswered,
		shared,
		put: (path: string, spec: unknown) => shared.put(path, spec),
		/** Lists the servers `next`, and those in `leaving`, which get no keys. `runs` has the runs of those that have restarted. */
		list(
			next: readonly string[],
			leaving: readonly string[] = [],
			runs: ReadonlyMap<string, ServerRun> = new Map(),
		) {
			const newestRun = (name: string) => listedServer(name, runs.get(name));
			servers = next.map((name) => newestRun(name));
			listed = [...servers, ...leaving.map((name) => newestRun(name))];
		},
		setTraffic(next: KeyTraffic) {
			traffic = next;
		},
		/** Starts a daemon on one more VM. */
		add(vm: string) {
			daemons.push(startDaemon(vm));
		},
		/** Starts a daemon on one more VM that learns of the service only after `ms`. */
		async addLater(vm: string, ms: Millis) {
			const clock = new RunClock(manualClock);
			const store = connect(vm, clock);
			await manualClock.advance(ms);
			daemons.push(startDaemon(vm, clock, store));
		},
		/** Ends a daemon's run and starts a new one on the same VM. */
		restart(index: number) {
			const {vm, clock} = daemons[index];
			clock.end();
			daemons[index] = startDaemon(vm);
		},
		/** Lets time pass, and calls `check` after each step of 50 ms. */
		async pass(ms: Millis, check: () => void) {
			for (let passed = 0; passed < ms; passed += 50) {
				await manualClock.advance(50);
				publishStore();
				check();
			}
		},
	};
}

export const sampleKeys = [
	0, 1, 20_000, 30_000, 33_000, 50_000, 60_000, 65_535,
];
