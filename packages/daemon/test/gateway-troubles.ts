/**
 * Injects faults into a fleet that keeps one service's keys. Each fault lasts for a while,
 * and faults may overlap. Its effect on daemons, servers and the store ends with it.
 */
import fc from 'fast-check';
import {type Millis} from '@kingcuproute/core';
import {type startFleet, type ServerRun} from './gateway-keepers.js';

type Fleet = ReturnType<typeof startFleet>;

export const vms = ['x', 'y', 'z'] as const;
export const serverNames = ['a', 'b', 'c', 'd'] as const;
/** The servers that are listed from the start; the last one joins with a fault of kind `joining`. */
export const initialServers = serverNames.slice(0, 3);

const serverFaultKinds = [
	'late',
	'unanswered',
	'silent',
	'refusing',
	'slow-orders',
	'slow-release',
	'leaving',
	'off-list',
	'crashed',
	// Another server takes over its address: for good if replaced, for a while if displaced.
	'replaced',
	'displaced',
] as const;
const daemonFaultKinds = [
	'cut',
	'unanswered-writes',
	'slow-answers',
	'late-writes',
	'frozen',
	'vm-paused',
	'killed',
	'stopped',
] as const;

type Times = {
	/** From the start of the fault before it to its own start. */
	readonly afterMs: Millis;
	readonly forMs: Millis;
	/** How long the delay is, for faults that delay something. */
	readonly ms: Millis;
};

export type Fault = Times &
	(
		| {
				readonly kind: (typeof serverFaultKinds)[number];
				readonly name: (typeof serverNames)[number];
		  }
		| {
				readonly kind: (typeof daemonFaultKinds)[number];
				readonly vm: (typeof vms)[number];
		  }
		| {readonly kind: 'joining' | 'slow-store'}
		| {readonly kind: 'busy'; readonly keys: readonly number[]}
	);

const times = {
	afterMs: fc.integer({min: 0, max: 2500}),
	// At least 800 ms, so that orders in flight when a server's run ends are over before it is back.
	forMs: fc.integer({min: 800, max: 7000}),
	ms: fc.integer({min: 50, max: 6000}),
};
const name = fc.constantFrom(...serverNames);
const vm = fc.constantFrom(...vms);
const key = fc.integer({min: 0, max: 65_535});

const anyFault: fc.Arbitrary<Fault> = fc.oneof(
	{
		weight: 4,
		arbitrary: fc.record({
			kind: fc.constantFrom(...serverFaultKinds),
			name,
			...times,
		}),
	},
	{
		weight: 3,
		arbitrary: fc.record({
			kind: fc.constantFrom(...daemonFaultKinds),
			vm,
			...times,
		}),
	},
	fc.record({
		kind: fc.constantFrom('joining' as const, 'slow-store' as const),
		...times,
	}),
	fc.record({
		kind: fc.constant('busy' as const),
		keys: fc.array(key, {minLength: 2, maxLength: 6}),
		...times,
	}),
);

/** A server carries out grants late while its keeper changes, and then has to give up its keys. */
const lateGrantThenMove: fc.Arbitrary<readonly Fault[]> = fc
	.record({
		name,
		vm,
		kind: fc.constantFrom(...daemonFaultKinds),
		lateMs: fc.integer({min: 1500, max: 6000}),
		gapMs: fc.integer({min: 0, max: 2000}),
		keys: fc.array(key, {minLength: 2, maxLength: 6}),
		move: fc.constantFrom(
			'leaving' as const,
			'off-list' as const,
			'busy' as const,
		),
	})
	.map(({name: server, vm: daemon, kind, lateMs, gapMs, keys, move}) => [
		{kind: 'late', name: server, afterMs: 500, forMs: 1600, ms: lateMs},
		{kind, vm: daemon, afterMs: 1500, forMs: 6000, ms: 300},
		move === 'busy'
			? {kind: 'busy', keys, afterMs: gapMs, forMs: 5000, ms: 0}
			: {kind: move, name: server, afterMs: gapMs, forMs: 5000, ms: 0},
	]);

/** Sequences of faults, most of which overlap. */
export const scenarios: fc.Arbitrary<readonly Fault[]> = fc
	.array(
		fc.oneof(
			{weight: 3, arbitrary: anyFault.map((fault) => [fault] as const)},
			{weight: 1, arbitrary: lateGrantThenMove},
		),
		{minLength: 2, maxLength: 7},
	)
	.map((parts) => parts.flat());

/** Starts and ends faults, and sets the state of the fleet to match the active ones. */
export class FaultInjector {
	/** The newest run of each server that has started again. */
	readonly #serverRuns = new Map<string, ServerRun>();
	#active: readonly Fault[] = [];
	#listedServers: readonly string[] = initialServers;

	constructor(private readonly fleet: Fleet) {}

	begin(fault: Fault): void {
		this.#active = [...this.#active, fault];
		if ('vm' in fault) {
			this.#disableDaemon(fault);
		} else if ('name' in fault) {
			this.#disableServer(fault);
		} else if (fault.kind === 'joining') {
			this.#listedServers = serverNames;
		}

		this.#apply();
	}

	end(fault: Fault): void {
		this.#active = this.#active.filter((other) => other !== fault);
		if ('vm' in fault) {
			this.#restoreDaemon(fault);
		} else if ('name' in fault) {
			this.#restoreServer(fault);
		}

		this.#apply();
	}

