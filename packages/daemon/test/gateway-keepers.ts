/** Daemons that keep the keys of one service, over a store and backend servers in memory, on a clock that a test moves. */
import {
	type FencedKeys,
	type KeyTraffic,
	type ListedServer,
	type Millis,
} from '@kingcuproute/core';
import {KeyOrders, type Addressee, type OrderEnd} from '@kingcuproute/platform';
import {KeeperLease} from '../src/gateway/keeper-lease.js';
import {KeyKeeper} from '../src/gateway/key-keeper.js';
import {Log} from '../src/log/log.js';
import {MemoryStore, stored} from './memory-store.js';
import {RunClock} from './run-clock.js';
import {Timers} from './timers.js';

const log = Log.to({level: 'silent', routingSample: 1}, {});
/** A server's clock may run slow by this. */
const slowClock = 1.02;

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
	/** Servers to which no connection is made. */
	readonly refusing = new Set<string>();
	/** How long an order is on its way. */
	readonly wayMs = new Map<string, Millis>();
	/** Grants taken by a fence that was not above those of other servers. */
	readonly lowFences: string[] = [];
	/** Servers that carry orders out and do not answer them. */
	readonly unanswered = new Set<string>();
	/** Releases sent so far. */
	releases = 0;
	/** How long a server takes to answer a release. */
	readonly releaseMs = new Map<string, Millis>();
	/** What runs at an address in place of the server of that name. */
	readonly replaced = new Map<string, string>();
	/** Grants taken, by address: their fences stay seen when the keys are gone. */
	readonly #taken = new Map<string, FencedKeys[]>();
	/** The same of all runs of a server. */
	readonly #history = new Map<string, FencedKeys[]>();
	readonly #crashes = new Map<string, number>();

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
		const until = this.timers.now() + leaseMs * slowClock;
		const hold = {from, to, fence, until};
		const lateMs = this.late.get(address);
		if (lateMs !== undefined) {
			const run = this.#crashes.get(address);
			this.timers.after(lateMs, () => {
				if (this.#crashes.get(address) === run) {
					this.#take(address, hold);
				}
			});
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
		this.releases++;
		const untaken = await this.#untaken(server, timeoutMs);
		if (untaken) {
			return untaken;
		}

		const {address} = server;
		await this.timers.sleep(this.releaseMs.get(address) ?? 0);
		this.holds.set(address, this.#rest(address, from, to));
		if (this.unanswered.has(address)) {
			await this.timers.sleep(timeoutMs);
			return {kind: 'unknown', message: 'no answer'};
		}

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

	/** Keys with more than one holder now; undefined where there are none. */
	doubled(): string | undefined {
		const held = this.#held();
		for (const [index, one] of held.entries()) {
			const next = held.at(index + 1);
			if (next && next.from <= one.to) {
				return `${shown(one)} and ${shown(next)} at ${this.timers.now()}`;
			}
		}

		return undefined;
	}

	/** How many keys are held. */
	heldCount(): number {
		let count = 0;
		for (const {from, to} of this.#held()) {
			count += to - from + 1;
		}

		return count;
	}

	/** Ends a server's run, and with it all that it held and had seen. */
	crash(address: string): void {
		this.holds.delete(address);
		this.#taken.delete(address);
		this.#crashes.set(address, (this.#crashes.get(address) ?? 0) + 1);
	}

	/** What is held now, by key. */
	#held() {
		const now = this.timers.now();
		return [...this.holds]
			.flatMap(([address, holds]) => holds.map((hold) => ({...hold, address})))
			.filter(({until}) => now < until)
			.sort((a, b) => a.from - b.from);
	}

	/** Why a server does not take an order; undefined where it does. */
	async #untaken(
		{address, backendServer}: Addressee,
		timeoutMs: Millis,
	): Promise<OrderEnd | undefined> {
		if (this.refusing.has(address)) {
			return {kind: 'unknown', message: 'connection refused'};
		}

		const wayMs = this.wayMs.get(address);
		if (wayMs !== undefined) {
			await this.timers.sleep(wayMs);
		}

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
		if (taken.some((one) => isOn(one, hold) && one.fence > fence)) {
			return false;
		}

		this.#taken.set(address, [...taken, {from, to, fence}]);
		this.#note(address, hold);
		this.holds.set(address, [...this.#rest(address, from, to), hold]);
		return true;
	}

	/** Keeps the grant in mind, and whether another server had one of its keys by as high a fence. */
	#note(address: string, hold: Hold): void {
		for (const [other, had] of this.#history) {
			const above = had.find(
				(one) => isOn(one, hold) && one.fence >= hold.fence,
			);
			if (above && other !== address && this.timers.now() < hold.until) {
				const taken = shown({...hold, address});
				this.lowFences.push(
					`${taken} after ${shown({...above, address: other})}`,
				);
			}
		}

		const {from, to, fence} = hold;
		const had = this.#history.get(address) ?? [];
		const isNew = had.every(
			(one) => one.fence !== fence || one.from !== from || one.to !== to,
		);
		if (isNew) {
			this.#history.set(address, [...had, {from, to, fence}]);
		}
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

function isOn(one: FencedKeys, other: FencedKeys): boolean {
	return one.from <= other.to && other.from <= one.to;
}

function shown(hold: FencedKeys & {readonly address: string}): string {
	const {address, from, to, fence} = hold;
	return `${address}: ${from} to ${to} by ${fence}`;
}

/** The orders of one run of a daemon, which hears of their ends only while it runs. */
class RunOrders extends KeyOrders {
	constructor(
		private readonly servers: HoldingServers,
		private readonly clock: RunClock,
	) {
		super();
	}

	override async grant(...order: Parameters<KeyOrders['grant']>) {
		const end = await this.servers.grant(...order);
		await this.clock.turn();
		return end;
	}

	override async release(...order: Parameters<KeyOrders['release']>) {
		const end = await this.servers.release(...order);
		await this.clock.turn();
		return end;
	}
}

/** The newest run of a server: when it started, and where. */
export type ServerRun = Pick<ListedServer, 'startedAt' | 'address'>;

function server(backendServer: string, run?: ServerRun): ListedServer {
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

/** Daemons that keep the keys of one service of `servers`, each told what the store holds. */
export function fleet(vms: readonly string[], names: readonly string[]) {
	const timers = new Timers();
	const shared = new MemoryStore('', new RunClock(timers));
	const orders = new HoldingServers(timers);
	let servers = names.map((name) => server(name));
	let listed = servers;
	let traffic: KeyTraffic = {rates: new Map(), runMs: new Map()};
	const started = (vm: string) => {
		const clock = new RunClock(timers);
		const store = new MemoryStore(vm, clock, shared);
		const lease = new KeeperLease('s', vm, {store, clock, log});
		const keeper = new KeyKeeper({
			service: 's',
			lease,
			store,
			orders: new RunOrders(orders, clock),
			clock,
			log,
			servers: () => servers,
			listed: () => listed,
			traffic: () => traffic,
		});
		keeper.start();
		return {vm, clock, lease, keeper};
	};

	const daemons = vms.map((vm) => started(vm));
	const tell = () => {
		for (const {vm, clock, lease, keeper} of daemons) {
			if (clock.isRunning && !shared.cut.has(vm)) {
				lease.update(held('kingcuproute-keepers/s'));
				keeper.update(held('kingcuproute-range-tables/s'));
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
		/** Servers by name; the runs of those that have started again. */
		list(
			next: readonly string[],
			leaving: readonly string[] = [],
			runs: ReadonlyMap<string, ServerRun> = new Map(),
		) {
			const found = (name: string) => server(name, runs.get(name));
			servers = next.map((name) => found(name));
			listed = [...servers, ...leaving.map((name) => found(name))];
		},
		see(next: KeyTraffic) {
			traffic = next;
		},
		/** Ends a daemon's run and starts the next on the same VM. */
		restart(index: number) {
			const {vm, clock} = daemons[index];
			clock.end();
			daemons[index] = started(vm);
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