	#disableDaemon({kind, vm: daemon}: Extract<Fault, {vm: unknown}>): void {
		const {clock} = this.#daemon(daemon);
		if (isFreeze(kind)) {
			clock.freeze();
		} else if (kind === 'killed') {
			clock.end();
		} else if (kind === 'stopped') {
			void this.#stopKeeper(daemon);
		}
	}

	#restoreDaemon({kind, vm: daemon}: Extract<Fault, {vm: unknown}>): void {
		if (isFreeze(kind)) {
			this.#daemon(daemon).clock.thaw(kind === 'vm-paused');
		} else if (kind === 'killed' || kind === 'stopped') {
			this.fleet.restart(vms.indexOf(daemon));
		}
	}

	#disableServer({kind, name: server}: Extract<Fault, {name: unknown}>): void {
		const {orders} = this.fleet;
		const address = this.#addressOf(server);
		if (endsRun(kind)) {
			orders.crash(address);
		}

		if (kind === 'replaced' || kind === 'displaced') {
			orders.replacedBy.set(address, 'another');
		}
	}

	/** Starts a new run of a server; at a new address if another server has taken its address for good. */
	#restoreServer({kind, name: server}: Extract<Fault, {name: unknown}>): void {
		if (!endsRun(kind)) {
			return;
		}

		const {orders} = this.fleet;
		const startedAt = (this.#serverRuns.get(server)?.startedAt ?? 1) + 1;
		const former = this.#addressOf(server);
		orders.crash(former);
		if (kind === 'displaced') {
			orders.replacedBy.delete(former);
		}

		const isTaken = orders.replacedBy.has(former);
		const address = isTaken ? `${server}${startedAt}` : former;
		this.#serverRuns.set(server, {startedAt, address});
	}

	#daemon(daemon: (typeof vms)[number]) {
		return this.fleet.daemons[vms.indexOf(daemon)];
	}

	async #stopKeeper(daemon: (typeof vms)[number]): Promise<void> {
		const {clock, keeper} = this.#daemon(daemon);
		await clock.whenRunning();
		await keeper.stop();
	}

	/** The VM of the daemon or the address of the server that the fault affects. */
	#targetOf(fault: Fault): string {
		if ('name' in fault) {
			return this.#addressOf(fault.name);
		}

		return 'vm' in fault ? fault.vm : '';
	}

	#addressOf(server: string): string {
		return this.#serverRuns.get(server)?.address ?? server;
	}

	/** Sets the state of servers and store to match the active faults. */
	#apply(): void {
		const {orders, shared} = this.fleet;
		replaceSet(orders.silent, this.#targetsOf('silent'));
		replaceSet(orders.refusing, this.#targetsOf('refusing', 'crashed'));
		replaceSet(orders.unanswered, this.#targetsOf('unanswered'));
		replaceSet(shared.cut, this.#targetsOf('cut'));
		replaceSet(shared.unanswered, this.#targetsOf('unanswered-writes'));
		replaceMap(orders.late, this.#delaysOf('late', 6000));
		replaceMap(orders.orderDelayMs, this.#delaysOf('slow-orders', 750));
		replaceMap(orders.releaseDelayMs, this.#delaysOf('slow-release', 2500));
		replaceMap(shared.late, this.#delaysOf('late-writes', 6000));
		replaceMap(shared.slow, this.#delaysOf('slow-answers', 1400));
		const slow = this.#active.filter(({kind}) => kind === 'slow-store');
		shared.answerMs = Math.min(1400, ...slow.map(({ms}) => ms));
		if (slow.length === 0) {
			shared.answerMs = 0;
		}

		this.#listServers();
		this.#setTraffic();
	}

	#listServers(): void {
		const leaving = this.#targetsOf('leaving');
		const off = this.#targetsOf('off-list');
		const isIn = (addresses: readonly string[], server: string) =>
			addresses.includes(this.#addressOf(server));
		const listed = this.#listedServers.filter((server) => !isIn(off, server));
		this.fleet.list(
			listed.filter((server) => !isIn(leaving, server)),
			listed.filter((server) => isIn(leaving, server)),
			this.#serverRuns,
		);
	}

	/** Sets the traffic of the keys that are busy now. */
	#setTraffic(): void {
		const keys = this.#active.flatMap((fault) =>
			fault.kind === 'busy' ? fault.keys : [],
		);
		this.fleet.setTraffic({
			rates: new Map(keys.map((busyKey) => [busyKey, 6])),
			runMs: new Map(
				keys.length > 0 ? serverNames.map((server) => [server, 200]) : [],
			),
		});
	}

	/** The servers or daemons with an active fault of these kinds. */
	#targetsOf(...kinds: ReadonlyArray<Fault['kind']>): readonly string[] {
		return this.#active
			.filter(({kind}) => kinds.includes(kind))
			.map((fault) => this.#targetOf(fault));
	}

	/** The servers or daemons with an active fault of this kind, each with the delay, at most `maxMs`. */
	#delaysOf(
		kind: Fault['kind'],
		maxMs: Millis,
	): ReadonlyArray<readonly [string, Millis]> {
		return this.#active
			.filter((fault) => fault.kind === kind)
			.map((fault) => [this.#targetOf(fault), Math.min(maxMs, fault.ms)]);
	}
}

/** Whether a fault of this kind ends the server's run. */
function endsRun(kind: Fault['kind']): boolean {
	return kind === 'crashed' || kind === 'replaced' || kind === 'displaced';
}

function isFreeze(kind: Fault['kind']): boolean {
	return kind === 'frozen' || kind === 'vm-paused';
}

function replaceSet(target: Set<string>, next: readonly string[]): void {
	target.clear();
	for (const item of next) {
		target.add(item);
	}
}

function replaceMap<T>(
	target: Map<string, T>,
	next: ReadonlyArray<readonly [string, T]>,
): void {
	target.clear();
	for (const [item, value] of next) {
		target.set(item, value);
	}
}
